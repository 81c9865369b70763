package entry

import (
	"context"
	"net/http"
	"sync"
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
		s.settler.settle(wire.SettleRequest{Claim: *x.Claim, NotRun: true})
	}
	return refusal
}

// settleResponse records the response before it is sent to the caller, so that a
// duplicate gets it even if the caller does not.
func (s *forwardStage) settleResponse(x *Exchange, last *attempt) {
	if x.Claim != nil {
		s.settler.settle(wire.SettleRequest{Claim: *x.Claim, Kept: storedResponse(last)})
	}
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

// settler settles claims in the background.
type settler struct {
	claimer Claimer
	running sync.WaitGroup // settlements in progress
}

func newSettler(claimer Claimer) *settler { return &settler{claimer: claimer} }

// start begins to settle a claim. done is closed when the settlement has succeeded or failed.
func (s *settler) start(request wire.SettleRequest) (done <-chan struct{}) {
	ended := make(chan struct{})
	s.running.Go(func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		_ = s.claimer.Settle(ctx, request) // if it fails, duplicates get OutcomeUnknown
	})
	return ended
}

// settle settles a claim. It returns when the settlement is recorded or after settleWait.
func (s *settler) settle(request wire.SettleRequest) {
	timer := time.NewTimer(settleWait)
	defer timer.Stop()
	select {
	case <-s.start(request):
	case <-timer.C:
	}
}

// wait returns when no settlement is in progress, after settleTimeout at the latest if none
// is started meanwhile.
func (s *settler) wait() { s.running.Wait() }
