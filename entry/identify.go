package entry

import (
	"net/http"
	"time"

	"lacewingmount.dev/keys"
)

// identifyStage finds the client account of a request and removes its key.
type identifyStage struct {
	authority *authority
	inFlight  *inFlight
	newest    func() *Table
}

func (e *Entry) identify() identifyStage {
	return identifyStage{authority: e.authority, inFlight: e.inFlight, newest: e.table.Load}
}

func (identifyStage) Name() string { return "identify" }

func (s identifyStage) Serve(x *Exchange) *Refusal {
	key, one := keys.FromHeader(x.Request.Header)
	elsewhere := keys.AppearsOutsideHeader(x.Request)
	keys.Strip(x.Request.Header)
	if elsewhere {
		return notRun(http.StatusBadRequest, ReasonMalformed, "the key belongs in the "+keys.Header+" header only; elsewhere a backend server would see it")
	}
	if x.Route.Open {
		return nil
	}
	if !s.authority.holds(time.Now()) {
		return notRun(http.StatusServiceUnavailable, ReasonAuthority, "this VM cannot know whether the key was withdrawn; try another one").after(time.Second)
	}
	if !one {
		return notRun(http.StatusUnauthorized, ReasonKey, "send exactly one "+keys.Header+" header")
	}
	// The key is registered before the newest table is asked, so that a
	// withdrawal meets the request either here or among those in flight.
	hash := keys.Hash(key)
	s.inFlight.setKey(x, hash)
	account := x.Table.accounts[hash]
	if account == nil || s.newest().accounts[hash] == nil {
		return notRun(http.StatusUnauthorized, ReasonKey, "the key is not known or was withdrawn")
	}
	if !x.Table.Allowed(account, x.Route.Service) {
		return notRun(http.StatusForbidden, ReasonKey, "the client account may not use this route")
	}
	x.Account = account
	return nil
}
