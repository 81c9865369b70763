package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/daemon"
	"lacewingmount.dev/wire"
)

// Stage is one step in the handling of a request.
type Stage interface {
	// Name returns the name of the stage in metrics.
	Name() string
	// Serve handles the exchange. It returns nil to continue with the next stage, or
	// if it has sent the response.
	Serve(exchange *Exchange) *Refusal
}

// Exchange is one request and the state that the stages add to it.
type Exchange struct {
	Writer    http.ResponseWriter
	Request   *http.Request
	Table     *Table // configuration in force when the request arrived
	Route     *config.Route
	Service   *Service
	Account   *config.ClientAccount // nil on open routes, which need no key
	Started   time.Time
	RequestID string
	Claim     *wire.ClaimRequest // set on protected routes after the claim is granted
	Body      []byte             // complete body of a protected request
	KeyHash   string             // hash of the caller's key, empty on open routes
	permit    *permit            // nil on open routes
	slot      *slot              // concurrency slot of the service, nil before the queue stage
	stopping  *atomic.Bool       // the entry is shutting down
	hold      *daemon.Hold       // what the request holds in memory; nil before the memory stage
}

// announceClose tells the caller with the response header that its connection ends, if the
// entry is stopping.
func (x *Exchange) announceClose() {
	if x.stopping.Load() {
		x.Writer.Header().Set("Connection", "close")
	}
}

// AccountName returns the name of the client account, or "" on open routes.
func (x *Exchange) AccountName() string {
	if x.Account == nil {
		return ""
	}
	return x.Account.Name
}
