package entry

import (
	"net/http"
	"time"

	"lacewingmount.dev/keys"
)

// identifyStage finds the client account of a request and removes its key.
type identifyStage struct {
	authority    *authority
	inFlight     *inFlight
	currentTable func() *Table
}

func (e *Entry) newIdentifyStage() identifyStage {
	return identifyStage{authority: e.authority, inFlight: e.inFlight, currentTable: e.table.Load}
}

func (identifyStage) Name() string { return "identify" }

func (s identifyStage) Serve(x *Exchange) *Refusal {
	key, exactlyOne := keys.FromHeader(x.Request.Header)
	elsewhere := keys.AppearsOutsideHeader(x.Request)
	keys.Strip(x.Request.Header)
	if elsewhere {
		return refuseNotRun(http.StatusBadRequest, ReasonMalformed, "the key belongs in the "+keys.Header+" header only; elsewhere a backend server would see it")
	}
	if x.Route.Open {
		return nil
	}
	if !s.authority.valid(time.Now()) {
		return refuseNotRun(http.StatusServiceUnavailable, ReasonAuthority, "this VM cannot know whether the key was withdrawn; try another one").retryAfter(time.Second)
	}
	if !exactlyOne {
		return refuseNotRun(http.StatusUnauthorized, ReasonKey, "send exactly one "+keys.Header+" header")
	}
	// The key is registered before the latest table is read, so that a concurrent
	// withdrawal refuses the request either here or as a request in flight.
	hash := keys.Hash(key)
	s.inFlight.setKey(x, hash)
	account := x.Table.accountsByKey[hash]
	if account == nil || s.currentTable().accountsByKey[hash] == nil {
		return refuseNotRun(http.StatusUnauthorized, ReasonKey, "the key is not known or was withdrawn")
	}
	if !x.Table.Allowed(account, x.Route.Service) {
		return refuseNotRun(http.StatusForbidden, ReasonKey, "the client account may not use this route")
	}
	x.Account = account
	return nil
}
