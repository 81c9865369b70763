package agent

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/metastore"
	"lacewingmount.dev/once"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// isolatableStore is one agent's connection to the store; while isolated, all calls fail.
type isolatableStore struct {
	metastore.Store
	isolated atomic.Bool
}

var errDisconnected = errs.New(errs.Ambiguous, "no answer from the store", "")

func (s *isolatableStore) List(ctx context.Context, prefix string) ([]metastore.Entry, error) {
	if s.isolated.Load() {
		return nil, errDisconnected
	}
	return s.Store.List(ctx, prefix)
}

func (s *isolatableStore) Get(ctx context.Context, key string) (metastore.Entry, error) {
	if s.isolated.Load() {
		return metastore.Entry{}, errDisconnected
	}
	return s.Store.Get(ctx, key)
}

func (s *isolatableStore) CompareAndSwap(ctx context.Context, key string, value []byte, expect metastore.Version, lease metastore.LeaseID) (metastore.Version, error) {
	if s.isolated.Load() {
		return 0, errDisconnected
	}
	return s.Store.CompareAndSwap(ctx, key, value, expect, lease)
}

// claimsCluster runs the claims part of several agents that share one store.
type claimsCluster struct {
	claims []*claims
	stores []*isolatableStore
}

func newClaimsCluster(t *testing.T, agents int) *claimsCluster {
	t.Helper()
	memory := metastore.NewMemory(time.Now)
	b := &claimsCluster{}
	var vms []metastore.VM
	var listeners []net.Listener
	for i := range agents {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		vms = append(vms, metastore.VM{Name: fmt.Sprint("vm-", i), Zone: "a", Address: listener.Addr().String()})
	}
	for i, vm := range vms {
		clock := timeline.NewClock(time.Now)
		peers := newPeers(membership.Member{Name: vm.Name, Zone: "a", Address: vm.Address}, nil, clock, time.Now)
		peers.update(vms)
		store := &isolatableStore{Store: memory}
		c := newClaims(vm.Name, store, peers, timeline.NewRing(clock, vm.Name, "agent"), zap.NewNop())
		handlers := wire.NewHandlers(clock)
		c.registerHandlers(handlers)
		go handlers.Serve(t.Context(), listeners[i])
		b.claims, b.stores = append(b.claims, c), append(b.stores, store)
	}
	return b
}

func claimOf(key, attempt string) wire.ClaimRequest {
	return wire.ClaimRequest{Account: "reader", Route: "/renewals", Key: key, Digest: "digest", Attempt: attempt}
}

// claimUntilAnswered repeats a claim at an agent until it does not fail.
func (b *claimsCluster) claimUntilAnswered(t *testing.T, agent int, key, attempt string) wire.ClaimState {
	t.Helper()
	for {
		answer, err := b.claims[agent].claim(t.Context(), claimOf(key, attempt))
		if err == nil {
			return answer.State
		}
		time.Sleep(5 * time.Millisecond) // the test's own time limit ends a hang
	}
}

func newKeys(n int) []string {
	var keys []string
	for range n {
		keys = append(keys, uuid.Must(uuid.NewV7()).String())
	}
	return keys
}

// TestProofOnceAmongAgents checks that concurrent claims through all agents grant each
// key to exactly one attempt, also while one agent cannot reach the store and others
// take over its buckets.
func TestProofOnceAmongAgents(t *testing.T) {
	b := newClaimsCluster(t, 3)
	keys := newKeys(4 * once.BucketCount)
	for isolated := range b.stores {
		granted := make(chan string, 10*len(keys))
		var left atomic.Int32
		b.stores[isolated].isolated.Store(true)
		for i, key := range keys {
			for agent := range b.claims {
				left.Add(1)
				go func() {
					defer left.Add(-1)
					if b.claimUntilAnswered(t, agent, key, fmt.Sprint(isolated, agent, i)) == wire.ClaimGranted {
						granted <- key
					}
				}()
			}
		}
		for left.Load() > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		b.stores[isolated].isolated.Store(false)
		close(granted)
		seen := map[string]bool{}
		for key := range granted {
			if seen[key] {
				t.Fatalf("key %s was granted twice", key)
			}
			seen[key] = true
		}
		if len(seen) != len(keys) {
			t.Fatalf("%d of %d new keys were granted while agent %d had no store", len(seen), len(keys), isolated)
		}
		for _, key := range keys {
			if state := b.claimUntilAnswered(t, (isolated+1)%3, key, "late"); state != wire.ClaimPending {
				t.Fatalf("a duplicate claim returned %s, want pending", state)
			}
		}
		keys = newKeys(4 * once.BucketCount)
	}
}

// A claim that is repeated by the same attempt gets the same answer, also at another
// agent. A claim that arrives after its attempt was abandoned is not granted.
func TestRepeatedAndAbandonedClaims(t *testing.T) {
	b := newClaimsCluster(t, 2)
	for _, key := range newKeys(2 * once.BucketCount) {
		for agent := range b.claims {
			if state := b.claimUntilAnswered(t, agent, key, "attempt"); state != wire.ClaimGranted {
				t.Fatalf("repeated claim: %s", state)
			}
		}
	}
	for _, key := range newKeys(2 * once.BucketCount) {
		release := wire.SettleRequest{Claim: claimOf(key, "lost"), NotRun: true}
		if _, err := b.claims[0].settle(t.Context(), release); err != nil {
			t.Fatal(err)
		}
		if _, err := b.claims[1].claim(t.Context(), claimOf(key, "lost")); errs.KindOf(err) != errs.Unavailable {
			t.Fatalf("a claim that was abandoned before it arrived: %v", err)
		}
		if state := b.claimUntilAnswered(t, 1, key, "next"); state != wire.ClaimGranted {
			t.Fatalf("the next attempt: %s", state)
		}
	}
}

// Kept answers are written to the store at a graceful shutdown, so another agent can
// return them after all agents have stopped.
func TestKeptAnswersSurviveShutdown(t *testing.T) {
	b := newClaimsCluster(t, 2)
	keys := newKeys(once.BucketCount)
	for _, key := range keys {
		b.claimUntilAnswered(t, 0, key, "attempt")
		kept := &wire.KeptAnswer{Status: 201, Body: []byte("answer")}
		if _, err := b.claims[1].settle(t.Context(), wire.SettleRequest{Claim: claimOf(key, "attempt"), Kept: kept}); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range b.claims {
		c.shutdown()
	}
	memory := b.stores[0].Store
	clock := timeline.NewClock(time.Now)
	peers := newPeers(membership.Member{Name: "vm-9"}, nil, clock, time.Now)
	next := newClaims("vm-9", memory, peers, timeline.NewRing(clock, "vm-9", "agent"), zap.NewNop())
	for _, key := range keys {
		answer, err := next.claim(t.Context(), claimOf(key, "later"))
		if err != nil || answer.State != wire.ClaimAnswered || string(answer.Kept.Body) != "answer" {
			t.Fatalf("got %+v, %v", answer, err)
		}
	}
}

// An owner that cannot write to the store still returns its kept answers, also after it
// refused another claim of the same bucket.
func TestOwnerWithoutStoreTellsKeptAnswers(t *testing.T) {
	b := newClaimsCluster(t, 2)
	byBucket := map[int][]string{}
	for _, key := range newKeys(16 * once.BucketCount) {
		claim, err := newClaim(claimOf(key, ""))
		if err != nil {
			t.Fatal(err)
		}
		bucket := once.BucketOf(claim.ID, once.BucketCount)
		byBucket[bucket] = append(byBucket[bucket], key)
	}
	for _, keys := range byBucket {
		if state := b.claimUntilAnswered(t, 0, keys[0], "first"); state != wire.ClaimGranted {
			t.Fatalf("first claim: %s", state)
		}
		end := wire.SettleRequest{Claim: claimOf(keys[0], "first"), Kept: &wire.KeptAnswer{Status: 200}}
		if _, err := b.claims[0].settle(t.Context(), end); err != nil {
			t.Fatal(err)
		}
	}
	for _, store := range b.stores {
		store.isolated.Store(true)
	}
	for _, keys := range byBucket {
		for agent := range b.claims {
			if _, err := b.claims[agent].claim(t.Context(), claimOf(keys[1], "new")); err == nil {
				t.Fatal("granted without a store")
			}
		}
		for agent := range b.claims {
			answer, err := b.claims[agent].claim(t.Context(), claimOf(keys[0], "duplicate"))
			if err != nil || answer.State != wire.ClaimAnswered {
				t.Fatalf("duplicate through agent %d: %s, %v", agent, answer.State, err)
			}
		}
	}
}

// successor returns the claims part of a VM that starts after the cluster has ended.
func (b *claimsCluster) successor() *claims {
	clock := timeline.NewClock(time.Now)
	peers := newPeers(membership.Member{Name: "vm-9"}, nil, clock, time.Now)
	return newClaims("vm-9", b.stores[0].Store, peers, timeline.NewRing(clock, "vm-9", "agent"), zap.NewNop())
}

// wantKeptAnswer checks that duplicates of the request get the kept answer.
func wantKeptAnswer(t *testing.T, c *claims, key string) {
	t.Helper()
	answer, err := c.claim(t.Context(), claimOf(key, "duplicate"))
	if err != nil || answer.State != wire.ClaimAnswered || answer.Kept == nil || string(answer.Kept.Body) != "answer" {
		t.Fatalf("a duplicate got state %q, %v, want the kept answer", answer.State, err)
	}
}

func settlementOf(key, attempt string) wire.SettleRequest {
	return wire.SettleRequest{Claim: claimOf(key, attempt), Kept: &wire.KeptAnswer{Status: 201, Body: []byte("answer")}}
}

// A stopping agent repeats a write that failed just before, so that duplicates get the
// answer of a request that ended in a short outage of the store.
func TestShutdownWritesSettlementsAfterAnOutageOfTheStore(t *testing.T) {
	b := newClaimsCluster(t, 1)
	key := newKeys(1)[0]
	b.claimUntilAnswered(t, 0, key, "attempt")
	b.stores[0].isolated.Store(true)
	if _, err := b.claims[0].settle(t.Context(), settlementOf(key, "attempt")); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(claimsShutdownTimeout/4, func() { b.stores[0].isolated.Store(false) })
	b.claims[0].shutdown()
	b.stores[0].isolated.Store(true) // the process has ended
	wantKeptAnswer(t, b.successor(), key)
}

// An agent that has written its settlements and is about to end accepts no more of them, so
// that they are recorded by the agent that takes over the bucket.
func TestSettlementsAfterShutdownGoToTheNextOwner(t *testing.T) {
	b := newClaimsCluster(t, 2)
	keys := newKeys(2 * once.BucketCount) // both agents own some of their buckets
	for _, key := range keys {
		b.claimUntilAnswered(t, 1, key, "attempt")
	}
	b.claims[0].shutdown()
	b.stores[0].isolated.Store(true) // writes that the end of the process would cut off
	for _, key := range keys {
		if _, err := b.claims[1].settle(t.Context(), settlementOf(key, "attempt")); err != nil {
			t.Fatal(err)
		}
	}
	for _, key := range keys {
		wantKeptAnswer(t, b.claims[1], key)
	}
}
