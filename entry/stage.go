package entry

import (
	"net/http"
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/wire"
)

// Stage is one step of serving a request.
type Stage interface {
	// Name appears in metrics and logs.
	Name() string
	// Serve does the step. It returns nil to go on to the next stage.
	Serve(exchange *Exchange) *Refusal
}

// Exchange is one request on its way through the stages.
type Exchange struct {
	Writer    http.ResponseWriter
	Request   *http.Request
	Table     *Table // configuration in force when the request arrived
	Route     *config.Route
	Service   *Service
	Account   *config.ClientAccount // nil on open routes
	Started   time.Time
	RequestID string
	Claim     *wire.ClaimRequest // set on protected routes once granted
	Body      []byte             // whole body of a protected request
	KeyHash   string             // of the caller's key, empty on open routes
	permit    *permit            // nil on open routes
	place     *place             // at the service, nil before the queue
}

// AccountName returns the name of the client account, or "" on open routes.
func (x *Exchange) AccountName() string {
	if x.Account == nil {
		return ""
	}
	return x.Account.Name
}
