package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

const (
	outageTime  = 2600 * time.Millisecond // until then, every VM has called the store itself
	outageGrace = 2 * time.Second         // after an outage, within which lapsed records may reappear
)

// startFleet starts VMs and waits until they know each other.
func (f *fleet) startFleet(names ...string) []*vm {
	f.t.Helper()
	f.configure(defaultParameters)
	var vms []*vm
	for _, name := range names {
		vms = append(vms, f.startReady(name))
	}
	for _, v := range vms {
		f.waitFor(v.self.Name+" knows the others", func() bool { return v.peers.count() == len(names) })
	}
	time.Sleep(settleTime)
	return vms
}

// outage makes the store reject all calls for outageTime, and calls during before it ends.
func (f *fleet) outage(during func()) {
	f.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	time.Sleep(outageTime)
	during()
	f.store.SetFaults(platformtest.StoreFaults{})
}

// Guards against a VM that takes the first answer to its own call for the end of an outage
// that ended long before, and keeps servers that have left since (review/4).
func TestServerThatLeavesLongAfterAnOutageIsDropped(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	vms := f.startFleet("vm-1", "vm-2", "vm-3")
	reader := slices.IndexFunc(vms, func(v *vm) bool { return v.follower.rank() == 0 })
	setOthersStore := func(address string) {
		for i, v := range vms {
			if i != reader {
				v.follower.store.SetAddress(address)
			}
		}
	}
	f.outage(func() { setOthersStore("127.0.0.1:1") }) // only the reader finds that the store is back
	time.Sleep(outageGrace + time.Second)
	setOthersStore(f.address)
	vms[reader].stop()
	f.waitFor("another VM reads", func() bool {
		return slices.ContainsFunc(vms, func(v *vm) bool { return v != vms[reader] && v.follower.rank() == 0 })
	})
	f.store.Remove(platform.ServersPrefix + "i-3")
	time.Sleep(readerTakeoverDelay + 2*watchInterval)
	for _, v := range vms {
		if v != vms[reader] && v.isRegistered("i-3") {
			t.Errorf("%s still uses a server that left long after the outage", v.self.Name)
		}
	}
}

// Guards against VMs that learn of lapsed records from another VM and drop the servers at
// once, while the VM that read the store keeps them.
func TestAllVMsKeepServersThatLapseInAnOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	vms := f.startFleet("vm-1", "vm-2", "vm-3")
	f.outage(func() {
		f.store.Remove(platform.ServersPrefix + "i-2")
		f.store.Remove(platform.ServersPrefix + "i-3")
	})
	ended := time.Now()
	returned := false
	for time.Since(ended) < outageGrace-100*time.Millisecond {
		if !returned && time.Since(ended) > outageGrace/2 {
			returned = true
			f.store.Put(platform.ServersPrefix+"i-2", f.servers[2].Record("svc", "ready", 2))
		}
		for _, v := range vms {
			if !v.isRegistered("i-2") || !v.isRegistered("i-3") {
				t.Fatalf("%s dropped a server %v after the outage", v.self.Name, time.Since(ended))
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(outageGrace)
	for _, v := range vms {
		if !v.isRegistered("i-2") || v.isRegistered("i-3") {
			t.Errorf("%s: i-2 returned and i-3 did not; registered: %t, %t", v.self.Name, v.isRegistered("i-2"), v.isRegistered("i-3"))
		}
	}
}
