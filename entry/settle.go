package entry

import (
	"context"
	"net/http"
	"time"

	"lacewingmount.dev/wire"
)

// settleWait is how long the caller's answer waits for its record. The record
// is made in any case, as long as the entry runs.
const settleWait = 200 * time.Millisecond

// keptHeaders are the headers of an answer that are kept for duplicates.
var keptHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", contentDigestHeader, "Location", "Etag", "Cache-Control",
}

// finish settles the claim of a request without an answer and returns its refusal.
func (s *forwardStage) finish(x *Exchange, refusal *Refusal) *Refusal {
	if x.Claim != nil && refusal.Outcome == OutcomeNotRun {
		s.settle(wire.SettleRequest{Claim: *x.Claim, NotRun: true})
	}
	return refusal
}

// settleAnswered records the answer before it goes to the caller, so that a
// duplicate gets it even if the caller never does. The returned function waits
// for the record to be made.
func (s *forwardStage) settleAnswered(x *Exchange, last *attempt) (wait func()) {
	if x.Claim == nil {
		return func() {}
	}
	done := s.settle(wire.SettleRequest{Claim: *x.Claim, Kept: keepable(last)})
	return func() { <-done }
}

// keepable returns the answer in the form that is kept for duplicates, or nil.
func keepable(last *attempt) *wire.KeptAnswer {
	if !last.complete || len(last.answer.Trailer) > 0 {
		return nil
	}
	header := map[string][]string{}
	for _, name := range keptHeaders {
		if values := last.answer.Header.Values(name); len(values) > 0 {
			header[http.CanonicalHeaderKey(name)] = values
		}
	}
	return &wire.KeptAnswer{Status: last.answer.StatusCode, Header: header, Body: last.body}
}

// settle records an end; it returns when that is done or has taken settleWait.
func (s *forwardStage) settle(request wire.SettleRequest) (done <-chan struct{}) {
	return settle(s.claimer, request)
}

func settle(claimer Claimer, request wire.SettleRequest) (done <-chan struct{}) {
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		_ = claimer.Settle(ctx, request) // without a record, duplicates are told that the end is unknown
	}()
	timer := time.NewTimer(settleWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	}
	return recorded
}
