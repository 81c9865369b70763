package catalog

import (
	"slices"
	"testing"
	"time"

	"lacewingmount.dev/membership"
	"lacewingmount.dev/platform"
)

// beat is a record of a server with the number of a heartbeat.
func beat(id string, revision uint64, sequence int64, draining bool) Change {
	change := server(id, revision, draining)
	change.Server.Sequence = sequence
	return change
}

func evacuation(zone string, revision uint64) Change {
	return Change{Key: platform.EvacuatePrefix + zone, Revision: revision}
}

// before returns a catalog right before the drill. The copy, of which copied is the listing, has
// none of its changes with revisions from 50 on.
func before() (c *Catalog, copied []Change) {
	c = New()
	c.EnterEra(4)
	copied = []Change{config(3, 10), beat("draining", 21, 20, false), beat("left", 22, 20, false), evacuation("ended", 13), evacuation("kept", 14), beat("steady", 24, 20, false)}
	gone := func(key string, revision uint64) Change { return Change{Key: key, Revision: revision, Removed: true} }
	c.Replace(start, copied, 30)
	vm := Change{Key: "lacewingmount/vms/v", Revision: 55, VM: &membership.Member{Name: "v", Incarnation: 7}}
	c.Apply(start, []Change{
		config(4, 50), beat("draining", 51, 23, true), gone(platform.ServersPrefix+"left", 52), gone(platform.EvacuatePrefix+"ended", 53), evacuation("set", 54), vm, beat("new", 56, 1, false),
	})
	c.MarkSynced(start, 60)
	return c, copied
}

// wrongAfter returns what a catalog does not know that the one of before knows.
func wrongAfter(c *Catalog) (wrong []string) {
	draining := map[string]bool{}
	for _, s := range c.Servers(start)["a"] {
		draining[s.ID] = s.Draining
	}
	_, left := draining["left"]
	_, registered := draining["new"]
	for what, right := range map[string]bool{
		"draining":      draining["draining"],
		"left or new":   !left && registered,
		"evacuations":   slices.Equal(c.EvacuatedZones(), []string{"kept", "set"}),
		"configuration": c.Config() != nil && c.Config().Version == 4,
		"VMs":           len(c.VMs()) == 1,
	} {
		if !right {
			wrong = append(wrong, what)
		}
	}
	return wrong
}

// read lets a catalog read the store each 350 ms from one time to another.
func read(c *Catalog, from, to time.Duration, events ...Change) (last Effect) {
	for at := from; at <= to; at += 350 * time.Millisecond {
		last = c.ApplyEvents(start.Add(at), slices.Clone(events)).With(c.MarkRead(start.Add(at), c.Revision()))
	}
	return last
}

// Guards against anything that the older copy reverts, at once or when the time to write again
// has passed, and against items that are kept for ever although nobody writes them.
func TestOlderCopyRevertsNothing(t *testing.T) {
	c, copied := before()
	digest := c.Digest()
	c.EnterEra(5)
	if !c.NeedsListing() || c.Settled() {
		t.Error("the new era needs no listing, or holds nothing")
	}
	if effect := c.Replace(start, copied, 30); len(effect.Forward) > 0 || len(wrongAfter(c)) > 0 || c.Digest() != digest {
		t.Fatalf("the listing of the copy reverts %q: %+v", wrongAfter(c), effect)
	}
	c.MarkSynced(start, 30)
	lapse := Change{Key: platform.ServersPrefix + "steady", Revision: 31, Removed: true}
	if read(c, 0, 7*time.Second, lapse); len(wrongAfter(c)) > 0 || len(c.Servers(start)["a"]) != 3 {
		t.Fatalf("7 s later, %q is reverted", wrongAfter(c))
	}
	read(c, 7350*time.Millisecond, 9*time.Second, beat("draining", 32, 24, true), beat("new", 33, 3, false))
	c.Apply(start, copied) // a late message with the copy
	for _, s := range c.Servers(start)["a"] {
		if s.ID != "draining" && s.ID != "new" {
			t.Errorf("%s is used, although it has not written for 9 s", s.ID)
		}
	}
	if zones := c.EvacuatedZones(); !slices.Equal(zones, []string{"kept"}) || !c.Settled() || len(c.Servers(start)["a"]) != 2 {
		t.Errorf("after 9 s, %q are evacuated; settled: %t, servers %+v", zones, c.Settled(), c.Servers(start))
	}
	c.Apply(start, []Change{beat("left", 40, 21, false), evacuation("ended", 41)})
	if len(c.EvacuatedZones()) != 2 || len(c.Servers(start)["a"]) != 3 {
		t.Error("items that were written in the new era are not in force")
	}
}

// Guards against writes in the new era that do not arrive because their revisions are lower, and
// against a pause of the reads that counts as time in which the servers wrote nothing.
func TestLowerRevisionsOfANewEraAreApplied(t *testing.T) {
	c, copied := before()
	c.EnterEra(5)
	c.Replace(start, append(copied, beat("new", 31, 2, true)), 31)
	c.MarkSynced(start, 31)
	written := []Change{config(5, 32), beat("draining", 33, 1, false), beat("left", 34, 21, false), {Key: platform.EvacuatePrefix + "kept", Revision: 35, Removed: true}}
	read(c, 0, 0, written...)
	if c.MarkSynced(start, 99); c.ReadFrom() != 31 {
		t.Errorf("after an update of another VM, this VM reads from %d on and may miss a write", c.ReadFrom())
	}
	if c.Config().Version != 5 || !slices.Equal(c.EvacuatedZones(), []string{"set"}) || len(c.Servers(start)["a"]) != 4 {
		t.Errorf("version %d, zones %q, servers %+v", c.Config().Version, c.EvacuatedZones(), c.Servers(start))
	}
	for _, s := range c.Servers(start)["a"] {
		if s.Draining != (s.ID == "new") {
			t.Errorf("%+v is not as written in the new era", s)
		}
	}
	read(c, 20*time.Second, 27*time.Second)
	if len(c.EvacuatedZones()) != 1 {
		t.Error("the pause of 20 s counts as reading")
	}
	if effect := read(c, 27350*time.Millisecond, 29*time.Second); c.Settled() != true || effect.Zones {
		t.Errorf("not settled after 8 s of reading: %+v", effect)
	}
}

// Guards against a VM that restarted and has only the older copy: it must get from the others
// what they hold, and must not make them forget it, whether they have heard of the era or not.
func TestVMWithoutMemoryLearnsWhatOthersHold(t *testing.T) {
	c, copied := before()
	fresh := New()
	fresh.EnterEra(5)
	fresh.Replace(start, copied, 30)
	fresh.MarkSynced(start, 30)
	c.EnterEra(5)
	contents, _ := fresh.Changes(start, 0)
	if c.ReplaceFromVM(start, contents, fresh.Revision(), fresh.Settled()); len(wrongAfter(c)) > 0 {
		t.Fatalf("the VM without memory made the other one forget %q", wrongAfter(c))
	}
	contents, _ = c.Changes(start, 0)
	if fresh.ReplaceFromVM(start, contents, 30, c.Settled()); len(wrongAfter(fresh)) > 0 || fresh.Digest() != c.Digest() {
		t.Errorf("the VM without memory does not know %q; the digests are equal: %t", wrongAfter(fresh), fresh.Digest() == c.Digest())
	}
	if fresh.items[platform.EvacuatePrefix+"kept"].held || !fresh.LacksMemory() || c.LacksMemory() {
		t.Error("an evacuation that the store lists would end when it is settled, or the wrong VM lacks memory")
	}
	// Another VM settles; both learn it by its digest, and the copy does not return afterwards.
	for _, vm := range []*Catalog{c, fresh} {
		vm.MarkSettled(start, 40)
		vm.Apply(start, copied)
		if wrong := wrongAfter(vm); len(wrong) > 0 || !vm.Settled() {
			t.Errorf("after it was settled, %q is wrong", wrong)
		}
	}
}

// Guards against a server that left and returns from the copy on a VM that does not read the
// store, and so knows an older heartbeat than the copy has.
func TestCopyWithALaterHeartbeatDoesNotRestoreAServer(t *testing.T) {
	c := New()
	c.EnterEra(4)
	c.Apply(start, []Change{beat("s", 5, 1, false), beat("dead", 6, 1, false), {Key: platform.ServersPrefix + "s", Revision: 50, Removed: true}})
	c.EnterEra(5)
	c.Replace(start, []Change{beat("s", 20, 90, false), beat("dead", 21, 90, false)}, 30)
	c.MarkSynced(start, 30)
	listed := c.Servers(start)["a"]
	read(c, 0, 9*time.Second)
	if len(listed) != 1 || listed[0].ID != "dead" || len(c.Servers(start)["a"]) != 0 {
		t.Errorf("after the listing, %+v are used, after 9 s without a write %+v", listed, c.Servers(start))
	}
}
