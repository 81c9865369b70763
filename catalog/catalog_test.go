package catalog

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingmount.dev/platform"
)

var start = time.Unix(1000, 0)

func server(id string, revision uint64, draining bool) Change {
	return Change{Key: platform.ServersPrefix + id, Revision: revision, Server: &platform.Server{ID: id, Service: "a", Address: "10.0.0.1:1", Slots: 6, Draining: draining}}
}

func config(version, revision uint64) Change {
	text := fmt.Sprintf(`{"version":"%08x","routes":{"r":{"hostname":"h","pathPrefix":"/","routeType":"safe","service":"a"}},"services":{"a":{}}}`, version)
	return Change{Key: platform.ConfigKey, Revision: revision, Config: []byte(text)}
}

// Changes may arrive late, duplicated and in any order, from the store and from
// other VMs. None of them may restore an older state.
func TestNothingGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []Change{
			config(3, 10), server("s", 11, false), config(7, 12), server("s", 13, true), config(20, 14),
			{Key: platform.ServersPrefix + "s", Revision: 15, Removed: true},
		}
		c := New()
		version := uint64(0)
		drained, removed := false, false
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(history)-1), 1, 30).Draw(t, "order") {
			effect := c.Apply(start, []Change{history[i]})
			if effect.Config != nil {
				if effect.Config.Version <= version {
					t.Fatalf("configuration version %d was put in force after version %d", effect.Config.Version, version)
				}
				version = effect.Config.Version
			}
			servers := c.Servers(start)["a"]
			removed = removed || i == 5
			drained = drained || i == 3
			if removed && len(servers) > 0 || drained && len(servers) > 0 && !servers[0].Draining {
				t.Fatalf("a removed or draining server was restored: %+v", servers)
			}
		}
	})
}

func TestHeartbeatsChangeNothing(t *testing.T) {
	c := New()
	c.Apply(start, []Change{server("s", 5, false)})
	before := c.Digest()
	heartbeat := server("s", 6, false)
	heartbeat.Server.Sequence = 9
	if effect := c.Apply(start, []Change{heartbeat}); effect.Servers || len(effect.Forward) > 0 || c.Digest() != before {
		t.Errorf("a heartbeat must change nothing, but has the effect %+v", effect)
	}
	restarted := server("s", 7, false)
	restarted.Server.Born = 77
	if effect := c.Apply(start, []Change{restarted}); !effect.Servers || c.Digest() == before {
		t.Error("the restart of a server has no effect")
	}
}

func TestReplaceRemovesUnlistedItems(t *testing.T) {
	c := New()
	c.Apply(start, []Change{server("a", 5, false), server("b", 6, false), server("late", 40, false)})
	c.Replace(start, []Change{server("a", 5, false)}, 30)
	servers := c.Servers(start)["a"]
	if len(servers) != 2 {
		t.Errorf("after a listing at revision 30 there are %+v; want a and late: b was removed, and late changed after the listing", servers)
	}
}

// A server whose registration lapsed during a store outage stays usable for 2 s
// after the outage, and longer only if it has registered again.
func TestServersThatLapseInAnOutageAreKeptForAWhile(t *testing.T) {
	c := New()
	c.Apply(start, []Change{server("a", 5, false), server("b", 6, false)})
	c.MarkStoreDown(start)
	recovered := start.Add(10 * time.Second)
	if !c.MarkStoreUp(recovered) {
		t.Fatal("MarkStoreUp does not report the end of the outage")
	}
	c.Replace(recovered, nil, 30)
	if servers := c.Servers(recovered.Add(time.Second))["a"]; len(servers) != 2 {
		t.Errorf("1 s after the outage there are %d servers, want 2", len(servers))
	}
	c.Apply(recovered.Add(time.Second), []Change{server("b", 31, false)})
	servers := c.Servers(recovered.Add(outageGrace + time.Millisecond))["a"]
	if len(servers) != 1 || servers[0].ID != "b" {
		t.Errorf("after outageGrace there are %+v, want only b", servers)
	}
}

func TestInvalidOrOlderConfigurationIsNotAdopted(t *testing.T) {
	c := New()
	c.Apply(start, []Change{config(9, 5)})
	for _, change := range []Change{config(8, 6), config(9, 7), {Key: platform.ConfigKey, Revision: 8, Config: []byte("{")}} {
		if effect := c.Apply(start, []Change{change}); effect.Config != nil {
			t.Errorf("an invalid or older configuration was put in force: %s", change.Config)
		}
	}
	if effect := c.Apply(start, []Change{config(10, 9)}); effect.Config == nil || c.Config().Version != 10 {
		t.Error("a newer configuration was not put in force")
	}
}

func TestEqualContentsHaveEqualDigests(t *testing.T) {
	changes := []Change{server("a", 5, false), server("b", 6, true), config(3, 7), {Key: platform.ServersPrefix + "a", Revision: 8, Removed: true}, server("c", 9, false)}
	one, other := New(), New()
	one.Apply(start, changes)
	rand.New(rand.NewPCG(3, 4)).Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
	for _, change := range changes {
		other.Apply(start, []Change{change})
	}
	if one.Digest() != other.Digest() {
		t.Error("the same changes in another order give another digest")
	}
	third := New()
	all, complete := one.Changes(start, 0)
	if !complete {
		t.Error("Changes(0) is not reported as complete")
	}
	third.Replace(start, all, 100)
	if third.Digest() != one.Digest() {
		t.Error("a catalog filled from Changes(0) has another digest")
	}
}

// A VM that missed some changes fetches only these, without heartbeats, unless
// removals among them have been pruned.
func TestChangesSinceARevision(t *testing.T) {
	c := New()
	c.Apply(start, []Change{server("a", 5, false), server("b", 6, false), config(3, 7)})
	c.Apply(start, []Change{server("a", 20, false), server("b", 21, true), server("c", 22, false)})
	c.Apply(start, []Change{{Key: platform.ServersPrefix + "c", Revision: 23, Removed: true}})
	changes, complete := c.Changes(start, 7)
	if complete || len(changes) != 2 {
		t.Errorf("after revision 7: %+v, complete %t; want two changes: b is draining, c was removed, and a has only sent a heartbeat", changes, complete)
	}
	c.Apply(start.Add(2*tombstoneTTL), []Change{server("d", 30, false)})
	if changes, complete = c.Changes(start, 7); !complete || len(changes) != 4 {
		t.Errorf("the removal of c was pruned, so all four items are wanted; got %+v, complete %t", changes, complete)
	}
}

// Guards against an evacuation that is lost on the way to another VM, that a VM cannot notice by
// the digest, or that outlasts its key: removed by a change, or missing from a complete listing.
func TestEvacuationLastsUntilItsKeyIsRemoved(t *testing.T) {
	key := platform.EvacuatePrefix + "zone-b"
	c, other := New(), New()
	c.Apply(start, []Change{server("a", 5, false)})
	before := c.Digest()
	effect := c.Apply(start, []Change{{Key: key, Revision: 6}})
	if !effect.Zones || len(effect.Forward) != 1 || c.Digest() == before {
		t.Errorf("the evacuation has the effect %+v", effect)
	}
	if effect = c.Apply(start, []Change{{Key: key, Revision: 7}}); effect.Zones || len(effect.Forward) > 0 {
		t.Errorf("writing the key again has the effect %+v", effect)
	}
	all, _ := c.Changes(start, 0)
	other.Replace(start, all, 8)
	if zones := other.EvacuatedZones(); len(zones) != 1 || zones[0] != "zone-b" || other.Digest() != c.Digest() {
		t.Errorf("after a fetch of the contents the evacuated zones are %q", zones)
	}
	c.MarkStoreDown(start)
	c.MarkStoreUp(start.Add(time.Minute))
	if effect = c.Replace(start.Add(time.Minute), []Change{server("a", 5, false)}, 30); !effect.Zones || len(c.EvacuatedZones()) != 0 || c.Digest() != before {
		t.Errorf("after a listing without the key, %q are evacuated", c.EvacuatedZones())
	}
	if effect = other.Apply(start, []Change{{Key: key, Revision: 9, Removed: true}}); !effect.Zones || len(other.EvacuatedZones()) != 0 {
		t.Errorf("after the removal of the key, %q are evacuated", other.EvacuatedZones())
	}
	other.Apply(start, []Change{{Key: key, Revision: 6}})
	if len(other.EvacuatedZones()) != 0 {
		t.Error("a late message restored the evacuation")
	}
}

// coldConfig is a configuration whose cold servers of service a get fewer requests.
func coldConfig(version, revision uint64) Change {
	change := config(version, revision)
	change.Config = []byte(strings.Replace(string(change.Config), `"a":{}`, `"a":{"coldPerS":3}`, 1))
	return change
}

// coldServer is a record of server s with the cold time that is left.
func coldServer(revision uint64, cold time.Duration) Change {
	change := server("s", revision, false)
	change.Server.Cold = cold
	return change
}

// Load: the heartbeats of a server that becomes cold long after its start, becomes cold again
// before it is warm, and then warm. Guards against VMs that do not learn of these three changes,
// and against heartbeats between them that cost a message.
func TestColdTimesReachOtherVMs(t *testing.T) {
	c := New()
	c.Apply(start, []Change{coldConfig(3, 1), coldServer(5, 0)})
	warm := c.Digest()
	now, revision := start, uint64(5)
	beat := func(cold time.Duration) Effect {
		now, revision = now.Add(1500*time.Millisecond), revision+1
		return c.Apply(now, []Change{coldServer(revision, cold)})
	}
	for i, step := range []struct {
		cold time.Duration
		news bool
	}{
		{0, false}, {20 * time.Second, true}, {18500 * time.Millisecond, false}, {17500 * time.Millisecond, false},
		{20 * time.Second, true}, {18500 * time.Millisecond, true}, // again: a VM may have missed the heartbeat before
		{0, true}, {0, false},
	} {
		effect := beat(step.cold)
		if effect.Servers != step.news || len(effect.Forward) > 0 != step.news {
			t.Errorf("heartbeat %d has the effect %+v, want news: %t", i, effect, step.news)
		}
		if (c.Digest() == warm) != (step.cold == 0) {
			t.Errorf("heartbeat %d: the digest is that of a warm server: %t", i, c.Digest() == warm)
		}
	}
}

// Guards against a cold time that starts anew at each VM that gets it from another one, and
// against a server that counts as warm before its record says so.
func TestColdTimeRunsOutOnTheWay(t *testing.T) {
	c, other := New(), New()
	c.Apply(start, []Change{coldConfig(3, 1), coldServer(5, 20*time.Second)})
	later := start.Add(15 * time.Second)
	all, _ := c.Changes(later, 0)
	other.Replace(later, all, 9)
	if left := other.Servers(later)["a"][0].Cold; left != 5*time.Second {
		t.Errorf("15 s after a record of 20 s, the server is cold for %v", left)
	}
	if left := other.Servers(later.Add(time.Minute))["a"][0].Cold; left <= 0 || other.Digest() != c.Digest() {
		t.Errorf("a minute later, the server is cold for %v, although no record has said that it is warm", left)
	}
}

// Guards against messages and digests that change for services without coldPerS, and against VMs
// that differ because one read the configuration after the records.
func TestColdTimesMatterOnlyWithARate(t *testing.T) {
	c, other := New(), New()
	c.Apply(start, []Change{config(3, 1), coldServer(5, 0)})
	before := c.Digest()
	for i, cold := range []time.Duration{20 * time.Second, 30 * time.Second, 0} {
		if effect := c.Apply(start, []Change{coldServer(uint64(6+i), cold)}); effect.Servers || len(effect.Forward) > 0 || c.Digest() != before {
			t.Errorf("a heartbeat with a cold time of %v has the effect %+v", cold, effect)
		}
	}
	c.Apply(start, []Change{coldServer(10, time.Second), coldConfig(4, 11)})
	other.Apply(start, []Change{coldConfig(4, 11), coldServer(10, time.Second)})
	if c.Digest() != other.Digest() {
		t.Error("the digest depends on the order of configuration and records")
	}
	c.Apply(start, []Change{config(5, 12)})
	other = New()
	other.Apply(start, []Change{config(5, 12), coldServer(10, 0)})
	if c.Digest() != other.Digest() {
		t.Error("the digest depends on cold times although no service has a rate")
	}
}
