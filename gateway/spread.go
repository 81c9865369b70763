package gateway

import (
	"compress/flate"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"lacewingmount.dev/catalog"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/membership"
)

const (
	fetchWait     = 250 * time.Millisecond // in which news may still arrive along its tree
	directMembers = 16                     // up to so many, all are told directly
	treeWidth     = 6                      // three steps reach 258 VMs
	fetchPause    = 200 * time.Millisecond // between fetches from another VM
	fetchTimeout  = 500 * time.Millisecond
	contentsPath  = "/contents" // serves all that a VM knows
)

// spread tells the other VMs what changed and how fresh this VM's knowledge is.
// News of some size goes along a tree, so that the links of this VM do not fill.
func (f *follower) spread(changes []catalog.Change) {
	f.mu.Lock()
	message := &update{Age: f.catalog.Age(time.Now()), Revision: f.catalog.Revision(), Digest: f.catalog.Digest(), Changes: changes}
	f.mu.Unlock()
	members := f.g.peers.all()
	if len(changes) > 0 && len(members) > directMembers {
		message.Origin = f.g.self.Name
		members = children(members, message.Origin, f.g.self.Name)
	}
	for _, member := range members {
		if member.Name != f.g.self.Name {
			f.g.mesh.send(member.Address, kindUpdate, message)
		}
	}
}

// relay passes an update on to this VM's part of its tree.
func (f *follower) relay(message *update) {
	for _, member := range children(f.g.peers.all(), message.Origin, f.g.self.Name) {
		f.g.mesh.send(member.Address, kindUpdate, message)
	}
}

// children returns the members to which one of them passes on what origin sent: a
// tree with treeWidth branches over all members, by name, that begins with origin.
func children(members []membership.Member, origin, self string) []membership.Member {
	slices.SortFunc(members, func(a, b membership.Member) int { return strings.Compare(a.Name, b.Name) })
	place := func(name string) int {
		return slices.IndexFunc(members, func(m membership.Member) bool { return m.Name == name })
	}
	root, own := place(origin), place(self)
	if root < 0 || own < 0 {
		return nil
	}
	n := len(members)
	var below []membership.Member
	first := (own-root+n)%n*treeWidth + 1
	for i := first; i < min(n, first+treeWidth); i++ {
		below = append(below, members[(root+i)%n])
	}
	return below
}

// heard takes over an update of another VM.
func (f *follower) heard(ctx context.Context, from membership.Member, message *update) {
	now := time.Now()
	f.mu.Lock()
	effect := f.catalog.Apply(now, message.Changes)
	isNews := message.Origin != "" && len(effect.Forward) > 0
	same := f.catalog.Digest() == message.Digest
	if same {
		f.catalog.MarkSynced(now.Add(-message.Age), message.Revision)
	}
	if same {
		f.differsSince = time.Time{}
	} else if f.differsSince.IsZero() {
		f.differsSince = now
	}
	fetch := !same && message.Revision >= f.catalog.Revision() && now.Sub(f.fetching) > fetchPause && now.Sub(f.differsSince) >= fetchWait
	if fetch {
		f.fetching = now
	}
	f.mu.Unlock()
	if isNews {
		f.relay(message)
	}
	f.apply(effect, from.Name)
	if fetch {
		go f.fetch(ctx, from)
	}
}

// fetch takes over what another VM knows, from the revision on up to which this VM
// knows all, or the whole if that did not help before.
func (f *follower) fetch(ctx context.Context, from membership.Member) {
	pause(ctx, time.Duration(rand.Int64N(int64(20*time.Millisecond)))) // spreads the VMs that lost the same datagram
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	started := time.Now()
	f.mu.Lock()
	since := f.catalog.Revision()
	if f.differs {
		since = 0
	}
	f.mu.Unlock()
	contents, err := fetchContents(call, f.g.client, from.Address, since)
	if err != nil {
		f.g.log.Warn("contents not fetched", zap.String("from", from.Name), zap.Error(err))
		return
	}
	f.mu.Lock()
	var effect catalog.Effect
	if contents.Whole {
		effect = f.catalog.Replace(time.Now(), contents.Changes, contents.Revision+1)
	} else {
		effect = f.catalog.Apply(time.Now(), contents.Changes)
	}
	f.differs = f.catalog.Digest() != contents.Digest
	if !f.differs || contents.Whole {
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
	if err := msgpack.NewDecoder(flate.NewReader(response.Body)).Decode(&contents); err != nil {
		return nil, errs.Wrap(err, errs.Ambiguous, "contents cannot be read", "run the same version on all VMs")
	}
	return &contents, nil
}

// serveContents answers fetches.
func (f *follower) serveContents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since must be a revision", http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	changes, whole := f.catalog.Changes(since)
	message := &update{Age: f.catalog.Age(time.Now()), Revision: f.catalog.Revision(), Digest: f.catalog.Digest(), Changes: changes, Whole: whole}
	f.mu.Unlock()
	content, err := encodeBody(message)
	if err == nil {
		content, err = pack(content)
	}
	if err == nil {
		_, err = w.Write(content)
	}
	if err != nil {
		f.g.log.Warn("contents not served", zap.Error(err))
	}
}
