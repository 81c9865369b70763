package catalog

import (
	"slices"
	"strings"
	"time"

	"lacewingmount.dev/platform"
)

const (
	restoreGrace = 8 * time.Second // in which servers and operators write lost items again; five heartbeats, two of which may fail
	maxReadGap   = 2 * time.Second // between reads of the store during restoreGrace; longer than a heartbeat interval
)

// restore is the state since the store last returned from an older copy. Items that are known
// from an earlier era are held: they stay in force until they are written again, or until this
// VM or another one has read the store for restoreGrace.
type restore struct {
	era       uint64
	holding   bool   // items may be held, or only known from the first listing
	remembers bool   // items were known when the era was entered
	listed    bool   // the store has been listed in this era
	readTo    uint64 // revision up to which this VM itself has read the store in this era
	since     time.Time
	lastRead  time.Time
	sightings map[string]uint64 // revisions of held items in the first listing, which may be the copy's
}

// Era returns the era of the store to which the revisions of the catalog belong.
func (c *Catalog) Era() uint64 { return c.restore.era }

// EnterEra records that the store has the given era. If it is higher than the known one, all
// known items are held and revisions start anew. It reports whether the era is higher, and
// whether any items are held.
func (c *Catalog) EnterEra(era uint64) (higher, holding bool) {
	if era <= c.restore.era {
		return false, false
	}
	c.restore = restore{era: era, sightings: map[string]uint64{}}
	c.revision, c.prunedRevision = 0, 0
	c.configItem.Revision = 0
	for _, i := range c.items {
		i.held, i.listedOnly, i.Revision, i.contentRevision = true, false, 0, 0
	}
	c.restore.holding = len(c.items) > 0
	c.restore.remembers = c.restore.holding
	return true, c.restore.holding
}

// NeedsListing reports whether the store must be listed before its changes can be applied.
func (c *Catalog) NeedsListing() bool {
	return c.revision == 0 || c.restore.holding && !c.restore.listed
}

// ReadFrom returns the revision after which this VM must read the store. While items are held,
// what other VMs have read does not count, as they do not forward all writes.
func (c *Catalog) ReadFrom() uint64 {
	if c.restore.holding {
		return c.restore.readTo
	}
	return c.revision
}

// LacksMemory reports whether this VM has items merely from its first listing of the store, and
// knew none in an earlier era, as after a start.
func (c *Catalog) LacksMemory() bool { return c.restore.holding && !c.restore.remembers }

// Settled reports whether no item is held.
func (c *Catalog) Settled() bool { return !c.restore.holding }

// selectListed returns the items of a listing that may replace known ones, and the keys of those
// that may be from the older copy all the same.
func (c *Catalog) selectListed(listing []Change) (changes []Change, doubted []string) {
	first := c.restore.era > 0 && !c.restore.listed
	c.restore.listed = true
	for _, change := range listing {
		known := c.items[change.Key]
		if known == nil || !known.held || change.Config != nil {
			changes = append(changes, change)
			if first && known == nil && change.Config == nil {
				doubted = append(doubted, change.Key)
			}
			continue
		}
		sighted, again := c.restore.sightings[change.Key]
		if again && change.Revision > sighted {
			changes = append(changes, change)
			continue
		}
		if !again {
			c.restore.sightings[change.Key] = change.Revision
		}
		if known.acceptsListed(change) {
			changes = append(changes, change)
			if change.Server != nil {
				doubted = append(doubted, change.Key)
			}
		}
	}
	return changes, doubted
}

// doubt marks items that were applied from a listing. Servers that were held remain so, because
// this VM may not have learned of their last heartbeats before the copy.
func (c *Catalog) doubt(keys []string) {
	for _, key := range keys {
		i := c.items[key]
		if i == nil {
			continue
		}
		if _, sighted := c.restore.sightings[key]; sighted {
			i.held = true
		} else {
			i.listedOnly = true
		}
		c.restore.holding = true
	}
}

// isHeld reports whether another VM holds the item, as far as the change says.
func (c *Catalog) isHeld(change Change) bool { return change.Revision == 0 && c.restore.era > 0 }

// acceptsListed reports whether a listed item, which may be that of the older copy, replaces the
// held one.
func (i *item) acceptsListed(change Change) bool {
	switch {
	case i.Removed && change.Server != nil && i.Server != nil:
		return change.Server.Born > i.Server.Born
	case i.Removed:
		return false
	case change.Server != nil && i.Server != nil:
		return isLater(change.Server, i.Server)
	case change.VM != nil && i.VM != nil:
		return change.VM.Incarnation >= i.VM.Incarnation
	}
	return strings.HasPrefix(change.Key, platform.EvacuatePrefix)
}

// isLater reports whether a server wrote the record after the other one.
func isLater(record, other *platform.Server) bool {
	if record.Born != other.Born {
		return record.Born > other.Born
	}
	return record.Sequence > other.Sequence
}

// acceptsHeld reports whether an item that another VM holds, and so sends without a revision,
// replaces the known one.
func acceptsHeld(known *item, change Change) bool {
	switch {
	case known == nil:
		return true
	case !known.held && !known.listedOnly:
		return false
	case change.Removed:
		return !known.Removed && (known.listedOnly || known.Server != nil) // a held evacuation stays in force until it is settled
	case known.Removed:
		return false
	case change.Server != nil && known.Server != nil:
		return isLater(change.Server, known.Server)
	case change.VM != nil && known.VM != nil:
		return change.VM.Incarnation > known.VM.Incarnation
	}
	return false // an evacuation that is listed needs no other VM that holds it
}

// ApplyEvents applies changes that a watch of the store has returned. The removal of a server or
// VM that is held is that of the copy, whose lease has ended before the holder wrote again: it
// stays held.
func (c *Catalog) ApplyEvents(now time.Time, events []Change) Effect {
	written := map[string]bool{}
	return c.Apply(now, slices.DeleteFunc(events, func(event Change) bool {
		if !event.Removed {
			written[event.Key] = true
		}
		known := c.items[event.Key]
		lapsed := event.Removed && !written[event.Key] && known != nil && known.held && !known.Removed
		return lapsed && (known.Server != nil || known.VM != nil)
	}))
}

// ReplaceFromVM applies the complete contents of another VM's catalog, up to the given revision.
// Items that they lack are removed, except held ones if the other VM holds items too.
func (c *Catalog) ReplaceFromVM(now time.Time, contents []Change, revision uint64, settled bool) Effect {
	present := presentKeys(contents)
	for key, known := range c.items {
		if !present[key] && !known.Removed && known.Revision <= revision && (settled || !known.held) {
			contents = append(contents, Change{Key: key, Revision: revision + 1, Removed: true})
		}
	}
	return c.Apply(now, contents)
}

// MarkRead records that this VM has read and applied all changes up to the revision. After restoreGrace of such
// reads it removes the items that are still held, which the store does not have or only as in
// the older copy.
func (c *Catalog) MarkRead(now time.Time, revision uint64) Effect {
	var effect Effect
	r := &c.restore
	r.readTo = revision
	if !r.holding {
		return effect
	}
	if now.Sub(r.lastRead) > maxReadGap {
		r.since = now
	}
	r.lastRead = now
	if now.Sub(r.since) < restoreGrace || !r.listed {
		return effect
	}
	for key, i := range c.items {
		if i.held && !i.Removed {
			c.remove(now, i, Change{Key: key, Revision: c.revision, Removed: true}, &effect)
		}
	}
	c.settle(now, c.revision)
	return effect
}

// MarkSettled records that a VM with the same contents, which has applied all changes up to the
// revision, holds nothing.
func (c *Catalog) MarkSettled(now time.Time, revision uint64) {
	if c.restore.holding {
		c.settle(now, revision)
	}
}

func (c *Catalog) settle(now time.Time, revision uint64) {
	for _, i := range c.items {
		if i.held { // late messages with the older copy change nothing
			i.Revision = max(i.Revision, revision)
			if i.Removed {
				i.contentRevision, i.removedAt = i.Revision, now
			}
		}
		i.held, i.listedOnly = false, false
	}
	c.restore.holding, c.restore.sightings = false, map[string]uint64{}
}
