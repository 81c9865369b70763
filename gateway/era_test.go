package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"lacewingmount.dev/membership"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

// heartbeats writes the records of servers every 400 ms.
type heartbeats struct {
	mu     sync.Mutex
	states map[int]string // by index of the server; others write nothing
	seq    int
}

func (f *fleet) startHeartbeats() *heartbeats {
	h := &heartbeats{states: map[int]string{}, seq: 10}
	done := make(chan struct{})
	f.t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(400 * time.Millisecond):
			}
			h.mu.Lock()
			h.seq++
			for i, state := range h.states {
				f.store.Put(platform.ServersPrefix+f.servers[i].ID, f.servers[i].Record("svc", state, h.seq))
			}
			h.mu.Unlock()
		}
	}()
	return h
}

func (h *heartbeats) set(states map[int]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.states = states
}

// afterDrill returns how the state of a VM differs from what was written last before the drill:
// i-0 drains, i-1 has left, i-5 is new, zone z2 is evacuated, z3 no longer, and k2 replaces k1.
func afterDrill(v *vm) string {
	var wrong []string
	check := func(holds bool, what string) {
		if !holds {
			wrong = append(wrong, what)
		}
	}
	_, ready := v.server("i-0")
	check(v.isRegistered("i-0") && !ready, "i-0 does not drain")
	check(!v.isRegistered("i-1"), "i-1 is used although it has left")
	_, ready = v.server("i-5")
	check(ready, "i-5 is not used")
	check(v.isEvacuated("z2"), "z2 is not evacuated")
	check(!v.isEvacuated("z3"), "z3 is evacuated")
	t := v.table.Load()
	check(t != nil && t.config.Version == 2, "the older configuration with the withdrawn key is in force")
	if len(wrong) == 0 {
		return ""
	}
	return fmt.Sprintf("%s: %q", v.self.Name, wrong)
}

// Load: three VMs and one that registers in the lost seconds, of which one restarts during the
// drill; a server drains, one leaves, one is new, a zone is evacuated, another is not any more
// and a key is withdrawn, all in the lost seconds; nobody writes anything for 3 s after the
// store's return. Guards against all that reverts in these seconds or when writes resume, that is
// lost with the copy, or that no longer arrives because its revision is lower.
func TestStoreReturnsFromAnOlderCopy(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	for i, zone := range map[int]string{3: "z2", 4: "z3"} {
		f.servers[i].Zone = zone
	}
	f.store.Put(platform.EvacuatePrefix+"z3", []byte("{}"))
	ready := func(except ...int) map[int]string {
		states := map[int]string{}
		for i := range f.servers {
			if !slices.Contains(except, i) {
				states[i] = "ready"
			}
		}
		return states
	}
	h := f.startHeartbeats()
	h.set(ready(5))
	vms := f.startFleet("vm-1", "vm-2", "vm-3")
	f.store.Remove(platform.ServersPrefix + "i-5")
	time.Sleep(600 * time.Millisecond)
	f.store.Copy()

	lost := ready(1)
	lost[0] = "draining"
	h.set(lost)
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
		return !slices.ContainsFunc(vms, func(v *vm) bool { return afterDrill(v) != "" || v.peers.count() != 4 })
	}
	f.waitFor("all VMs know the changes", func() bool { return agree(vms) })
	registered := func() bool { _, ok := f.store.Get(vmsPrefix + "vm-4"); return ok }
	f.waitFor("vm-4 is registered", registered)
	time.Sleep(settleTime)

	h.set(nil)
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
	h.set(lost)
	f.store.Put(platform.EvacuatePrefix+"z2", []byte("{}"))
	f.version--
	f.configure(withdrawn)
	hold(15 * time.Second)
	for _, v := range vms {
		if v.peers.count() != 4 {
			t.Errorf("%s knows %d VMs", v.self.Name, v.peers.count())
		}
		if r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil); r.status != http.StatusUnauthorized {
			t.Errorf("a request with the withdrawn key: %+v", r)
		}
	}
	f.store.Remove(platform.EvacuatePrefix + "z2")
	h.set(ready())
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
	earlier := struct {
		Age      time.Duration
		Revision uint64
		Digest   uint64
		Changes  changeList
		Whole    bool
		Origin   string
	}{Revision: 7, Changes: gone, Origin: "vm-2"}
	content, err := encodeBody(&earlier)
	if err != nil {
		t.Fatal(err)
	}
	var decoded update
	if err := newDecoder(bytes.NewReader(content)).Decode(&decoded); err != nil || decoded.Revision != 7 || decoded.Origin != "vm-2" || decoded.Era != 0 {
		t.Errorf("an update of an earlier version is decoded as %+v, %v", decoded, err)
	}
}
