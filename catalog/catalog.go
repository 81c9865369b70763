package catalog

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingmount.dev/membership"
	"lacewingmount.dev/platform"
)

// tombstoneTTL is how long removals are remembered. Older messages and replies have been
// dropped by then, so none can bring the item back.
const tombstoneTTL = 60 * time.Second

// Change is the decoded new value of one store item, or its removal. Exactly one of
// Server, VM and Config is set, unless Removed is true or the key starts with
// platform.EvacuatePrefix. The key of an evacuation says all, so that it needs no field that VMs
// of earlier versions cannot decode.
type Change struct {
	Key      string
	Revision uint64
	Removed  bool
	Server   *platform.Server
	VM       *membership.Member
	Config   []byte // encoded configuration, as written by the operators
}

// Effect reports what applying a set of changes did to a Catalog.
type Effect struct {
	Servers bool             // whether a server changed
	VMs     bool             // whether a VM changed
	Zones   bool             // whether the evacuated zones changed
	Config  *platform.Config // configuration now in force; nil if unchanged
	Forward []Change         // changes to forward to other VMs
	Errors  []error          // one for each item skipped as invalid
}

// With returns the effects of e and then of another set of changes.
func (e Effect) With(other Effect) Effect {
	e.Servers, e.VMs, e.Zones = e.Servers || other.Servers, e.VMs || other.VMs, e.Zones || other.Zones
	if other.Config != nil {
		e.Config = other.Config
	}
	e.Forward, e.Errors = append(e.Forward, other.Forward...), append(e.Errors, other.Errors...)
	return e
}

type item struct {
	Change
	removedAt       time.Time
	keepUntil       time.Time // a removed server stays in use until then, because an outage may have caused the removal
	contentRevision uint64    // revision of the newest change other than a heartbeat
	digest          uint64
	coldUntil       time.Time // expected end of a server's cold time, as the other VMs know it
	prolonged       bool      // the cold time has become longer than the server said first
	held            bool      // known from an earlier era of the store and not written in the present one yet
	listedOnly      bool      // from a listing, by a VM that knew nothing of the item; may be that of an older copy of the store
}

// Catalog holds the deployment state known to one VM. It is not safe for
// concurrent use.
type Catalog struct {
	items              map[string]*item
	config             *platform.Config
	configItem         Change
	digest             uint64
	revision           uint64    // store revision up to which all changes have been applied
	syncedAt           time.Time // the contents match the store at this time or later
	outages            outages
	restore            restore
	nextLapse          time.Time // when the time of the first kept server ends; zero if none is kept
	lastTombstoneSweep time.Time
	prunedRevision     uint64 // removals up to this revision may have been pruned
}

// New returns an empty Catalog.
func New() *Catalog { return &Catalog{items: map[string]*item{}} }

// Apply applies changes from the store or another VM, in any order.
func (c *Catalog) Apply(now time.Time, changes []Change) Effect {
	var effect Effect
	for _, change := range changes {
		c.apply(now, change, &effect)
	}
	c.dropTombstones(now)
	return effect
}

func (c *Catalog) apply(now time.Time, change Change, effect *Effect) {
	if change.Config != nil {
		c.applyConfig(change, effect)
		return
	}
	known := c.items[change.Key]
	if c.isHeld(change) {
		if !acceptsHeld(known, change) {
			return
		}
	} else if known != nil && change.Revision <= known.Revision {
		return
	}
	if change.Removed {
		c.remove(now, known, change, effect)
		return
	}
	next := &item{Change: change, digest: c.digestOf(change), contentRevision: change.Revision}
	if c.isHeld(change) {
		next.held, c.restore.holding = true, true
	}
	if change.Server != nil && change.Server.Cold > 0 {
		next.coldUntil = now.Add(change.Server.Cold)
	}
	c.items[change.Key] = next
	if known != nil && !known.Removed && known.digest == next.digest && !c.changesColdTime(known, next) {
		next.contentRevision, next.coldUntil = known.contentRevision, known.coldUntil // only a heartbeat
		return
	}
	if known != nil && !known.Removed {
		c.digest ^= known.digest
	}
	c.digest ^= next.digest
	c.addEffect(change, effect)
}

func (c *Catalog) remove(now time.Time, known *item, change Change, effect *Effect) {
	if known == nil || known.Removed {
		c.items[change.Key] = &item{Change: change, removedAt: now, contentRevision: change.Revision, held: c.isHeld(change)}
		c.restore.holding = c.restore.holding || c.isHeld(change)
		return
	}
	c.digest ^= known.digest
	tombstone := *known
	tombstone.Revision, tombstone.Removed, tombstone.removedAt, tombstone.contentRevision = change.Revision, true, now, change.Revision
	tombstone.held, tombstone.listedOnly = c.isHeld(change), false
	c.restore.holding = c.restore.holding || tombstone.held
	if until, keeps := c.outages.keepsLapsed(now); keeps && known.Server != nil {
		tombstone.keepUntil = until
		c.scheduleLapse(until)
	}
	c.items[change.Key] = &tombstone
	c.addEffect(tombstone.Change, effect)
}

func (c *Catalog) addEffect(change Change, effect *Effect) {
	effect.Servers = effect.Servers || change.Server != nil
	effect.VMs = effect.VMs || change.VM != nil
	effect.Zones = effect.Zones || strings.HasPrefix(change.Key, platform.EvacuatePrefix)
	if change.Removed {
		change.Server, change.VM = nil, nil
	}
	effect.Forward = append(effect.Forward, change)
}

// applyConfig puts a configuration in force if it is valid and newer than the current one.
func (c *Catalog) applyConfig(change Change, effect *Effect) {
	if change.Revision <= c.configItem.Revision && change.Revision > 0 {
		return
	}
	config, err := platform.DecodeConfig(change.Config)
	if err != nil {
		effect.Errors = append(effect.Errors, err)
		return
	}
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.digest ^= c.configDigest()
	c.config, c.configItem = config, change
	c.digest ^= c.configDigest()
	c.updateDigests()
	effect.Config = config
	effect.Forward = append(effect.Forward, change)
}

func (c *Catalog) configDigest() uint64 {
	if c.config == nil {
		return 0
	}
	return hash("config", strconv.FormatUint(c.config.Version, 16))
}

// Replace applies a complete listing of the store as of the given revision. Items
// older than the revision that the listing lacks are removed, unless they are held.
func (c *Catalog) Replace(now time.Time, listing []Change, revision uint64) Effect {
	present := presentKeys(listing)
	changes, doubted := c.selectListed(listing)
	for key, known := range c.items {
		if !present[key] && !known.Removed && !known.held && known.Revision < revision {
			changes = append(changes, Change{Key: key, Revision: revision, Removed: true})
		}
	}
	effect := c.Apply(now, changes)
	c.doubt(doubted)
	return effect
}

func presentKeys(changes []Change) map[string]bool {
	present := make(map[string]bool, len(changes))
	for _, change := range changes {
		present[change.Key] = true
	}
	return present
}

// Changes returns the changes after the revision since, to be sent to another VM.
// complete reports that they are the complete contents: since is 0, or removals after
// since have been pruned.
func (c *Catalog) Changes(now time.Time, since uint64) (changes []Change, complete bool) {
	if since < c.prunedRevision {
		since = 0
	}
	if c.config != nil && (c.configItem.Revision > since || since == 0) {
		changes = append(changes, c.configItem)
	}
	for _, i := range c.items {
		if i.contentRevision <= since && since > 0 {
			continue
		}
		change := i.Change
		if i.held || i.listedOnly {
			change.Revision = 0
		}
		if change.Removed {
			change.Server, change.VM = nil, nil
		}
		if change.Server != nil {
			server := c.withColdTimeLeft(now, i)
			change.Server = &server
		}
		changes = append(changes, change)
	}
	return changes, since == 0
}

// Servers returns the usable servers, keyed by service.
func (c *Catalog) Servers(now time.Time) map[string][]platform.Server {
	servers := map[string][]platform.Server{}
	for _, i := range c.items {
		if i.Server != nil && (!i.Removed || now.Before(i.keepUntil)) {
			servers[i.Server.Service] = append(servers[i.Server.Service], c.withColdTimeLeft(now, i))
		}
	}
	return servers
}

// EvacuatedZones returns the availability zones that the operators evacuate, in order.
func (c *Catalog) EvacuatedZones() []string {
	var zones []string
	for key, i := range c.items {
		if zone, ok := strings.CutPrefix(key, platform.EvacuatePrefix); ok && !i.Removed {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// VMs returns the registered VMs.
func (c *Catalog) VMs() []membership.Member {
	var members []membership.Member
	for _, i := range c.items {
		if i.VM != nil && !i.Removed {
			members = append(members, *i.VM)
		}
	}
	return members
}

// Config returns the configuration in force, or nil.
func (c *Catalog) Config() *platform.Config { return c.config }

// Digest returns a hash of the contents. VMs with the same contents have the same
// digest.
func (c *Catalog) Digest() uint64 { return c.digest }

// Revision returns the store revision up to which all changes have been applied.
func (c *Catalog) Revision() uint64 { return c.revision }

// MarkSynced records that at the given time all changes up to the revision had been
// applied.
func (c *Catalog) MarkSynced(at time.Time, revision uint64) {
	if at.After(c.syncedAt) {
		c.syncedAt = at
	}
	c.revision = max(c.revision, revision)
}

// Age returns the time since the contents were last known to match the store.
func (c *Catalog) Age(now time.Time) time.Duration { return now.Sub(c.syncedAt) }

func (c *Catalog) dropTombstones(now time.Time) {
	if now.Sub(c.lastTombstoneSweep) < time.Second {
		return
	}
	c.lastTombstoneSweep = now
	for key, i := range c.items {
		if i.Removed && now.Sub(i.removedAt) > tombstoneTTL {
			c.prunedRevision = max(c.prunedRevision, i.Revision)
			delete(c.items, key)
		}
	}
}

func (c *Catalog) digestOf(change Change) uint64 {
	switch {
	case change.Server != nil:
		s := change.Server
		digest := hash(change.Key, s.Service, s.Address, s.Zone, strconv.Itoa(s.Slots), strconv.FormatBool(s.Draining), strconv.FormatInt(s.Born, 10))
		if s.Cold > 0 && c.pacesCold(s.Service) {
			digest ^= hash(change.Key, "cold")
		}
		return digest
	case change.VM != nil:
		m := change.VM
		return hash(change.Key, m.Address, m.Zone, strconv.FormatUint(m.Incarnation, 10))
	case strings.HasPrefix(change.Key, platform.EvacuatePrefix):
		return hash(change.Key)
	}
	return 0
}

func hash(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64()
}
