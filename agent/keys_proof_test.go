package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lacewingmount.dev/config"
)

func (f *fleet) setCuts(cut func(from, to string) bool, store func(vm string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut, f.cutStore = func(string, string) bool { return false }, func(string) bool { return false }
	if cut != nil {
		f.cut = cut
	}
	if store != nil {
		f.cutStore = store
	}
}

// A VM whose questions get no answers, from the store or from its peers, refuses
// keyed routes within the bound, although it runs and everything it is asked reaches it.
func TestProofKeysIsolatedVMFailsClosed(t *testing.T) {
	inFleet(t, fleetSize, func(f *fleet) {
		isolated := f.agents[4]
		f.setCuts(func(from, to string) bool { return from == "vm-04" }, func(vm string) bool { return vm == "vm-04" })
		time.Sleep(convergence)
		if remaining := isolated.keysFor(); remaining > 0 || isolated.admin.Ready() {
			t.Errorf("%v after the cut: keyed routes for another %v, ready %t", convergence, remaining, isolated.admin.Ready())
		}
		others := func(a *Agent) bool { return a == isolated || a.keysFor() > 0 && a.admin.Ready() }
		if closed := f.failing(others); closed != nil {
			t.Errorf("closed although they hear the store: %v", closed)
		}
		// The control: without the rule the VM would go on with a key that was
		// withdrawn meanwhile, of which it cannot know.
		withdrawal := config.NewWithdrawal("test", "key-hash", f.operator)
		f.tell(0, withdrawal)
		time.Sleep(convergence)
		if _, refused := isolated.state.refusedFrom(withdrawal); refused {
			t.Error("the control found nothing: the isolated VM learnt of the withdrawal")
		}
		f.setCuts(nil, nil)
		f.await(func(a *Agent) bool { return a.admin.Ready() })
	})
}

func TestProofKeysOutageOfTheStoreAloneServesOn(t *testing.T) {
	inFleet(t, fleetSize, func(f *fleet) {
		f.setCuts(nil, func(string) bool { return true })
		for range 60 {
			time.Sleep(time.Second)
			if closed := f.failing(func(a *Agent) bool { return a.keysFor() > 0 && a.admin.Ready() }); closed != nil {
				t.Fatalf("closed in an outage of the store: %v", closed)
			}
		}
	})
}

// A withdrawal told to one VM during an outage, under random one-way cuts: after
// the bound each VM either knows of it or has no authority for keyed routes.
func TestProofKeysWithdrawnKeyIsRefusedEverywhereWithinTheBound(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inFleet(t, fleetSize, func(f *fleet) {
				random := rand.New(rand.NewPCG(seed, seed))
				cut := map[string]bool{}
				for i := range fleetSize {
					for j := range fleetSize {
						cut[vmName(i)+vmName(j)] = random.Float64() < 0.15 || i == 7 // nothing of vm-07 gets out
					}
				}
				f.setCuts(func(from, to string) bool { return cut[from+to] }, func(string) bool { return true })
				time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
				withdrawal := config.NewWithdrawal("test", "key-hash", f.operator)
				f.tell(0, withdrawal)
				time.Sleep(convergence)
				serving := f.failing(func(a *Agent) bool {
					_, refused := a.state.refusedFrom(withdrawal)
					return refused || a.keysFor() == 0
				})
				if serving != nil {
					t.Errorf("%v after the withdrawal the key works on %v", convergence, serving)
				}
			})
		})
	}
}

// What was told during the outage is in the store once it is back, and stays in
// force on a VM that has forgotten everything.
func TestProofKeysWithdrawalIsRecordedWhenTheStoreReturns(t *testing.T) {
	inFleet(t, 4, func(f *fleet) {
		f.setCuts(nil, func(string) bool { return true })
		withdrawal := config.NewWithdrawal("test", "key-hash", f.operator)
		f.tell(1, withdrawal)
		f.await(func(a *Agent) bool { _, refused := a.state.refusedFrom(withdrawal); return refused })
		f.setCuts(nil, nil)
		f.await(func(a *Agent) bool { document, _ := a.state.held(); return document.Covers(withdrawal) })
		_, pending := f.agents[0].state.held()
		if len(pending) != 0 {
			t.Errorf("%d withdrawals are still kept besides the document", len(pending))
		}
		forged := withdrawal
		forged.Hash = "another"
		if err := f.agents[0].takeWithdrawals([]config.Withdrawal{forged}); err == nil {
			t.Error("a withdrawal without a valid signature was taken")
		}
	})
}
