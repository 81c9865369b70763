package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/wire"
)

func accountWithRate(rate float64) *config.ClientAccount {
	return &config.ClientAccount{Name: "reader", Rate: rate, Burst: 10}
}

// settled records what is settled.
type settled struct {
	Claimer
	requests []wire.SettleRequest
}

func (s *settled) Settle(_ context.Context, request wire.SettleRequest) error {
	s.requests = append(s.requests, request)
	return nil
}

func queuedExchange(ctx context.Context, timeout time.Duration) *Exchange {
	return &Exchange{
		Request: httptest.NewRequestWithContext(ctx, http.MethodGet, "/shelf", nil),
		Table:   &Table{Members: 1},
		Route:   &config.Route{Path: "/shelf", Timeout: timeout},
		Service: &Service{Config: config.Service{Name: "shelf", Slots: 1}, Servers: []*Server{{}}},
		Account: accountWithRate(10),
		Started: time.Now(),
	}
}

func TestProofNotRunQueueRefusalSettlesTheClaim(t *testing.T) {
	claimer := &settled{}
	stage := newQueueStage(claimer)
	if refusal := stage.Serve(queuedExchange(t.Context(), time.Minute)); refusal != nil {
		t.Fatalf("the first request finds a free place: %+v", *refusal)
	}
	x := queuedExchange(t.Context(), time.Millisecond) // is due before the place is free
	x.Claim = &wire.ClaimRequest{Account: "reader", Key: "k"}
	refusal := stage.Serve(x)
	if refusal == nil || refusal.Outcome != OutcomeNotRun || refusal.Reason != ReasonBusy {
		t.Fatalf("%+v, want a refusal that says not run", refusal)
	}
	if len(claimer.requests) != 1 || !claimer.requests[0].NotRun {
		t.Fatalf("settled %+v, want the claim given back", claimer.requests)
	}
}

func TestQueuePlaceGoesToTheNextAndOfACallerThatLeft(t *testing.T) {
	stage := newQueueStage(&settled{})
	first := queuedExchange(t.Context(), time.Minute)
	if refusal := stage.Serve(first); refusal != nil {
		t.Fatal(*refusal)
	}
	gone, leave := context.WithCancel(t.Context())
	leave()
	if refusal := stage.Serve(queuedExchange(gone, time.Minute)); refusal == nil {
		t.Fatal("a caller that left got a place")
	}
	second := queuedExchange(t.Context(), time.Minute)
	served := make(chan *Refusal)
	go func() { served <- stage.Serve(second) }()
	first.place.leave()
	if refusal := <-served; refusal != nil {
		t.Fatalf("the place was not handed on: %+v", *refusal)
	}
	second.place.leave()
	if held := second.place.queue.queue.Held(); held != 0 {
		t.Fatalf("%d places are still held", held)
	}
}
