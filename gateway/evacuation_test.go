package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"lacewingmount.dev/catalog"
	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

const evacuationKey = "op/evacuate/z1"

// startZones starts VMs of zone z1 before six servers, of which those returned are in the same
// zone and so preferred.
func startZones(t *testing.T, names ...string) (f *fleet, vms []*vm, evacuated []*platformtest.Server) {
	f = newFleet(t, 6)
	evacuated = f.servers[:3]
	for _, s := range f.servers[3:] {
		s.Zone = "z2"
		f.store.Put(platform.ServersPrefix+s.ID, s.Record("svc", "ready", 2))
	}
	return f, f.startFleet(names...), evacuated
}

// arrivalsSince returns the number of requests that reached the servers after from.
func arrivalsSince(servers []*platformtest.Server, from time.Time) int {
	n := 0
	for _, s := range servers {
		for _, a := range s.Arrivals() {
			if a.At.After(from) {
				n++
			}
		}
	}
	return n
}

// Load: 60 requests a second through three VMs, of which one reads the store. Guards against
// VMs that learn of an evacuation too late or never, forget it while the store is down, or do
// not notice its end in a complete listing.
func TestEvacuationIsInForceOnEveryVMUntilItsKeyIsRemoved(t *testing.T) {
	t.Parallel()
	f, vms, evacuated := startZones(t, "vm-1", "vm-2", "vm-3")
	stop := f.callSteadily(60, vms...)
	f.waitFor("the zone is in use", func() bool { return arrivalsSince(evacuated, time.Time{}) > 0 })
	f.store.Put(evacuationKey, []byte("{}"))
	time.Sleep(2 * time.Second) // the bound is 5 s
	began := time.Now()
	time.Sleep(2 * time.Second)
	f.outage(func() {
		f.store.Remove(evacuationKey)
		f.store.DropHistory()
		if n := arrivalsSince(evacuated, began); n > 0 {
			t.Errorf("%d requests reached servers of the evacuated zone", n)
		}
	})
	ended := time.Now()
	f.waitFor("the zone is in use again", func() bool { return arrivalsSince(evacuated, ended) > 5 })
	for _, r := range stop() {
		if r.status != http.StatusOK {
			t.Errorf("%+v, although three servers are not in the zone", r)
		}
	}
}

// Guards against a VM that sends a request to a server that the owner granted before it
// learned of the evacuation.
func TestSlotOfAnEvacuatedZoneIsReturnedUnused(t *testing.T) {
	t.Parallel()
	f, vms, evacuated := startZones(t, "vm-1", "vm-2")
	v := vms[slices.IndexFunc(vms, func(v *vm) bool { return v.peers.ownerOf("svc").Name != v.self.Name })]
	effect := v.follower.catalog.Apply(time.Now(), []catalog.Change{{Key: evacuationKey, Revision: 1 << 40}})
	v.follower.apply(effect, sourceStore)
	began := time.Now()
	for range 12 { // ends before the owner could have fetched the change
		if r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil); r.status != http.StatusOK {
			t.Errorf("%+v, although three servers are not in the zone", r)
		}
	}
	if n := arrivalsSince(evacuated, began); n > 0 {
		t.Errorf("%d requests reached servers of the evacuated zone, %v after this VM learned of it", n, time.Since(began))
	}
}

// Guards against a request that is sent although its server's zone was evacuated while the VM
// connected to the server.
func TestZoneIsCheckedRightBeforeSending(t *testing.T) {
	t.Parallel()
	s := platformtest.NewServer(t, "i-0")
	b := &backend{pool: newBackendPool()}
	request := &outbound{method: http.MethodPost, uri: "/", host: "h", id: "r1", header: http.Header{}, checkZone: func() error { return errEvacuated }}
	x := b.attempt(t.Context(), platform.Server{ID: s.ID, Address: s.Address}, request, time.Now().Add(time.Second))
	if x.outcome != placement.Unused || x.sent || x.err == nil || len(s.Arrivals()) > 0 {
		t.Errorf("the attempt ends with %v, sent %t; %d requests arrived", x.outcome, x.sent, len(s.Arrivals()))
	}
}

// Guards against requests that wait for a zone that may not return for hours, and against VMs
// that stop serving because their own zone is evacuated.
func TestServiceWithoutOtherZonesRefusesAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	f.store.Put("op/evacuate/z1", []byte("{}")) // the zone of the servers and of the VM
	time.Sleep(2 * time.Second)
	r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil)
	if r.status != http.StatusServiceUnavailable || r.retryAfter == "" || r.took > 200*time.Millisecond {
		t.Errorf("%+v", r)
	}
	if !v.isReady() {
		t.Error("the VM is not ready because its zone is evacuated")
	}
}
