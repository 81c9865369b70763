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

// faultyStore loses answers of writes that took effect, or is gone.
type faultyStore struct {
	*metastore.Memory
	lose int
	gone bool
}

func (s *faultyStore) Get(ctx context.Context, key string) (metastore.Entry, error) {
	if s.gone {
		return metastore.Entry{}, errs.New(errs.Unavailable, "the store is gone", "wait")
	}
	return s.Memory.Get(ctx, key)
}

func (s *faultyStore) CompareAndSwap(ctx context.Context, key string, value []byte, expect metastore.Version, lease metastore.LeaseID) (metastore.Version, error) {
	if s.gone {
		return 0, errs.New(errs.Unavailable, "the store is gone", "wait")
	}
	version, err := s.Memory.CompareAndSwap(ctx, key, value, expect, lease)
	if err == nil && s.lose > 0 {
		s.lose--
		return 0, errs.New(errs.Ambiguous, "the answer was lost", "read back")
	}
	return version, err
}

// sharing is a number of agents with one store and one clock.
type sharing struct {
	t     *testing.T
	store *faultyStore
	vms   []metastore.VM
	mu    sync.Mutex
	time  time.Time
}

func newSharing(t *testing.T, vms int) *sharing {
	s := &sharing{t: t, time: time.Unix(1000, 0)}
	s.store = &faultyStore{Memory: metastore.NewMemory(s.now)}
	for i := range vms {
		s.vms = append(s.vms, metastore.VM{Name: fmt.Sprintf("vm-%d", i), Zone: "a", Address: "127.0.0.1:1"})
	}
	s.store.SetVMs(s.vms)
	return s
}

func (s *sharing) now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.time
}

func (s *sharing) pass(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.time = s.time.Add(d)
}

// start boots the agent of a VM and serves its calls.
func (s *sharing) start(i int, incarnation uint64) *Agent {
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
	a.lending.lender = limit.NewLender(a.lending.terms, a.lending.self)
	a.lending.home = limit.NewOwner(a.lending.terms, incarnation)
	a.shares = newShares(a)
	go a.handlers().Serve(s.t.Context(), listener)
	a.peers.update(s.vms)
	return a
}

func (s *sharing) reconcile(agents ...*Agent) {
	s.t.Helper()
	for _, a := range agents {
		for range 3 {
			if err := a.shares.reconcile(s.t.Context()); err == nil {
				break
			}
		}
	}
}

// ledger returns the stored ledger and checks it.
func (s *sharing) ledger() limit.Ledger {
	s.t.Helper()
	s.store.gone = false
	ledger, err := (&shares{store: s.store}).read(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	return ledger
}

// lendable is the number of shares that an agent may lend now.
func lendable(a *Agent) int {
	sum := 0
	for _, right := range a.lending.lender.Rights() {
		sum += right.Shares
	}
	return sum
}

func TestProofRateSharesAreClaimedOnceThroughLostAnswers(t *testing.T) {
	s := newSharing(t, 3)
	s.store.lose = 2
	agents := []*Agent{s.start(0, 1), s.start(1, 1), s.start(2, 1)}
	s.reconcile(agents...)
	s.reconcile(agents...)
	sum := 0
	for _, a := range agents {
		held, _ := s.ledger().HoldingOf(a.settings.VM)
		if lendable(a) != held.Shares || held.Shares != limit.InitialShares/3 {
			t.Errorf("%s lends %d of %d shares held", a.settings.VM, lendable(a), held.Shares)
		}
		sum += lendable(a)
	}
	if sum != limit.InitialShares {
		t.Errorf("%d of %d shares are held", sum, limit.InitialShares)
	}
}

func TestProofRateRestartedAgentTakesOverAndWaits(t *testing.T) {
	s := newSharing(t, 2)
	first := s.start(0, 1)
	s.reconcile(first)
	second := s.start(0, 2)
	s.reconcile(second)
	if want := s.now().Add(second.lending.terms.RestartDelay()); second.shares.from != want {
		t.Errorf("the shares may be used from %v, want %v", second.shares.from, want)
	}
	s.reconcile(first) // a predecessor that still runs
	if lendable(first) != 0 || lendable(second) != limit.InitialShares/2 {
		t.Errorf("predecessor lends %d shares, successor %d", lendable(first), lendable(second))
	}
}

func TestProofRateSharesOfAGoneVMAreFreedAfterTheBoundOnly(t *testing.T) {
	s := newSharing(t, 2)
	agents := []*Agent{s.start(0, 1), s.start(1, 1)}
	s.reconcile(agents...)
	_, self, _ := agents[0].peers.home(reclaimKey)
	gone, stays := agents[0], agents[1]
	if self {
		gone, stays = agents[1], agents[0]
	}
	var left []metastore.VM
	for _, vm := range s.vms {
		if vm.Name != gone.settings.VM {
			left = append(left, vm)
		}
	}
	s.store.SetVMs(left)
	stays.peers.update(left)
	held := func() bool { _, ok := s.ledger().HoldingOf(gone.settings.VM); return ok }
	for range 2 { // the bound begins with the first look that finds the VM gone
		s.pass(limit.DefaultReclaimAfter / 2)
		s.reconcile(stays)
		if !held() {
			t.Fatal("shares were freed before the bound")
		}
	}
	s.store.gone = true
	s.pass(limit.DefaultReclaimAfter)
	_ = stays.shares.reconcile(t.Context())
	s.store.gone = false
	s.pass(limit.DefaultReclaimAfter / 2)
	s.reconcile(stays)
	s.pass(limit.DefaultReclaimAfter)
	s.reconcile(stays)
	if held() || lendable(stays) != limit.InitialShares {
		t.Fatalf("still held: %t; the remaining VM lends %d shares", held(), lendable(stays))
	}
}

func TestProofRateLeavingVMReturnsOrTransfersItsShares(t *testing.T) {
	for _, gone := range []bool{false, true} {
		t.Run(fmt.Sprintf("store gone %t", gone), func(t *testing.T) {
			s := newSharing(t, 2)
			agents := []*Agent{s.start(0, 1), s.start(1, 1)}
			agents[0].peers.update(s.vms)
			s.reconcile(agents...)
			s.store.gone = gone
			agents[0].shares.leave(t.Context())
			if gone && lendable(agents[1]) != limit.InitialShares {
				t.Fatalf("the successor lends %d shares", lendable(agents[1]))
			}
			s.store.gone = false
			agents[1].peers.update(s.vms[1:])
			s.store.SetVMs(s.vms[1:])
			s.reconcile(agents[1])
			if held, _ := s.ledger().HoldingOf("vm-1"); held.Shares != limit.InitialShares || lendable(agents[1]) != limit.InitialShares {
				t.Fatalf("vm-1 holds %d shares and lends %d", held.Shares, lendable(agents[1]))
			}
			if _, ok := s.ledger().HoldingOf("vm-0"); ok {
				t.Fatal("the VM that left still holds shares")
			}
		})
	}
}

func TestProofRateExcessIsGivenBackAfterItIsNoLongerLent(t *testing.T) {
	s := newSharing(t, 1)
	first := s.start(0, 1)
	s.reconcile(first)
	s.vms = append(s.vms, metastore.VM{Name: "vm-1", Zone: "a", Address: "127.0.0.1:1"})
	second := s.start(1, 1)
	s.reconcile(first, second)
	if lendable(first) != limit.InitialShares/2 || lendable(second) != 0 {
		t.Fatalf("first lends %d, second %d before the excess is free", lendable(first), lendable(second))
	}
	s.pass(first.lending.terms.RestartDelay())
	s.reconcile(first, second)
	if lendable(first) != limit.InitialShares/2 || lendable(second) != limit.InitialShares/2 {
		t.Fatalf("first lends %d, second %d, want half each", lendable(first), lendable(second))
	}
}
