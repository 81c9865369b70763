package entry

import (
	"context"

	"lacewingmount.dev/wire"
)

// finish settles the claim of a request without an answer and returns its refusal.
func (s *forwardStage) finish(x *Exchange, refusal *Refusal) *Refusal {
	if x.Claim != nil && refusal.Outcome == OutcomeNotRun {
		s.settle(wire.SettleRequest{Claim: *x.Claim, NotRun: true})
	}
	return refusal
}

// settleAnswered records the answer before it goes to the caller, so that a
// duplicate gets it even if the caller never does.
func (s *forwardStage) settleAnswered(x *Exchange, last *attempt) {
	if x.Claim != nil {
		s.settle(wire.SettleRequest{Claim: *x.Claim, Kept: keepable(last)})
	}
}

// keepable returns the answer in the form that is kept for duplicates, or nil.
func keepable(last *attempt) *wire.KeptAnswer {
	if !last.complete || len(last.answer.Trailer) > 0 {
		return nil
	}
	return &wire.KeptAnswer{Status: last.answer.StatusCode, ContentType: last.answer.Header.Get("Content-Type"), Body: last.body}
}

func (s *forwardStage) settle(request wire.SettleRequest) { settle(s.claimer, request) }

func settle(claimer Claimer, request wire.SettleRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_ = claimer.Settle(ctx, request) // without a record, duplicates are told that the end is unknown
}
