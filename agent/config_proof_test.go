package agent

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/wire"
)

const fleetSize = 12

func TestProofConfigReachesVMsCutOffFromTheStore(t *testing.T) {
	inFleet(t, fleetSize, func(f *fleet) {
		f.setCuts(nil, func(vm string) bool { return vm >= "vm-03" }) // a quarter hears the store
		time.Sleep(10 * time.Second)
		f.apply(2)
		time.Sleep(convergence)
		if late := f.failing(func(a *Agent) bool { return f.revision(a) == 2 }); late != nil {
			t.Errorf("%v after the write not in force on %v", convergence, late)
		}
	})
}

// The control: without exchanges the VMs that are cut off keep the old revision.
func TestControlConfigWithoutExchangeStaysOld(t *testing.T) {
	inFleet(t, fleetSize, func(f *fleet) {
		f.setCuts(func(string, string) bool { return true }, func(vm string) bool { return vm >= "vm-03" })
		f.apply(2)
		time.Sleep(convergence)
		if late := f.failing(func(a *Agent) bool { return f.revision(a) == 2 }); len(late) != fleetSize-3 {
			t.Errorf("the check finds only %v", late)
		}
	})
}

// Documents arrive by all ways, in any order, doubled and late; each VM's
// revision only rises.
func TestProofConfigNeverGoesBackWhateverArrivesLate(t *testing.T) {
	const newest = 9
	inFleet(t, 1, func(f *fleet) {
		agent, random := f.agents[0], rand.New(rand.NewPCG(1, 1))
		var stored []config.Stored
		for revision := uint64(1); revision <= newest; revision++ {
			stored = append(stored, f.document(revision))
		}
		none := func(context.Context, []string) (map[string][]byte, error) { return nil, nil }
		highest, delivered := uint64(1), uint64(0)
		for range 200 {
			next := random.IntN(newest)
			delivered = max(delivered, uint64(next+1))
			if random.IntN(2) == 0 {
				_ = agent.adopt(t.Context(), stored[next].Root, none, "peer")
			} else if _, err := agent.handBack(t.Context(), wire.RestoreRequest{Stored: &stored[next]}); err != nil {
				t.Fatal(err)
			}
			revision := f.revision(agent)
			if revision < highest || revision < delivered {
				t.Fatalf("revision %d after %d was in force and %d arrived", revision, highest, delivered)
			}
			highest = revision
		}
	})
}

// A store that lost writes, as after a restore from a backup, takes no VM back.
func TestProofConfigStoreBehindIsReportedAndNotFollowed(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.apply(7)
		f.await(func(a *Agent) bool { return f.revision(a) == 7 })
		f.apply(6)
		time.Sleep(convergence)
		if back := f.failing(func(a *Agent) bool { return f.revision(a) == 7 }); back != nil {
			t.Errorf("went back on %v", back)
		}
		if silent := f.failing(func(a *Agent) bool { return a.adopter.rejected.get() != "" }); silent != nil {
			t.Errorf("not reported by %v", silent)
		}
	})
}

// A VM that starts during an outage takes the newest revision of its peers before
// its entry gets any, although most of its peers have an older one.
func TestProofConfigStartDuringOutage(t *testing.T) {
	inFleet(t, 4, func(f *fleet) {
		f.setCuts(func(from, to string) bool { return from != "vm-03" && to != "vm-03" }, nil)
		f.kill(3)
		f.setCuts(nil, func(string) bool { return true })
		newest := f.document(5)
		none := func(context.Context, []string) (map[string][]byte, error) { return nil, nil }
		if err := f.agents[2].adopt(t.Context(), newest.Root, none, "test"); err != nil {
			t.Fatal(err)
		}
		agent := f.start(3)
		for range 100 {
			snapshot, _ := agent.state.current()
			if snapshot.Document != nil && snapshot.Document.Revision < 5 {
				t.Fatalf("the entry got revision %d", snapshot.Document.Revision)
			}
			time.Sleep(convergence / 100)
		}
		snapshot, _ := agent.state.current()
		if snapshot.Document == nil || !agent.admin.Ready() {
			t.Errorf("not ready %v after the start", convergence)
		}
	})
}

// The calls to the store while the whole fleet starts at once, for the
// configuration and the list of VMs.
func TestStoreCallsWhileTheFleetStarts(t *testing.T) {
	const vms = 48
	inFleet(t, vms, func(f *fleet) {
		f.mu.Lock()
		defer f.mu.Unlock()
		began := f.agents[0].started
		for _, kind := range []string{"watch", "vms", "get " + config.RootKey} {
			var seconds [5]int
			for _, at := range f.calls[kind] {
				if second := int(at.Sub(began) / time.Second); second < len(seconds) {
					seconds[second]++
				}
			}
			t.Logf("%s: calls in each of the first seconds %v", kind, seconds)
		}
		if first := len(f.calls["watch"]); first > int(convergence/time.Second+1)*2*watchers+vms {
			t.Errorf("%d watches by %d VMs in %v", first, vms, convergence)
		}
	})
}
