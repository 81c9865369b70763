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

// recordingClaimer records the calls of Settle.
type recordingClaimer struct {
	Claimer
	requests []wire.SettleRequest
}

func (s *recordingClaimer) Settle(_ context.Context, request wire.SettleRequest) error {
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
	claimer := &recordingClaimer{}
	stage := newQueueStage(newSettler(claimer))
	if refusal := stage.Serve(queuedExchange(t.Context(), time.Minute)); refusal != nil {
		t.Fatalf("the first request was refused although a slot is free: %+v", *refusal)
	}
	x := queuedExchange(t.Context(), time.Millisecond) // its deadline passes before the slot is free
	x.Claim = &wire.ClaimRequest{Account: "reader", Key: "k"}
	refusal := stage.Serve(x)
	if refusal == nil || refusal.Outcome != OutcomeNotRun || refusal.Reason != ReasonBusy {
		t.Fatalf("%+v, want a refusal with reason busy and outcome not-run", refusal)
	}
	if len(claimer.requests) != 1 || !claimer.requests[0].NotRun {
		t.Fatalf("settled %+v, want the claim released", claimer.requests)
	}
}

func TestQueueSlotPassesToNextRequestAndCancelledCallerGetsNone(t *testing.T) {
	stage := newQueueStage(newSettler(&recordingClaimer{}))
	first := queuedExchange(t.Context(), time.Minute)
	if refusal := stage.Serve(first); refusal != nil {
		t.Fatal(*refusal)
	}
	cancelled, leave := context.WithCancel(t.Context())
	leave()
	if refusal := stage.Serve(queuedExchange(cancelled, time.Minute)); refusal == nil {
		t.Fatal("a cancelled request got a slot")
	}
	second := queuedExchange(t.Context(), time.Minute)
	served := make(chan *Refusal)
	go func() { served <- stage.Serve(second) }()
	first.slot.leave()
	if refusal := <-served; refusal != nil {
		t.Fatalf("the released slot was not given to the waiting request: %+v", *refusal)
	}
	second.slot.leave()
	if held := second.slot.queue.queue.Held(); held != 0 {
		t.Fatalf("%d slots are still in use", held)
	}
}
