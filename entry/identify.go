package entry

import (
	"net/http"

	"lacewingmount.dev/keys"
)

// identifyStage finds the client account of a request and removes its key.
type identifyStage struct{}

func (identifyStage) Name() string { return "identify" }

func (identifyStage) Serve(x *Exchange) *Refusal {
	key, one := keys.FromHeader(x.Request.Header)
	keys.Strip(x.Request.Header)
	if x.Route.Open {
		return nil
	}
	if !one {
		return notRun(http.StatusUnauthorized, ReasonKey, "send exactly one "+keys.Header+" header")
	}
	x.KeyHash = keys.Hash(key)
	account := x.Table.accounts[x.KeyHash]
	if account == nil {
		return notRun(http.StatusUnauthorized, ReasonKey, "the key is not known or was withdrawn")
	}
	if !x.Table.Allowed(account, x.Route.Service) {
		return notRun(http.StatusForbidden, ReasonKey, "the client account may not use this route")
	}
	x.Account = account
	return nil
}
