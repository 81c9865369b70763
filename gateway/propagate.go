package gateway

import (
	"compress/flate"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/catalog"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/membership"
)

const (
	fetchDelay           = 250 * time.Millisecond // before a fetch; changes may still arrive through the tree
	maxDirectMembers     = 16                     // with more members, changes are sent along a tree
	treeWidth            = 6                      // members per node; three levels reach 258 VMs of a zone
	zoneRoots            = 2                      // VMs of each other zone to which the origin of an update sends it
	minFetchInterval     = 200 * time.Millisecond // between fetches from other VMs
	holdingFetchInterval = 2 * time.Second        // the same while items are held: digests may differ until that is settled, and each fetch gets everything
	fetchTimeout         = 500 * time.Millisecond
	maxContents          = 32 << 20    // bytes of another VM's catalog after decompression; 12,000 servers take about 3 MB
	contentsPath         = "/contents" // HTTP path of a VM's catalog contents
)

// propagate sends the other VMs the changes, with the revision, digest and age of this
// VM's catalog. With many VMs, changes go along a tree, so that they do not fill the
// network links of this VM.
func (f *follower) propagate(changes []catalog.Change) {
	f.mu.Lock()
	message := f.describe(changes)
	f.mu.Unlock()
	members := f.g.peers.all()
	if len(changes) > 0 && len(members) > maxDirectMembers {
		message.Origin = f.g.self.Name
		members = children(members, message.Origin, f.g.self.Name)
	}
	for _, member := range members {
		if member.Name != f.g.self.Name {
			f.g.mesh.send(member.Address, kindUpdate, message)
		}
	}
}

// describe returns a message with the changes and the state of the catalog. The caller holds mu.
func (f *follower) describe(changes []catalog.Change) *update {
	return &update{
		Age: f.catalog.Age(time.Now()), Revision: f.catalog.Revision(), Digest: f.catalog.Digest(), Changes: changes,
		Era: f.catalog.Era(), Settled: f.catalog.Settled(),
	}
}

// relay forwards an update to the children of this VM in the tree.
func (f *follower) relay(message *update) {
	for _, member := range children(f.g.peers.all(), message.Origin, f.g.self.Name) {
		f.g.mesh.send(member.Address, kindUpdate, message)
	}
}

// children returns the members to which self relays an update of origin. Each
// availability zone has a tree of its own over its members in the order of their names,
// with up to treeWidth children per node, so that an update crosses zones zoneRoots times
// for each other zone. The root in origin's zone is origin. Another zone has zoneRoots
// roots with the same children, so that the loss of one of them delays nobody.
func children(members []membership.Member, origin, self string) []membership.Member {
	zones := map[string][]membership.Member{}
	var root, own membership.Member
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m)
		if m.Name == origin {
			root = m
		}
		if m.Name == self {
			own = m
		}
	}
	if root.Name == "" || own.Name == "" {
		return nil
	}
	for _, inZone := range zones {
		slices.SortFunc(inZone, func(a, b membership.Member) int { return strings.Compare(a.Name, b.Name) })
	}
	if own.Zone != root.Zone {
		return zoneChildren(zones[own.Zone], min(zoneRoots, len(zones[own.Zone])), self)
	}
	inZone := slices.DeleteFunc(zones[root.Zone], func(m membership.Member) bool { return m.Name == origin })
	inZone = slices.Insert(inZone, 0, root)
	result := zoneChildren(inZone, 1, self)
	if self != origin {
		return result
	}
	for zone, others := range zones {
		if zone != root.Zone {
			result = append(result, others[:min(zoneRoots, len(others))]...)
		}
	}
	return result
}

// zoneChildren returns the children of self in the tree of its zone, whose first members
// are the roots.
func zoneChildren(inZone []membership.Member, roots int, self string) []membership.Member {
	own := slices.IndexFunc(inZone, func(m membership.Member) bool { return m.Name == self })
	node := max(0, own-roots+1) // all roots are node 0
	first := min(len(inZone), roots+node*treeWidth)
	return inZone[first:min(len(inZone), first+treeWidth)]
}

// onMessage applies an update from another VM, relays it if needed, and fetches the
// sender's catalog if the two still differ after fetchDelay.
func (f *follower) onMessage(ctx context.Context, from membership.Member, message *update) {
	now := time.Now()
	f.mu.Lock()
	if !f.acceptEra(message.Era, from.Name) {
		f.mu.Unlock()
		return
	}
	f.markStoreUp(now.Add(-max(0, message.Age)), from.Name)
	effect := f.catalog.Apply(now, message.Changes)
	mustRelay := message.Origin != "" && len(effect.Forward) > 0
	same := f.catalog.Digest() == message.Digest
	if same {
		f.catalog.MarkSynced(now.Add(-message.Age), message.Revision)
		if message.Settled {
			f.catalog.MarkSettled(now, message.Revision)
		}
	}
	if same {
		f.differsSince = time.Time{}
	} else if f.differsSince.IsZero() {
		f.differsSince = now
	}
	// A VM without memory that reads the store has the highest revision, but not what the others hold.
	fetch := !same && (message.Revision >= f.catalog.Revision() || f.catalog.LacksMemory()) && now.Sub(f.lastFetch) > f.fetchInterval() && now.Sub(f.differsSince) >= fetchDelay
	if fetch {
		f.lastFetch = now
	}
	f.mu.Unlock()
	if mustRelay {
		f.relay(message)
	}
	f.apply(effect, from.Name)
	if fetch {
		go f.fetch(ctx, from)
	}
}

// fetchInterval returns the time between fetches. The caller holds mu.
func (f *follower) fetchInterval() time.Duration {
	if f.catalog.Settled() || f.catalog.LacksMemory() {
		return minFetchInterval
	}
	return holdingFetchInterval
}

// fetch applies the contents of another VM's catalog: the changes after this VM's
// revision, or everything if the digests still differed after the last fetch.
func (f *follower) fetch(ctx context.Context, from membership.Member) {
	sleep(ctx, time.Duration(rand.Int64N(int64(20*time.Millisecond)))) // jitter: several VMs may have lost the same datagram
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	started := time.Now()
	f.mu.Lock()
	since, era := f.catalog.Revision(), f.catalog.Era()
	if f.fetchAll || !f.catalog.Settled() {
		since = 0
	}
	f.mu.Unlock()
	contents, err := fetchContents(call, f.g.client, from.Address, since, era)
	if err != nil {
		f.g.log.Warn("contents not fetched", zap.String("from", from.Name), zap.Error(err))
		return
	}
	f.mu.Lock()
	if !f.acceptEra(contents.Era, from.Name) {
		f.mu.Unlock()
		return
	}
	f.markStoreUp(started.Add(-max(0, contents.Age)), from.Name)
	var effect catalog.Effect
	if contents.Whole {
		effect = f.catalog.ReplaceFromVM(time.Now(), contents.Changes, contents.Revision, contents.Settled)
	} else {
		effect = f.catalog.Apply(time.Now(), contents.Changes)
	}
	f.fetchAll = f.catalog.Digest() != contents.Digest
	if !f.fetchAll || contents.Whole {
		f.catalog.MarkSynced(started.Add(-contents.Age), contents.Revision)
	}
	if !f.fetchAll && contents.Settled {
		f.catalog.MarkSettled(time.Now(), contents.Revision)
	}
	f.mu.Unlock()
	f.g.log.Info("contents fetched", zap.String("from", from.Name), zap.Uint64("since", since), zap.Int("items", len(contents.Changes)),
		zap.Int("changed", len(effect.Forward)), zap.Uint64("revision", contents.Revision), zap.Duration("age", contents.Age))
	f.apply(effect, from.Name)
}

func fetchContents(ctx context.Context, client *http.Client, address string, since, era uint64) (*update, error) {
	address = "http://" + address + contentsPath + "?since=" + strconv.FormatUint(since, 10) + "&era=" + strconv.FormatUint(era, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var contents update
	if err := newDecoder(io.LimitReader(flate.NewReader(response.Body), maxContents)).Decode(&contents); err != nil {
		return nil, errs.Wrap(err, errs.Ambiguous, "catalog contents of another VM cannot be decoded", "run the same version on all VMs")
	}
	return &contents, nil
}

// serveContents serves the catalog's changes after the revision since of an era, compressed, to
// another VM.
func (f *follower) serveContents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since must be a revision", http.StatusBadRequest)
		return
	}
	era, _ := strconv.ParseUint(r.URL.Query().Get("era"), 10, 64) // absent from earlier versions
	f.mu.Lock()
	if era != f.catalog.Era() {
		since = 0
	}
	changes, whole := f.catalog.Changes(time.Now(), since)
	message := f.describe(changes)
	message.Whole = whole
	f.mu.Unlock()
	content, err := encodeBody(message)
	if err == nil {
		content, err = compress(content)
	}
	if err == nil {
		_, err = w.Write(content)
	}
	if err != nil {
		f.g.log.Warn("contents not served", zap.Error(err))
	}
}
