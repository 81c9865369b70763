package entry

import (
	"context"
	"net/http"
	"time"

	"lacewingmount.dev/wire"
)

// settleWait is how long the response to the caller is delayed until the settlement is
// recorded. After that the settlement continues in the background.
const settleWait = 200 * time.Millisecond

// storedHeaders are the response headers that are stored for duplicates.
var storedHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", contentDigestHeader, "Location", "Etag", "Cache-Control",
}

// settleRefusal releases the claim of a refused request that was not run. It returns the
// refusal.
func (s *forwardStage) settleRefusal(x *Exchange, refusal *Refusal) *Refusal {
	if x.Claim != nil && refusal.Outcome == OutcomeNotRun {
		s.settle(wire.SettleRequest{Claim: *x.Claim, NotRun: true})
	}
	return refusal
}

// settleResponse records the response before it is sent to the caller, so that a
// duplicate gets it even if the caller does not. The returned function waits until the
// response is recorded or recording has failed.
func (s *forwardStage) settleResponse(x *Exchange, last *attempt) (wait func()) {
	if x.Claim == nil {
		return func() {}
	}
	done := s.settle(wire.SettleRequest{Claim: *x.Claim, Kept: storedResponse(last)})
	return func() { <-done }
}

// storedResponse returns the response in the form that is stored for duplicates. It
// returns nil if the response cannot be stored, because it is streamed or has trailers.
func storedResponse(last *attempt) *wire.KeptAnswer {
	if !last.complete || len(last.response.Trailer) > 0 {
		return nil
	}
	header := map[string][]string{}
	for _, name := range storedHeaders {
		if values := last.response.Header.Values(name); len(values) > 0 {
			header[http.CanonicalHeaderKey(name)] = values
		}
	}
	return &wire.KeptAnswer{Status: last.response.StatusCode, Header: header, Body: last.body}
}

// settle settles a claim. It returns when the settlement is recorded or after settleWait.
// done is closed when the settlement has succeeded or failed.
func (s *forwardStage) settle(request wire.SettleRequest) (done <-chan struct{}) {
	return settle(s.claimer, request)
}

func settle(claimer Claimer, request wire.SettleRequest) (done <-chan struct{}) {
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		_ = claimer.Settle(ctx, request) // if it fails, duplicates get OutcomeUnknown
	}()
	timer := time.NewTimer(settleWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	}
	return recorded
}
