package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

// The users' rule for cold servers, and their figures for it.
const (
	coldOverage = 1.5
	coldSlack   = 8
	coldPerS    = 4.0
)

// startCold starts four VMs before servers of a service with coldPerS.
func startCold(t *testing.T, servers int) (*fleet, []*vm) {
	f := newFleet(t, servers)
	defaults := defaultParameters
	defaults.cold = coldPerS
	f.configure(defaults)
	var vms []*vm
	for _, name := range []string{"vm-1", "vm-2", "vm-3", "vm-4"} {
		vms = append(vms, f.startReady(name))
	}
	for _, s := range f.servers {
		s.SetProcessingTime(100 * time.Millisecond)
	}
	time.Sleep(settleTime)
	return f, vms
}

// beat writes the next heartbeats of the servers, with the time left in which they are cold.
func (f *fleet) beat(sequence int, cold time.Duration, servers ...*platformtest.Server) {
	for _, s := range servers {
		s.Cold = cold
		f.store.Put(platform.ServersPrefix+s.ID, s.Record("svc", "ready", sequence))
	}
}

// mostIn returns the largest number of requests that reached the server in any span after from.
func mostIn(s *platformtest.Server, span time.Duration, from time.Time) int {
	var at []time.Time
	for _, a := range s.Arrivals() {
		if a.At.After(from) {
			at = append(at, a.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Load: 160 requests a second through four VMs to four servers, two of which become cold long
// after their start and stay cold for longer than they said first. Guards against heartbeats that reach
// only the VM that reads the store, and against an owner that takes the time in the first one
// for the end. Any VM may be the reader or the owner.
func TestServerThatBecomesColdAgainGetsItsRate(t *testing.T) {
	t.Parallel()
	f, vms := startCold(t, 4)
	cold := f.servers[:2]
	stop := f.callSteadily(160, vms...)
	time.Sleep(time.Second)
	f.beat(2, 2*time.Second, cold...)
	time.Sleep(time.Second)
	from := time.Now()
	for i := range 5 {
		f.beat(3+i, 8*time.Second-time.Duration(i)*1500*time.Millisecond, cold...)
		time.Sleep(1500 * time.Millisecond)
	}
	for _, s := range cold {
		if most := mostIn(s, time.Second, from); float64(most) > coldPerS*coldOverage+coldSlack {
			t.Errorf("%s got %d requests in a second, the bound is %v", s.ID, most, coldPerS*coldOverage+coldSlack)
		}
		if most := mostIn(s, 4*time.Second, from); most > 4*coldPerS+4 {
			t.Errorf("%s got %d requests in 4 s, at a rate of %v", s.ID, most, coldPerS)
		}
	}
	f.beat(9, 0, cold...)
	warm := time.Now()
	f.waitFor("the servers get more when they are warm", func() bool {
		return mostIn(cold[0], time.Second, warm) > 2*coldPerS
	})
	stop()
}

// Load: 80 requests a second to four servers that become cold at once; the owner of their service
// stops meanwhile. Guards against a new owner that does not know which servers are cold, and
// against requests that are held or refused without a time to return.
func TestColdServersGetTheirRateWhileTheOwnerStops(t *testing.T) {
	t.Parallel()
	f, vms := startCold(t, 4)
	owner := slices.IndexFunc(vms, func(v *vm) bool { return vms[0].peers.ownerOf("svc").Name == v.self.Name })
	others := slices.Delete(slices.Clone(vms), owner, owner+1)
	stop := f.callSteadily(80, others...)
	f.beat(2, 20*time.Second, f.servers...)
	time.Sleep(time.Second)
	from := time.Now()
	time.Sleep(2 * time.Second)
	vms[owner].stop()
	time.Sleep(4 * time.Second)
	arrivals := 0
	for _, s := range f.servers {
		if most := mostIn(s, time.Second, from); float64(most) > coldPerS*coldOverage+coldSlack {
			t.Errorf("%s got %d requests in a second, the bound is %v", s.ID, most, coldPerS*coldOverage+coldSlack)
		}
		if most := mostIn(s, 4*time.Second, from); most > 4*coldPerS+6 {
			t.Errorf("%s got %d requests in 4 s, at a rate of %v", s.ID, most, coldPerS)
		}
		arrivals += arrivalsSince([]*platformtest.Server{s}, from)
	}
	if want := int(4 * coldPerS * time.Since(from).Seconds() / 2); arrivals < want {
		t.Errorf("the servers got %d requests, want half of what they can handle (%d) or more", arrivals, want)
	}
	for _, r := range stop() {
		if r.status == http.StatusOK {
			continue
		}
		if seconds, err := strconv.ParseFloat(r.retryAfter, 64); r.status != http.StatusServiceUnavailable || err != nil || seconds <= 0 {
			t.Errorf("%+v", r)
		}
	}
}
