package placement

import (
	"slices"
	"testing"
	"time"
)

// evacuate sets whether the zone's servers are evacuated.
func (sim *simulation) evacuate(zone string, evacuated bool) {
	var registered []Server
	for _, s := range sim.broker.serversByID {
		r := s.Server
		if r.Zone == zone {
			r.Evacuated = evacuated
		}
		registered = append(registered, r)
	}
	sim.lastDecisions = nil
	sim.handle(sim.broker.SetServers(sim.now, registered))
}

// Load: 12 servers in three zones at over half of their capacity, a quarter of them failing, and
// 5% of the requests refused by servers. Guards against grants, retries, probes and requests of
// the in-use floor that go to an evacuated zone, of which the servers look best because they are
// empty.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	sim := newSimulation(12, 4)
	sim.shedShare = 0.05
	sim.failing["s03"], sim.failing["s04"], sim.failing["s05"] = true, true, true // one in each zone
	sim.run(4*time.Second, 60, nil)
	sim.evacuate("z0", true)
	began := sim.now
	sim.run(6*time.Second, 60, nil)
	for _, s := range sim.broker.serversByID {
		if s.Zone == "z0" && sim.lastUsed[s.ID].After(began) {
			t.Errorf("%s got a request %v after the evacuation", s.ID, sim.lastUsed[s.ID].Sub(began))
		}
		if s.Zone == "z0" && len(s.running) > 0 {
			t.Errorf("%d requests of %s have not ended", len(s.running), s.ID)
		}
	}
	sim.evacuate("z0", false)
	sim.run(2*time.Second, 60, nil)
	if idle := sim.idleServers(); idle > 3 {
		t.Errorf("%d servers are idle 2 s after the end of the evacuation", idle)
	}
}

// Load: all slots taken. Guards against waits and Retry-After that count the slots of an
// evacuated zone.
func TestWaitsCountNoEvacuatedServers(t *testing.T) {
	sim := newSimulation(12, 4)
	before := sim.broker.expectedWait(sim.now, 48)
	sim.evacuate("z0", true)
	sim.evacuate("z1", true)
	if after := sim.broker.expectedWait(sim.now, 48); after < before*29/10 {
		t.Errorf("the expected wait is %v with a third of the servers, %v with all", after, before)
	}
}

// Load: requests that wait when the last zone of a service is evacuated. Guards against requests
// that are held although nothing can serve them, and against a Retry-After that is too short for
// a zone that has been out of use for long.
func TestRequestsAreRefusedWhenAllZonesAreEvacuated(t *testing.T) {
	sim := newSimulation(3, 1)
	for range 5 {
		sim.request("vm0", func(r *Request) { r.Left, r.Target = 20*time.Second, 15*time.Second })
	}
	if len(sim.broker.queue) != 2 {
		t.Fatalf("%d requests wait, want 2", len(sim.broker.queue))
	}
	for _, zone := range []string{"z0", "z1", "z2"} {
		sim.evacuate(zone, true)
	}
	if sim.broker.QueueLength() > 0 || len(sim.lastDecisions) != 2 {
		t.Errorf("%d requests wait for servers of evacuated zones", sim.broker.QueueLength())
	}
	sim.lastDecisions = nil
	for _, seconds := range []int{0, 3, 3600} {
		sim.now = sim.now.Add(time.Duration(seconds) * time.Second)
		sim.request("vm0", nil)
	}
	var retryAfter []time.Duration
	for _, d := range sim.lastDecisions {
		if d.Verdict != Refused || d.Reason != zonesEvacuated {
			t.Errorf("%+v", d)
		}
		retryAfter = append(retryAfter, d.RetryAfter)
	}
	if want := []time.Duration{minEvacuationRetryAfter, 3 * time.Second, maxEvacuationRetryAfter}; !slices.Equal(retryAfter, want) {
		t.Errorf("Retry-After %v, want %v", retryAfter, want)
	}
}
