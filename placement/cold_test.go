package placement

import (
	"fmt"
	"testing"
	"time"
)

// The users' rule for cold servers, and a rate of theirs.
const (
	testColdPerS    = 3.0
	testColdOverage = 1.5
	testColdSlack   = 8
)

// coldSimulation returns a simulation of 12 servers in three zones that have four slots each and
// handle 3 requests a second while they are cold.
func coldSimulation() *simulation {
	sim := newSimulation(12, 4)
	sim.work = 300 * time.Millisecond
	sim.broker.SetColdRate(sim.now, testColdPerS)
	return sim
}

// register changes the registrations of the servers for which change returns true.
func (sim *simulation) register(change func(*Server)) {
	var registered []Server
	for _, s := range sim.broker.serversByID {
		r := s.Server
		change(&r)
		registered = append(registered, r)
	}
	sim.handle(sim.broker.SetServers(sim.now, registered))
}

// setCold sets how long the zone's servers are cold; 0 if they are warm. No zone stands for all.
func (sim *simulation) setCold(zone string, cold time.Duration) {
	sim.register(func(s *Server) {
		if s.Zone != zone && zone != "" {
			return
		}
		s.ColdUntil = time.Time{}
		if cold > 0 {
			s.ColdUntil = sim.now.Add(cold)
		}
	})
}

// grantTimes holds the times of grants by server ID.
type grantTimes map[string][]time.Time

// record runs the simulation and adds the times of its grants.
func (g grantTimes) record(sim *simulation, span time.Duration, perSecond float64) {
	for end := sim.now.Add(span); sim.now.Before(end); {
		at := sim.now
		sim.step(perSecond, nil)
		for _, d := range sim.lastDecisions {
			if d.Verdict == Granted {
				g[d.Server] = append(g[d.Server], at)
			}
		}
	}
}

// check fails if a server of the zone got more than the bound in a second or more than its rate over 5 s.
func (g grantTimes) check(t *testing.T, sim *simulation, zone string) {
	t.Helper()
	for _, s := range sim.broker.serversByID {
		if s.Zone != zone && zone != "" {
			continue
		}
		if most := mostWithin(g[s.ID], time.Second); float64(most) > testColdPerS*testColdOverage+testColdSlack {
			t.Errorf("%s got %d requests in a second, the bound is %v", s.ID, most, testColdPerS*testColdOverage+testColdSlack)
		}
		if most := mostWithin(g[s.ID], 5*time.Second); float64(most) > 5*testColdPerS+2 {
			t.Errorf("%s got %d requests in 5 s, its rate is %v", s.ID, most, testColdPerS)
		}
	}
}

// mostWithin returns the largest number of times in any span; the times are in order.
func mostWithin(times []time.Time, span time.Duration) int {
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Load: 90 requests a second, which two zones cannot serve. The third returns from an evacuation;
// its records say 1.5 s later that its servers are cold, then that they are cold again, and
// then nothing. Guards against servers that get what fits because they are empty, and that
// count as warm when the first time is over.
func TestReturningZoneIsCold(t *testing.T) {
	sim := coldSimulation()
	sim.run(3*time.Second, 90, nil)
	sim.evacuate("z0", true)
	sim.run(3*time.Second, 90, nil)
	sim.evacuate("z0", false)
	grants := grantTimes{}
	grants.record(sim, 1500*time.Millisecond, 90)
	sim.setCold("z0", 5*time.Second)
	grants.record(sim, 4*time.Second, 90)
	sim.setCold("z0", 5*time.Second)
	grants.record(sim, 6500*time.Millisecond, 90)
	grants.check(t, sim, "z0")
	if n := len(grants["s00"]); float64(n) < 0.7*12*testColdPerS {
		t.Errorf("a cold server got %d requests in 12 s, its rate is %v", n, testColdPerS)
	}
	sim.setCold("z0", 0)
	warm := grantTimes{}
	warm.record(sim, 2*time.Second, 90)
	if n := len(warm["s00"]); float64(n) < 4*testColdPerS {
		t.Errorf("a warm server got %d requests in 2 s", n)
	}
	sim.setCold("z0", time.Second)
	sim.run(time.Second+coldReport, 90, nil)
	if n := sim.broker.ColdServers(sim.now); n > 0 {
		t.Errorf("%d servers are cold, although no record has said so since the named time and %v more", n, coldReport)
	}
}

// Load: 60 requests a second of 12 VMs, whose owner is replaced each 1.2 s while four of them decide
// alone. Guards against owners and VMs that each grant the whole rate, and against a restarted
// server whose bucket is that of its last process.
func TestColdRateIsSharedByOwnersAndVMs(t *testing.T) {
	const vms = 12
	now := time.Unix(1000, 0)
	newBroker := func(alone bool, seed uint64) *Broker {
		b := NewBroker(testPolicy, seed)
		b.SetFleet(Fleet{VMs: vms, Alone: alone})
		b.SetColdRate(now, testColdPerS)
		b.SetServers(now, []Server{{ID: "s", Slots: 16, ColdUntil: now.Add(time.Minute)}})
		return b
	}
	var brokers [vms]*Broker
	for i := range brokers {
		brokers[i] = newBroker(true, uint64(i+1))
	}
	owner := newBroker(false, 99)
	replaced := now
	var grants []time.Time
	for i := range 2000 { // 10 s
		now = now.Add(step)
		if now.Sub(replaced) > 1200*time.Millisecond {
			owner, replaced = newBroker(false, uint64(i)), now
		}
		for vm := 4; vm < vms; vm++ {
			owner.RecordPart(now, fmt.Sprint(vm))
		}
		vm := i % vms
		b := owner
		if vm < 4 {
			b = brokers[vm]
		}
		id := RequestID{VM: fmt.Sprint(vm), Seq: uint64(i)}
		for _, d := range b.Request(now, Request{ID: id, Left: time.Second, Target: time.Second}) {
			if d.Verdict == Granted {
				grants = append(grants, now)
				b.Complete(now, d.ID, "s", Answered, 0)
			}
		}
		b.Complete(now, id, "", Unused, 0) // leaves no queue
	}
	if most := mostWithin(grants, time.Second); float64(most) > testColdPerS*testColdOverage+testColdSlack {
		t.Errorf("the server got %d requests in a second", most)
	}
	if most := mostWithin(grants, 5*time.Second); float64(most) > 5*testColdPerS*testColdOverage {
		t.Errorf("the server got %d requests in 5 s, its rate is %v", most, testColdPerS)
	}
	if len(grants) < int(testColdPerS*10/3) {
		t.Errorf("the server got %d requests in 10 s", len(grants))
	}
}

// Load: servers that are all cold, at several times their rate. Guards against requests that are
// held until their deadline, and against a Retry-After that ignores when the servers are warm.
func TestWaitsEndWhenServersAreWarm(t *testing.T) {
	sim := coldSimulation()
	sim.setCold("", 20*time.Second)
	sim.run(2*time.Second, 200, nil)
	for _, d := range sim.lastDecisions {
		if d.Verdict == Refused && (d.Reason != serversCold || d.RetryAfter > 3*time.Second || d.Waited > sim.work) {
			t.Errorf("%+v", d)
		}
	}
	if sim.refused[serversCold] == 0 {
		t.Errorf("refused for %v", sim.refused)
	}
	one := newSimulation(1, 4)
	one.broker.SetColdRate(one.now, 0.1) // less than one request in the time until it is warm
	one.setCold("", 8*time.Second)
	one.request("vm0", nil)
	after := 8*time.Second + coldReport/2
	if d := one.lastDecisions[0]; d.Verdict != Refused || d.RetryAfter < after-time.Second || d.RetryAfter > after+time.Second {
		t.Errorf("%+v, but the server is expected to be warm after %v", d, after)
	}
	one.lastDecisions = nil
	one.setCold("", 0)
	one.request("vm0", nil)
	if d := one.lastDecisions[0]; d.Verdict != Granted {
		t.Errorf("%+v, although the server is warm", d)
	}
}

// Load: as TestReturningZoneIsCold, without a rate for cold servers. Guards against services that
// are served in another way because records name a cold time.
func TestColdServersWithoutARateAreServedAsBefore(t *testing.T) {
	run := func(cold bool) grantTimes {
		sim := newSimulation(12, 4)
		sim.shedShare = 0.05
		grants := grantTimes{}
		for i := range 6 {
			if cold && i%2 == 0 {
				sim.setCold("z0", 3*time.Second)
			} else {
				sim.register(func(*Server) {})
			}
			grants.record(sim, time.Second, 90)
		}
		return grants
	}
	if one, other := run(false), run(true); fmt.Sprint(one) != fmt.Sprint(other) {
		t.Error("cold times in records change the decisions about a service without coldPerS")
	}
}
