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
	fetchDelay       = 250 * time.Millisecond // before a fetch; changes may still arrive through the tree
	maxDirectMembers = 16                     // with more members, changes are sent along a tree
	treeWidth        = 6                      // members per node; three levels reach 258 VMs
	minFetchInterval = 200 * time.Millisecond // between fetches from other VMs
	fetchTimeout     = 500 * time.Millisecond
	maxContents      = 32 << 20    // bytes of another VM's catalog after decompression; 12,000 servers take about 3 MB
	contentsPath     = "/contents" // HTTP path of a VM's catalog contents
)

// propagate sends the other VMs the changes, with the revision, digest and age of this
// VM's catalog. With many VMs, changes go along a tree, so that they do not fill the
// network links of this VM.
func (f *follower) propagate(changes []catalog.Change) {
	f.mu.Lock()
	message := &update{Age: f.catalog.Age(time.Now()), Revision: f.catalog.Revision(), Digest: f.catalog.Digest(), Changes: changes}
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

// relay forwards an update to the children of this VM in the tree.
func (f *follower) relay(message *update) {
	for _, member := range children(f.g.peers.all(), message.Origin, f.g.self.Name) {
		f.g.mesh.send(member.Address, kindUpdate, message)
	}
}

// children returns the members to which self relays an update of origin. They form a
// tree over all members in the order of their names, with origin as the root and up to
// treeWidth children per node. children sorts the members in place.
func children(members []membership.Member, origin, self string) []membership.Member {
	slices.SortFunc(members, func(a, b membership.Member) int { return strings.Compare(a.Name, b.Name) })
	position := func(name string) int {
		return slices.IndexFunc(members, func(m membership.Member) bool { return m.Name == name })
	}
	root, own := position(origin), position(self)
	if root < 0 || own < 0 {
		return nil
	}
	n := len(members)
	var result []membership.Member
	first := (own-root+n)%n*treeWidth + 1
	for i := first; i < min(n, first+treeWidth); i++ {
		result = append(result, members[(root+i)%n])
	}
	return result
}

// onMessage applies an update from another VM, relays it if needed, and fetches the
// sender's catalog if the two still differ after fetchDelay.
func (f *follower) onMessage(ctx context.Context, from membership.Member, message *update) {
	now := time.Now()
	f.mu.Lock()
	f.markStoreUp(now.Add(-max(0, message.Age)), from.Name)
	effect := f.catalog.Apply(now, message.Changes)
	mustRelay := message.Origin != "" && len(effect.Forward) > 0
	same := f.catalog.Digest() == message.Digest
	if same {
		f.catalog.MarkSynced(now.Add(-message.Age), message.Revision)
	}
	if same {
		f.differsSince = time.Time{}
	} else if f.differsSince.IsZero() {
		f.differsSince = now
	}
	fetch := !same && message.Revision >= f.catalog.Revision() && now.Sub(f.lastFetch) > minFetchInterval && now.Sub(f.differsSince) >= fetchDelay
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

// fetch applies the contents of another VM's catalog: the changes after this VM's
// revision, or everything if the digests still differed after the last fetch.
func (f *follower) fetch(ctx context.Context, from membership.Member) {
	sleep(ctx, time.Duration(rand.Int64N(int64(20*time.Millisecond)))) // jitter: several VMs may have lost the same datagram
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	started := time.Now()
	f.mu.Lock()
	since := f.catalog.Revision()
	if f.fetchAll {
		since = 0
	}
	f.mu.Unlock()
	contents, err := fetchContents(call, f.g.client, from.Address, since)
	if err != nil {
		f.g.log.Warn("contents not fetched", zap.String("from", from.Name), zap.Error(err))
		return
	}
	f.mu.Lock()
	f.markStoreUp(started.Add(-max(0, contents.Age)), from.Name)
	var effect catalog.Effect
	if contents.Whole {
		effect = f.catalog.Replace(time.Now(), contents.Changes, contents.Revision+1)
	} else {
		effect = f.catalog.Apply(time.Now(), contents.Changes)
	}
	f.fetchAll = f.catalog.Digest() != contents.Digest
	if !f.fetchAll || contents.Whole {
		f.catalog.MarkSynced(started.Add(-contents.Age), contents.Revision)
	}
	f.mu.Unlock()
	f.g.log.Info("contents fetched", zap.String("from", from.Name), zap.Uint64("since", since), zap.Int("items", len(contents.Changes)),
		zap.Int("changed", len(effect.Forward)), zap.Uint64("revision", contents.Revision), zap.Duration("age", contents.Age))
	f.apply(effect, from.Name)
}

func fetchContents(ctx context.Context, client *http.Client, address string, since uint64) (*update, error) {
	address = "http://" + address + contentsPath + "?since=" + strconv.FormatUint(since, 10)
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

// serveContents serves the catalog's changes after the revision since, compressed, to
// another VM.
func (f *follower) serveContents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since must be a revision", http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	changes, whole := f.catalog.Changes(time.Now(), since)
	message := &update{Age: f.catalog.Age(time.Now()), Revision: f.catalog.Revision(), Digest: f.catalog.Digest(), Changes: changes, Whole: whole}
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
