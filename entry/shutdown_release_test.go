package entry

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// slowAgent is an agent that records settlements later than a refusal waits for them.
type slowAgent struct {
	loseClaims bool // claims are recorded, but their answers are lost
	mu         sync.Mutex
	settled    []wire.SettleRequest
}

func (a *slowAgent) claim(context.Context, wire.ClaimRequest) (wire.ClaimAnswer, error) {
	if a.loseClaims {
		return wire.ClaimAnswer{}, errs.New(errs.Ambiguous, "the claim may be recorded", "")
	}
	return wire.ClaimAnswer{State: wire.ClaimGranted}, nil
}

func (a *slowAgent) settle(_ context.Context, request wire.SettleRequest) (wire.SettleAnswer, error) {
	time.Sleep(3 * settleWait)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settled = append(a.settled, request)
	return wire.SettleAnswer{}, nil
}

func (a *slowAgent) settlements() []wire.SettleRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.settled)
}

// serve starts the agent and returns its address.
func (a *slowAgent) serve(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handlers := wire.NewHandlers(timeline.NewClock(time.Now))
	wire.Handle(handlers, wire.MethodClaim, a.claim)
	wire.Handle(handlers, wire.MethodSettle, a.settle)
	go handlers.Serve(t.Context(), listener)
	return listener.Addr().String()
}

// TestProofShutdownLosesNoReleaseOfAClaim checks that a request that was refused as not run
// just before the entry stops can be sent again with its key.
func TestProofShutdownLosesNoReleaseOfAClaim(t *testing.T) {
	for name, agent := range map[string]*slowAgent{
		"no backend server": {},
		"claim in doubt":    {loseClaims: true},
	} {
		t.Run(name, func(t *testing.T) {
			e := New(Settings{VM: "vm", Zone: "a", Agent: agent.serve(t)}, zap.NewNop())
			e.authority.extend(time.Now(), time.Hour)
			e.stages = slices.DeleteFunc(e.stages, func(s Stage) bool { return s.Name() == "admit" })
			table := newTable(wire.Snapshot{Document: testDocument([]string{unusedAddress(t)})}, nil)
			e.servers.setTable(table)
			e.table.Store(table)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := e.serve(listener)

			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String()+"/protected", strings.NewReader("order"))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("X-Client-Key", testKey)
			request.Header.Set(idempotencyHeader, newKey())
			request.Header.Set(deadlineHeader, "300")
			if got := roundTrip(request); got.outcome != OutcomeNotRun {
				t.Fatalf("got %+v, want a refusal as not run", got)
			}
			if err := e.shutdown(server); err != nil {
				t.Error(err)
			}
			if settled := agent.settlements(); len(settled) != 1 || !settled[0].NotRun {
				t.Fatalf("settled when the entry has stopped: %+v, want the claim released", settled)
			}
		})
	}
}
