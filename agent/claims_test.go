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

// cuttableStore is one agent's way to a store, which can be cut.
type cuttableStore struct {
	metastore.Store
	cut atomic.Bool
}

var errCut = errs.New(errs.Ambiguous, "no answer from the store", "")

func (s *cuttableStore) List(ctx context.Context, prefix string) ([]metastore.Entry, error) {
	if s.cut.Load() {
		return nil, errCut
	}
	return s.Store.List(ctx, prefix)
}

func (s *cuttableStore) Get(ctx context.Context, key string) (metastore.Entry, error) {
	if s.cut.Load() {
		return metastore.Entry{}, errCut
	}
	return s.Store.Get(ctx, key)
}

func (s *cuttableStore) CompareAndSwap(ctx context.Context, key string, value []byte, expect metastore.Version, lease metastore.LeaseID) (metastore.Version, error) {
	if s.cut.Load() {
		return 0, errCut
	}
	return s.Store.CompareAndSwap(ctx, key, value, expect, lease)
}

// claimsBench is the part of several agents that is about claims.
type claimsBench struct {
	claims []*claims
	stores []*cuttableStore
}

func newClaimsBench(t *testing.T, agents int) *claimsBench {
	t.Helper()
	memory := metastore.NewMemory(time.Now)
	b := &claimsBench{}
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
		store := &cuttableStore{Store: memory}
		c := newClaims(vm.Name, store, peers, timeline.NewRing(clock, vm.Name, "agent"), zap.NewNop())
		handlers := wire.NewHandlers(clock)
		c.handle(handlers)
		go handlers.Serve(t.Context(), listeners[i])
		b.claims, b.stores = append(b.claims, c), append(b.stores, store)
	}
	return b
}

func claimOf(key, attempt string) wire.ClaimRequest {
	return wire.ClaimRequest{Account: "reader", Route: "/renewals", Key: key, Digest: "digest", Attempt: attempt}
}

// ask claims through an agent until there is an answer other than a refusal.
func (b *claimsBench) ask(t *testing.T, agent int, key, attempt string) wire.ClaimState {
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

// TestProofOnceAmongAgents: claims through all agents at once grant each key to
// one attempt, also while agents lose the store and their buckets.
func TestProofOnceAmongAgents(t *testing.T) {
	b := newClaimsBench(t, 3)
	keys := newKeys(4 * once.BucketCount)
	for cut := range b.stores {
		granted := make(chan string, 10*len(keys))
		var left atomic.Int32
		b.stores[cut].cut.Store(true)
		for i, key := range keys {
			for agent := range b.claims {
				left.Add(1)
				go func() {
					defer left.Add(-1)
					if b.ask(t, agent, key, fmt.Sprint(cut, agent, i)) == wire.ClaimGranted {
						granted <- key
					}
				}()
			}
		}
		for left.Load() > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		b.stores[cut].cut.Store(false)
		close(granted)
		seen := map[string]bool{}
		for key := range granted {
			if seen[key] {
				t.Fatalf("key %s was granted twice", key)
			}
			seen[key] = true
		}
		if len(seen) != len(keys) {
			t.Fatalf("%d of %d new keys were granted while agent %d had no store", len(seen), len(keys), cut)
		}
		for _, key := range keys {
			if state := b.ask(t, (cut+1)%3, key, "late"); state != wire.ClaimPending {
				t.Fatalf("a duplicate was told %s", state)
			}
		}
		keys = newKeys(4 * once.BucketCount)
	}
}

// A claim whose answer was lost is the same claim when it is repeated, also at
// another agent, and one that was given up stays given up.
func TestRepeatedAndAbandonedClaims(t *testing.T) {
	b := newClaimsBench(t, 2)
	for _, key := range newKeys(2 * once.BucketCount) {
		for agent := range b.claims {
			if state := b.ask(t, agent, key, "attempt"); state != wire.ClaimGranted {
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
			t.Fatalf("a claim that was given up before it arrived: %v", err)
		}
		if state := b.ask(t, 1, key, "next"); state != wire.ClaimGranted {
			t.Fatalf("the next attempt: %s", state)
		}
	}
}

// The answer is kept by the owner and found through every agent, and a graceful
// end of all agents loses none.
func TestAnswersOutliveAGracefulEnd(t *testing.T) {
	b := newClaimsBench(t, 2)
	keys := newKeys(once.BucketCount)
	for _, key := range keys {
		b.ask(t, 0, key, "attempt")
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

// An owner that cannot write still tells the answers that it keeps, also after it
// had to refuse another request of the same bucket.
func TestOwnerWithoutStoreTellsKeptAnswers(t *testing.T) {
	b := newClaimsBench(t, 2)
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
		if state := b.ask(t, 0, keys[0], "first"); state != wire.ClaimGranted {
			t.Fatalf("first claim: %s", state)
		}
		end := wire.SettleRequest{Claim: claimOf(keys[0], "first"), Kept: &wire.KeptAnswer{Status: 200}}
		if _, err := b.claims[0].settle(t.Context(), end); err != nil {
			t.Fatal(err)
		}
	}
	for _, store := range b.stores {
		store.cut.Store(true)
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
