package agent

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/limit"
	"lacewingmount.dev/metastore"
)

// faultyStore loses replies to writes that took effect, or fails all calls while down.
type faultyStore struct {
	*metastore.Memory
	loseReplies int
	down        bool
}

func (s *faultyStore) Get(ctx context.Context, key string) (metastore.Entry, error) {
	if s.down {
		return metastore.Entry{}, errs.New(errs.Unavailable, "the store is down", "wait")
	}
	return s.Memory.Get(ctx, key)
}

func (s *faultyStore) CompareAndSwap(ctx context.Context, key string, value []byte, expect metastore.Version, lease metastore.LeaseID) (metastore.Version, error) {
	if s.down {
		return 0, errs.New(errs.Unavailable, "the store is down", "wait")
	}
	version, err := s.Memory.CompareAndSwap(ctx, key, value, expect, lease)
	if err == nil && s.loseReplies > 0 {
		s.loseReplies--
		return 0, errs.New(errs.Ambiguous, "the answer was lost", "read back")
	}
	return version, err
}

// sharesFixture runs agents that share one store and one clock.
type sharesFixture struct {
	t     *testing.T
	store *faultyStore
	vms   []metastore.VM
	mu    sync.Mutex
	time  time.Time
}

func newSharesFixture(t *testing.T, vms int) *sharesFixture {
	s := &sharesFixture{t: t, time: time.Unix(1000, 0)}
	s.store = &faultyStore{Memory: metastore.NewMemory(s.now)}
	for i := range vms {
		s.vms = append(s.vms, metastore.VM{Name: fmt.Sprintf("vm-%d", i), Zone: "a", Address: "127.0.0.1:1"})
	}
	s.store.SetVMs(s.vms)
	return s
}

func (s *sharesFixture) now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.time
}

func (s *sharesFixture) advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.time = s.time.Add(d)
}

// start starts an agent of a VM with the given incarnation and serves its calls.
func (s *sharesFixture) start(i int, incarnation uint64) *Agent {
	s.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.vms[i].Address = listener.Addr().String()
	s.store.SetVMs(s.vms)
	a := New(Settings{VM: s.vms[i].Name, Zone: "a", Listen: s.vms[i].Address}, zap.NewNop(), s.store, s.store)
	a.lending.now = s.now
	a.lending.self.Incarnation = incarnation
	a.lending.lender = limit.NewLender(a.lending.timing, a.lending.self)
	a.lending.owner = limit.NewOwner(a.lending.timing, incarnation)
	a.shares = newShares(a)
	go a.handlers().Serve(s.t.Context(), listener)
	a.peers.update(s.vms)
	return a
}

func (s *sharesFixture) reconcile(agents ...*Agent) {
	s.t.Helper()
	for _, a := range agents {
		for range 3 {
			if err := a.shares.reconcile(s.t.Context()); err == nil {
				break
			}
		}
	}
}

// ledger returns the ledger from the store and fails the test if it is invalid. It ends an
// outage of the store.
func (s *sharesFixture) ledger() limit.Ledger {
	s.t.Helper()
	s.store.down = false
	ledger, err := (&shares{store: s.store}).read(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	return ledger
}

// leasable returns the number of shares that an agent may lease now.
func leasable(a *Agent) int {
	sum := 0
	for _, lease := range a.lending.lender.HeldShares() {
		sum += lease.Shares
	}
	return sum
}

func TestProofRateSharesAreClaimedOnceThroughLostAnswers(t *testing.T) {
	s := newSharesFixture(t, 3)
	s.store.loseReplies = 2
	agents := []*Agent{s.start(0, 1), s.start(1, 1), s.start(2, 1)}
	s.reconcile(agents...)
	s.reconcile(agents...)
	sum := 0
	for _, a := range agents {
		held, _ := s.ledger().HoldingOf(a.settings.VM)
		if leasable(a) != held.Shares || held.Shares != limit.InitialShares/3 {
			t.Errorf("%s may lease %d shares and holds %d, want a third of all", a.settings.VM, leasable(a), held.Shares)
		}
		sum += leasable(a)
	}
	if sum != limit.InitialShares {
		t.Errorf("%d of %d shares are held", sum, limit.InitialShares)
	}
}

func TestProofRateRestartedAgentTakesOverAndWaits(t *testing.T) {
	s := newSharesFixture(t, 2)
	first := s.start(0, 1)
	s.reconcile(first)
	second := s.start(0, 2)
	s.reconcile(second)
	if want := s.now().Add(second.lending.timing.RestartDelay()); second.shares.usableFrom != want {
		t.Errorf("the shares may be leased from %v, want %v", second.shares.usableFrom, want)
	}
	s.reconcile(first) // the previous incarnation is still running
	if leasable(first) != 0 || leasable(second) != limit.InitialShares/2 {
		t.Errorf("the previous incarnation may lease %d shares, the new one %d; want none and half", leasable(first), leasable(second))
	}
}

func TestProofRateSharesOfAGoneVMAreFreedAfterTheBoundOnly(t *testing.T) {
	s := newSharesFixture(t, 2)
	agents := []*Agent{s.start(0, 1), s.start(1, 1)}
	s.reconcile(agents...)
	_, self, _ := agents[0].peers.owner(reclaimKey)
	down, remaining := agents[0], agents[1]
	if self {
		down, remaining = agents[1], agents[0]
	}
	var left []metastore.VM
	for _, vm := range s.vms {
		if vm.Name != down.settings.VM {
			left = append(left, vm)
		}
	}
	s.store.SetVMs(left)
	remaining.peers.update(left)
	held := func() bool { _, ok := s.ledger().HoldingOf(down.settings.VM); return ok }
	for range 2 { // the absence counts from the first check that finds the VM absent
		s.advance(limit.DefaultReclaimAfter / 2)
		s.reconcile(remaining)
		if !held() {
			t.Fatal("shares were freed before the bound")
		}
	}
	s.store.down = true
	s.advance(limit.DefaultReclaimAfter)
	_ = remaining.shares.reconcile(t.Context())
	s.store.down = false
	s.advance(limit.DefaultReclaimAfter / 2)
	s.reconcile(remaining)
	s.advance(limit.DefaultReclaimAfter)
	s.reconcile(remaining)
	if held() || leasable(remaining) != limit.InitialShares {
		t.Fatalf("still held: %t; the remaining VM may lease %d shares, want all", held(), leasable(remaining))
	}
}

func TestProofRateLeavingVMReturnsOrTransfersItsShares(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("store down %t", down), func(t *testing.T) {
			s := newSharesFixture(t, 2)
			agents := []*Agent{s.start(0, 1), s.start(1, 1)}
			agents[0].peers.update(s.vms)
			s.reconcile(agents...)
			s.store.down = down
			agents[0].shares.leave(t.Context())
			if down && leasable(agents[1]) != limit.InitialShares {
				t.Fatalf("the successor may lease %d shares, want all", leasable(agents[1]))
			}
			s.store.down = false
			agents[1].peers.update(s.vms[1:])
			s.store.SetVMs(s.vms[1:])
			s.reconcile(agents[1])
			if held, _ := s.ledger().HoldingOf("vm-1"); held.Shares != limit.InitialShares || leasable(agents[1]) != limit.InitialShares {
				t.Fatalf("vm-1 holds %d shares and may lease %d, want all", held.Shares, leasable(agents[1]))
			}
			if _, ok := s.ledger().HoldingOf("vm-0"); ok {
				t.Fatal("the VM that left still holds shares")
			}
		})
	}
}

func TestProofRateExcessIsGivenBackAfterItIsNoLongerLent(t *testing.T) {
	s := newSharesFixture(t, 1)
	first := s.start(0, 1)
	s.reconcile(first)
	s.vms = append(s.vms, metastore.VM{Name: "vm-1", Zone: "a", Address: "127.0.0.1:1"})
	second := s.start(1, 1)
	s.reconcile(first, second)
	if leasable(first) != limit.InitialShares/2 || leasable(second) != 0 {
		t.Fatalf("first may lease %d shares, second %d, before the excess is free; want half and none", leasable(first), leasable(second))
	}
	s.advance(first.lending.timing.RestartDelay())
	s.reconcile(first, second)
	if leasable(first) != limit.InitialShares/2 || leasable(second) != limit.InitialShares/2 {
		t.Fatalf("first may lease %d shares, second %d; want half each", leasable(first), leasable(second))
	}
}
