package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingmount.dev/platform"
)

const (
	step         = 50 * time.Millisecond
	readInterval = 350 * time.Millisecond // of the VM that reads for all
	takeover     = 980 * time.Millisecond // without updates until the next VM reads
	takeoverRank = 80 * time.Millisecond  // between one of the next VMs and the one after it
	maxTakeover  = 2 * time.Second        // without updates until all VMs read
	retryRead    = 250 * time.Millisecond // after a failed read
	settled      = 3 * time.Second        // without trouble, after which the users' bounds hold
	drainBound   = 2 * time.Second        // in which a server that left may still get requests
)

// outageFleet plays VMs that follow a store through one of them, in steps of virtual time.
type outageFleet struct {
	t        *rapid.T
	now      time.Time
	random   *rand.Rand
	loss     float64 // share of the updates between VMs that are lost
	down     bool
	revision uint64
	history  []Change
	vms      []*outageVM
	troubled time.Time            // the store was last down then
	left     map[string]time.Time // servers that left, with the time
	lapsed   map[string]time.Time // servers whose records lapsed in an outage, with its end
}

type outageVM struct {
	*Catalog
	next    time.Time // before then it does not call the store
	awayTil time.Time // it neither calls nor receives before then: killed or paused
	steady  time.Time // since then it has run
}

func newOutageFleet(t *rapid.T, vms, servers int) *outageFleet {
	f := &outageFleet{t: t, now: start, revision: 1, left: map[string]time.Time{}, lapsed: map[string]time.Time{}}
	f.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
	for range vms {
		f.vms = append(f.vms, &outageVM{Catalog: New()})
	}
	for i := range servers {
		f.write(server(fmt.Sprint(i), 0, false))
	}
	f.run(settled)
	return f
}

func (f *outageFleet) write(change Change) {
	f.revision++
	change.Revision = f.revision
	f.history = append(f.history, change)
}

func (f *outageFleet) remove(id string) {
	f.write(Change{Key: platform.ServersPrefix + id, Removed: true})
}

// run plays a span and checks the servers in use after each step.
func (f *outageFleet) run(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(step) {
		if f.down {
			f.troubled = f.now
		}
		rank := 0
		for _, v := range f.vms {
			if f.now.Before(v.awayTil) {
				v.steady = f.now
				continue
			}
			due := rank == 0 || v.Age(f.now) > min(maxTakeover, takeover+time.Duration(rank)*takeoverRank)
			if due && !f.now.Before(v.next) {
				f.read(v)
			}
			rank++
		}
		f.check()
	}
}

// read lets a VM read the store and update the others.
func (f *outageFleet) read(v *outageVM) {
	if f.down {
		v.MarkStoreDown(f.now)
		v.next = f.now.Add(retryRead)
		return
	}
	v.next = f.now.Add(readInterval)
	v.MarkStoreUp(f.now)
	var changes []Change
	for _, change := range f.history {
		if change.Revision > v.Revision() {
			changes = append(changes, change)
		}
	}
	v.Apply(f.now, changes)
	v.MarkSynced(f.now, f.revision)
	for _, other := range f.vms {
		if other != v && !f.now.Before(other.awayTil) && f.random.Float64() >= f.loss {
			f.update(v, other, changes)
		}
	}
}

// update gives a VM the changes that another one has read, or all that it knows if the two
// still differ.
func (f *outageFleet) update(from, to *outageVM, changes []Change) {
	to.MarkStoreUp(f.now.Add(-from.Age(f.now)))
	to.Apply(f.now, changes)
	if to.Digest() != from.Digest() {
		all, _ := from.Changes(start, 0)
		to.Replace(f.now, all, from.Revision()+1)
	}
	to.MarkSynced(f.now.Add(-from.Age(f.now)), from.Revision())
}

// check compares the servers in use at VMs that have run for the time settled with the bounds.
func (f *outageFleet) check() {
	for i, v := range f.vms {
		if f.now.Sub(v.steady) < settled {
			continue
		}
		v.DropLapsed(f.now)
		inUse := map[string]bool{}
		for _, s := range v.Servers(f.now)["a"] {
			inUse[s.ID] = true
		}
		for id, at := range f.left {
			if inUse[id] && f.now.Sub(at) > drainBound && f.now.Sub(f.troubled) > settled {
				f.t.Fatalf("VM %d uses server %s %v after it left", i, id, f.now.Sub(at))
			}
		}
		for id, ended := range f.lapsed {
			if since := f.now.Sub(ended); !inUse[id] && since < outageGrace {
				f.t.Fatalf("VM %d dropped server %s, whose record lapsed, %v after the outage", i, id, since)
			}
			if since := f.now.Sub(ended); inUse[id] && since > outageGrace+drainBound {
				f.t.Fatalf("VM %d keeps server %s, whose record lapsed, %v after the outage", i, id, since)
			}
		}
	}
}

// Load: 3 or 48 VMs, updates lost, outages of the store in which records lapse, and readers
// that are killed or paused after them and around servers that leave. Each VM keeps lapsed
// servers for outageGrace, and none uses a server that left for longer than drainBound.
func TestOutagesEndForAllVMsAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newOutageFleet(t, rapid.SampledFrom([]int{3, 48}).Draw(t, "VMs"), 12)
		for round := range rapid.IntRange(1, 3).Draw(t, "rounds") {
			f.down = true
			f.run(time.Duration(rapid.IntRange(3000, 6000).Draw(t, "outage ms")) * time.Millisecond)
			lapsed := fmt.Sprint(2 * round)
			f.remove(lapsed)
			f.down = false
			f.lapsed[lapsed] = f.now
			f.run(time.Duration(rapid.IntRange(3500, 12000).Draw(t, "calm ms")) * time.Millisecond)
			if reader := f.reader(); rapid.Bool().Draw(t, "reader lost") {
				reader.awayTil = f.now.Add(time.Duration(rapid.IntRange(500, 4000).Draw(t, "away ms")) * time.Millisecond)
			}
			f.run(time.Duration(rapid.IntRange(0, 300).Draw(t, "until leaving ms")) * time.Millisecond)
			left := fmt.Sprint(2*round + 1)
			f.remove(left)
			f.left[left] = f.now
			f.run(settled)
		}
	})
}

// reader returns the VM that reads the store for all.
func (f *outageFleet) reader() *outageVM {
	return f.vms[slices.IndexFunc(f.vms, func(v *outageVM) bool { return !f.now.Before(v.awayTil) })]
}

// Load: one VM whose own calls fail for 9 s while the others reach the store. That is no
// outage, so it keeps no server that leaves meanwhile.
func TestFailedCallsOfOneVMAreNoOutage(t *testing.T) {
	c := New()
	c.Apply(start, []Change{server("a", 5, false)})
	c.MarkStoreUp(start)
	now := start
	for ; now.Sub(start) < 9*time.Second; now = now.Add(time.Second) {
		c.MarkStoreDown(now)
		if c.MarkStoreUp(now.Add(200 * time.Millisecond)) {
			t.Fatalf("%v after the first failed call, an answer to another VM ended an outage", now.Sub(start))
		}
	}
	c.MarkStoreDown(now)
	if c.MarkStoreUp(now.Add(time.Millisecond)) {
		t.Error("the VM's own call ended an outage")
	}
	c.Apply(now, []Change{{Key: platform.ServersPrefix + "a", Revision: 9, Removed: true}})
	if len(c.Servers(now)) > 0 {
		t.Error("the server is kept")
	}
}

// Load: a call that fails after another VM's later call was answered, as calls time out.
func TestLateFailureIsNoOutage(t *testing.T) {
	c := New()
	c.MarkStoreUp(start.Add(time.Second))
	c.MarkStoreDown(start)
	if c.MarkStoreUp(start.Add(time.Minute)) {
		t.Error("a call that failed before the last answer counts as an outage")
	}
}
