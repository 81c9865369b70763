package gateway

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"lacewingmount.dev/membership"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

// startHeartbeats writes records with these states, by index of the server, every 400 ms.
func (f *fleet) startHeartbeats(states *atomic.Pointer[map[int]string]) {
	ctx := f.t.Context()
	go func() {
		for seq := 10; ctx.Err() == nil; seq++ {
			for i, state := range *states.Load() {
				f.store.Put(platform.ServersPrefix+f.servers[i].ID, f.servers[i].Record("svc", state, seq))
			}
			sleep(ctx, 400*time.Millisecond)
		}
	}()
}

// afterDrill returns how the state of a VM differs from what was written last before the drill:
// i-0 drains, i-1 has left, i-5 is new, zone z2 is evacuated, z3 no longer, and k2 replaces k1.
func afterDrill(v *vm) string {
	_, used := v.server("i-0")
	_, added := v.server("i-5")
	t := v.table.Load()
	for wrong, is := range map[string]bool{
		"i-0 does not drain":                    used || !v.isRegistered("i-0"),
		"i-1 is used although it has left":      v.isRegistered("i-1"),
		"i-5 is not used":                       !added,
		"z2 is not evacuated, or z3 is":         !v.isEvacuated("z2") || v.isEvacuated("z3"),
		"the configuration with k1 is in force": t == nil || t.config.Version != 2,
		"not all VMs are known":                 v.peers.count() != 4,
	} {
		if is {
			return v.self.Name + ": " + wrong
		}
	}
	return ""
}

// Load: three VMs and one that registers in the lost seconds, of which one restarts during the
// drill; a server drains, one leaves, one is new, a zone is evacuated, another is not any more
// and a key is withdrawn, all in the lost seconds; nobody writes anything for 3 s after the
// store's return. Guards against all that reverts in these seconds or when writes resume, that is
// lost with the copy, or that no longer arrives because its revision is lower.
func TestStoreReturnsFromAnOlderCopy(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.servers[3].Zone, f.servers[4].Zone = "z2", "z3"
	f.store.Put(platform.EvacuatePrefix+"z3", []byte("{}"))
	var states atomic.Pointer[map[int]string]
	states.Store(&map[int]string{0: "ready", 1: "ready", 2: "ready", 3: "ready", 4: "ready"})
	f.startHeartbeats(&states)
	vms := f.startFleet("vm-1", "vm-2", "vm-3")
	f.store.Remove(platform.ServersPrefix + "i-5")
	time.Sleep(600 * time.Millisecond)
	f.store.Copy()

	lost := map[int]string{0: "draining", 2: "ready", 3: "ready", 4: "ready", 5: "ready"}
	states.Store(&lost)
	time.Sleep(500 * time.Millisecond) // no heartbeat is in progress with the states before
	f.store.Remove(platform.ServersPrefix + "i-1")
	f.store.Put(platform.EvacuatePrefix+"z2", []byte("{}"))
	f.store.Remove(platform.EvacuatePrefix + "z3")
	withdrawn := defaultParameters
	withdrawn.key = "k2"
	f.configure(withdrawn)
	for i := range 300 { // revisions that will be assigned again
		f.store.Put("other/"+strconv.Itoa(i%7), nil)
	}
	vms = append(vms, f.start("vm-4"))
	agree := func(vms []*vm) bool {
		return !slices.ContainsFunc(vms, func(v *vm) bool { return afterDrill(v) != "" })
	}
	f.waitFor("all VMs know the changes", func() bool { return agree(vms) })
	registered := func() bool { _, ok := f.store.Get(vmsPrefix + "vm-4"); return ok }
	f.waitFor("vm-4 is registered", registered)
	time.Sleep(settleTime)

	states.Store(&map[int]string{})
	time.Sleep(100 * time.Millisecond)
	f.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	time.Sleep(400 * time.Millisecond)
	f.store.Restore()
	f.store.SetFaults(platformtest.StoreFaults{})
	restored := time.Now()
	if registered() {
		t.Fatal("the copy has the registration")
	}
	hold := func(until time.Duration) {
		for time.Since(restored) < until {
			for _, v := range vms {
				if wrong := afterDrill(v); wrong != "" {
					t.Fatalf("%v after the return %s", time.Since(restored), wrong)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	hold(1200 * time.Millisecond)
	if !registered() {
		t.Error("vm-4 has not registered again")
	}
	vms[1].stop()
	<-vms[1].done
	vms[1] = f.start("vm-2")
	f.waitFor("the restarted VM knows what the others know", func() bool { return agree(vms) })
	hold(6 * time.Second)
	states.Store(&lost)
	f.store.Put(platform.EvacuatePrefix+"z2", []byte("{}"))
	f.version--
	f.configure(withdrawn)
	hold(15 * time.Second)
	for _, v := range vms {
		if r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil); r.status != http.StatusUnauthorized {
			t.Errorf("a request with the withdrawn key: %+v", r)
		}
	}
	f.store.Remove(platform.EvacuatePrefix + "z2")
	states.Store(&map[int]string{0: "ready", 1: "ready"})
	f.waitFor("what is written in the new era arrives", func() bool {
		return !slices.ContainsFunc(vms, func(v *vm) bool {
			_, drained := v.server("i-0")
			_, left := v.server("i-1")
			return !drained || !left || v.isEvacuated("z2")
		})
	})
}

// Guards against VMs that have not heard of the store's return and pull the others back, and
// against updates of earlier versions that cannot be decoded.
func TestUpdatesOfAnOlderEraAreDropped(t *testing.T) {
	t.Parallel()
	g := fuzzGateway(t)
	from := membership.Member{Name: "vm-2", Address: "127.0.0.1:9"}
	gone := changeList{{Key: platform.ServersPrefix + "s", Revision: 9, Removed: true}}
	g.follower.onMessage(t.Context(), from, &update{Era: 3, Revision: 1})
	g.follower.onMessage(t.Context(), from, &update{Era: 2, Revision: 1 << 40, Changes: gone, Settled: true})
	if c := g.follower.catalog; c.Era() != 3 || c.Revision() >= 1<<40 || len(c.Servers(time.Now())["svc"]) != 1 || g.follower.store.Era() != 3 {
		t.Errorf("era %d, revision %d, servers %+v", c.Era(), c.Revision(), c.Servers(time.Now()))
	}
	g.follower.onMessage(t.Context(), from, &update{Era: 3, Revision: 9, Changes: gone})
	if servers := g.follower.catalog.Servers(time.Now())["svc"]; len(servers) != 0 {
		t.Errorf("an update of the present era with a low revision was not applied: %+v", servers)
	}
	content, _ := encodeBody([]any{0, 7, 0, gone, false, "vm-2"}) // cannot fail
	var decoded update
	if err := newDecoder(bytes.NewReader(content)).Decode(&decoded); err != nil || decoded.Revision != 7 || decoded.Origin != "vm-2" || decoded.Era != 0 {
		t.Errorf("an update of an earlier version is decoded as %+v, %v", decoded, err)
	}
}
