package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lacewingmount.dev/config"
)

// setCuts replaces the network partitions. cut reports whether messages between two VMs
// are lost, store whether a VM cannot reach the store; nil means no partition.
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

// A VM whose requests to the store and to its peers get no answers refuses routes that
// need a key within the bound, although it is running and receives requests.
func TestProofKeysIsolatedVMFailsClosed(t *testing.T) {
	withFleet(t, fleetSize, func(f *fleet) {
		isolated := f.agents[4]
		f.setCuts(func(from, to string) bool { return from == "vm-04" }, func(vm string) bool { return vm == "vm-04" })
		time.Sleep(convergenceBound)
		if remaining := isolated.authorityRemaining(); remaining > 0 || isolated.admin.Ready() {
			t.Errorf("%v after the partition: authority for another %v, ready %t", convergenceBound, remaining, isolated.admin.Ready())
		}
		others := func(a *Agent) bool { return a == isolated || a.authorityRemaining() > 0 && a.admin.Ready() }
		if withoutAuthority := f.vmsFailing(others); withoutAuthority != nil {
			t.Errorf("without authority although they reach the store: %v", withoutAuthority)
		}
		// Control: without the rule the VM would accept a key that was withdrawn during
		// the partition, because the withdrawal cannot reach it.
		withdrawal := config.NewWithdrawal("test", "key-hash", f.operator)
		f.withdrawKey(0, withdrawal)
		time.Sleep(convergenceBound)
		if _, refused := isolated.state.refusalSequence(withdrawal); refused {
			t.Error("the control is ineffective: the withdrawal reached the isolated VM")
		}
		f.setCuts(nil, nil)
		f.waitUntil(func(a *Agent) bool { return a.admin.Ready() })
	})
}

func TestProofKeysOutageOfTheStoreAloneServesOn(t *testing.T) {
	withFleet(t, fleetSize, func(f *fleet) {
		f.setCuts(nil, func(string) bool { return true })
		for range 60 {
			time.Sleep(time.Second)
			if withoutAuthority := f.vmsFailing(func(a *Agent) bool { return a.authorityRemaining() > 0 && a.admin.Ready() }); withoutAuthority != nil {
				t.Fatalf("without authority in an outage of the store: %v", withoutAuthority)
			}
		}
	})
}

// A key is withdrawn at one VM during an outage of the store, under random one-way
// partitions. After the bound each VM either refuses the key or has no authority to serve
// routes that need a key.
func TestProofKeysWithdrawnKeyIsRefusedEverywhereWithinTheBound(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withFleet(t, fleetSize, func(f *fleet) {
				random := rand.New(rand.NewPCG(seed, seed))
				cut := map[string]bool{}
				for i := range fleetSize {
					for j := range fleetSize {
						cut[vmName(i)+vmName(j)] = random.Float64() < 0.15 || i == 7 // no message from vm-07 arrives
					}
				}
				f.setCuts(func(from, to string) bool { return cut[from+to] }, func(string) bool { return true })
				time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
				withdrawal := config.NewWithdrawal("test", "key-hash", f.operator)
				f.withdrawKey(0, withdrawal)
				time.Sleep(convergenceBound)
				serving := f.vmsFailing(func(a *Agent) bool {
					_, refused := a.state.refusalSequence(withdrawal)
					return refused || a.authorityRemaining() == 0
				})
				if serving != nil {
					t.Errorf("%v after the withdrawal the key is still accepted by %v", convergenceBound, serving)
				}
			})
		})
	}
}

// A withdrawal that agents received during an outage is written to the store once it is
// available again, so a VM that starts later also refuses the key.
func TestProofKeysWithdrawalIsRecordedWhenTheStoreReturns(t *testing.T) {
	withFleet(t, 4, func(f *fleet) {
		f.setCuts(nil, func(string) bool { return true })
		withdrawal := config.NewWithdrawal("test", "key-hash", f.operator)
		f.withdrawKey(1, withdrawal)
		f.waitUntil(func(a *Agent) bool { _, refused := a.state.refusalSequence(withdrawal); return refused })
		f.setCuts(nil, nil)
		f.waitUntil(func(a *Agent) bool { document, _ := a.state.configuration(); return document.Covers(withdrawal) })
		_, pending := f.agents[0].state.configuration()
		if len(pending) != 0 {
			t.Errorf("%d withdrawals are still kept in addition to the document", len(pending))
		}
		forged := withdrawal
		forged.Hash = "another"
		if err := f.agents[0].acceptWithdrawals([]config.Withdrawal{forged}); err == nil {
			t.Error("a withdrawal without a valid signature was accepted")
		}
	})
}
