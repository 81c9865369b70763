package agent

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/wire"
)

const fleetSize = 12

func TestProofConfigReachesVMsCutOffFromTheStore(t *testing.T) {
	withFleet(t, fleetSize, func(f *fleet) {
		f.setCuts(nil, func(vm string) bool { return vm >= "vm-03" }) // a quarter reaches the store
		time.Sleep(10 * time.Second)
		f.apply(2)
		time.Sleep(convergenceBound)
		if outdated := f.vmsFailing(func(a *Agent) bool { return f.revision(a) == 2 }); outdated != nil {
			t.Errorf("%v after the write, revision 2 is not adopted on %v", convergenceBound, outdated)
		}
	})
}

// Control: without gossip exchanges the partitioned VMs keep the old revision, so the
// check above can fail.
func TestControlConfigWithoutExchangeStaysOld(t *testing.T) {
	withFleet(t, fleetSize, func(f *fleet) {
		f.setCuts(func(string, string) bool { return true }, func(vm string) bool { return vm >= "vm-03" })
		f.apply(2)
		time.Sleep(convergenceBound)
		if outdated := f.vmsFailing(func(a *Agent) bool { return f.revision(a) == 2 }); len(outdated) != fleetSize-3 {
			t.Errorf("the check reports only %v as outdated, want all VMs without the store", outdated)
		}
	})
}

// A VM's revision never decreases, whatever the order in which documents arrive from
// peers and from the entry, and also if they are duplicated or delayed.
func TestProofConfigNeverGoesBackWhateverArrivesLate(t *testing.T) {
	const newest = 9
	withFleet(t, 1, func(f *fleet) {
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
			} else if _, err := agent.restore(t.Context(), wire.RestoreRequest{Stored: &stored[next]}); err != nil {
				t.Fatal(err)
			}
			revision := f.revision(agent)
			if revision < highest || revision < delivered {
				t.Fatalf("revision %d is current after %d was adopted and %d was received", revision, highest, delivered)
			}
			highest = revision
		}
	})
}

// If the store has lost writes, for example after a restore from a backup, no VM returns
// to the older revision, and every VM reports the loss.
func TestProofConfigStoreBehindIsReportedAndNotFollowed(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.apply(7)
		f.waitUntil(func(a *Agent) bool { return f.revision(a) == 7 })
		f.apply(6)
		time.Sleep(convergenceBound)
		if reverted := f.vmsFailing(func(a *Agent) bool { return f.revision(a) == 7 }); reverted != nil {
			t.Errorf("revision 7 is no longer current on %v", reverted)
		}
		if unreported := f.vmsFailing(func(a *Agent) bool { return a.adopter.lastRejection.get() != "" }); unreported != nil {
			t.Errorf("the older document in the store is not reported by %v", unreported)
		}
	})
}

// A VM that starts during an outage of the store adopts the newest revision of its
// peers before its entry receives any, although most of its peers have an older one.
func TestProofConfigStartDuringOutage(t *testing.T) {
	withFleet(t, 4, func(f *fleet) {
		f.kill(3)
		f.setCuts(func(from, to string) bool { return from != "vm-03" && to != "vm-03" }, func(string) bool { return true })
		newest := f.document(5)
		none := func(context.Context, []string) (map[string][]byte, error) { return nil, nil }
		if err := f.agents[2].adopt(t.Context(), newest.Root, none, "test"); err != nil {
			t.Fatal(err)
		}
		agent := f.start(3)
		for range 100 {
			snapshot, _ := agent.state.current()
			if snapshot.Document != nil && snapshot.Document.Revision < 5 {
				t.Fatalf("the entry received revision %d, want 5 or none", snapshot.Document.Revision)
			}
			time.Sleep(convergenceBound / 100)
		}
		snapshot, _ := agent.state.current()
		if snapshot.Document == nil || !agent.admin.Ready() {
			t.Errorf("the VM is not ready %v after the start", convergenceBound)
		}
	})
}

// A VM that starts during an outage of the store is told revision 1 by a peer whose last
// contact with the store is older than the start. The peer cannot know whether there is
// a newer revision, so this must not confirm revision 1; a contact after the start does.
func TestProofConfigStoreAgeFromBeforeTheStartConfirmsNothing(t *testing.T) {
	withFleet(t, 4, func(f *fleet) {
		agent := f.startIsolated(3)
		f.adoptFirst(agent)
		age := func(d time.Duration) wire.ConfigDigest {
			return wire.ConfigDigest{Revision: 1, Confirmed: true, StoreAge: d.Milliseconds()}
		}
		time.Sleep(time.Second)
		agent.handleDigest(agent.now(), "vm-00", age(3*time.Second))
		if snapshot, _ := agent.state.current(); snapshot.Document != nil {
			t.Error("a store contact of a peer before this VM's start confirmed the document")
		}
		agent.handleDigest(agent.now(), "vm-00", age(500*time.Millisecond))
		if snapshot, _ := agent.state.current(); snapshot.Document == nil {
			t.Error("a store contact of a peer after this VM's start did not confirm the document")
		}
	})
}

// Two of three VMs restart together during an outage of the store. Each of them waits for
// a peer that is confirmed, and has only one; they must not wait for each other for ever.
func TestProofConfigRestartsInAnOutageDoNotWaitForEachOther(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.setCuts(nil, func(string) bool { return true })
		f.kill(0)
		f.kill(1)
		restarted := []*Agent{f.start(0), f.start(1)}
		time.Sleep(staleAfterWithPeers + convergenceBound/2)
		for _, agent := range restarted {
			if snapshot, _ := agent.state.current(); snapshot.Document == nil {
				t.Errorf("%s has not confirmed its document", agent.settings.VM)
			}
		}
	})
}

// A VM that starts without the platform's list knows only the peer that contacts it
// first. That peer alone must not confirm the document at once, since others may have a
// newer one.
func TestProofConfigFirstPeerAloneConfirmsNothingAtOnce(t *testing.T) {
	withFleet(t, 4, func(f *fleet) {
		f.kill(3)
		onlyFirst := func(from, to string) bool { return min(from, to) != "vm-00" || max(from, to) != "vm-03" }
		f.setCuts(onlyFirst, func(string) bool { return true })
		agent := f.start(3)
		for agent.since(agent.started) < staleAfter {
			if snapshot, _ := agent.state.current(); snapshot.Document != nil {
				t.Errorf("revision %d was confirmed by one peer %v after the start", snapshot.Document.Revision, agent.since(agent.started))
				return
			}
			time.Sleep(membership.ExchangeInterval / 4)
		}
	})
}

// Bounds the number of watches of the store while the whole fleet starts at once, and
// logs the calls for the configuration and the list of VMs.
func TestStoreCallsWhileTheFleetStarts(t *testing.T) {
	const vms = 48
	withFleet(t, vms, func(f *fleet) {
		f.mu.Lock()
		defer f.mu.Unlock()
		begin := f.agents[0].started
		for _, kind := range []string{"watch", "vms", "get " + config.RootKey} {
			var seconds [5]int
			for _, at := range f.calls[kind] {
				if second := int(at.Sub(begin) / time.Second); second < len(seconds) {
					seconds[second]++
				}
			}
			t.Logf("%s: calls in each of the first seconds %v", kind, seconds)
		}
		if first := len(f.calls["watch"]); first > int(convergenceBound/time.Second+1)*2*storeWatchers+vms {
			t.Errorf("%d watches by %d VMs in %v, want fewer", first, vms, convergenceBound)
		}
	})
}
