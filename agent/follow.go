package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/config"
	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/metastore"
	"lacewingmount.dev/timeline"
)

const (
	// watchers is the number of VMs that watch the store; the others learn from
	// their peers and ask the store only when these are silent.
	watchers = 16

	watchWait       = time.Second      // a watch that ends without news confirms the document
	listPeriod      = time.Second      // between two looks at the list of VMs by a watcher
	listPeriodOther = 10 * time.Second // by any other VM
	staleAfter      = 2 * time.Second  // without a confirmation, a VM without contact to its peers asks the store
	staleAfterOther = 10 * time.Second // and any other VM that does not watch
	retryFirst      = 100 * time.Millisecond
	retryMost       = 2 * time.Second  // of a watcher, or of a VM without contact to its peers
	retryMostOther  = 15 * time.Second // of any other VM
)

// follower follows the document in the store.
type follower struct {
	agent  *Agent
	seen   metastore.Version
	delay  time.Duration
	lost   bool
	behind bool // the last document seen is older than the one in force
	stale  bool // the last document seen was refused
}

// followStore adopts each new document of the store until ctx ends.
func (a *Agent) followStore(ctx context.Context) {
	f := follower{agent: a, delay: retryFirst}
	for ctx.Err() == nil {
		if !a.listKnown.Load() && a.since(a.started) < staleAfter {
			daemon.Sleep(ctx, jitter(retryFirst)) // who watches is not known yet
			continue
		}
		if !a.asksStore() {
			daemon.Sleep(ctx, jitter(membership.ExchangeInterval))
			continue
		}
		if err := f.watch(ctx); err != nil {
			f.failed(ctx, err)
			continue
		}
		f.answered()
	}
}

// watch waits for one answer of the store.
func (f *follower) watch(ctx context.Context) error {
	sent := f.agent.now()
	entries, err := f.agent.store.Watch(ctx, config.RootKey, f.seen, watchWait)
	if err != nil {
		return err
	}
	if len(entries) == 0 && f.behind {
		f.storeBehind()
	}
	for _, entry := range entries {
		err := f.agent.adopt(ctx, entry.Value, f.fetch, "store")
		if errs.KindOf(err) == errs.Unavailable || errs.KindOf(err) == errs.Ambiguous {
			return err // a chunk is not there yet; ask again
		}
		f.seen = max(f.seen, entry.Version)
		f.behind = errs.KindOf(err) == errs.Conflict
		f.stale = err != nil
	}
	if !f.stale {
		f.agent.confirmStore(sent)
	}
	return nil
}

// fetch reads chunks from the store.
func (f *follower) fetch(ctx context.Context, hashes []string) (map[string][]byte, error) {
	chunks := map[string][]byte{}
	for _, hash := range hashes {
		entry, err := f.agent.store.Get(ctx, config.ChunkPrefix+hash)
		if err != nil {
			return nil, errs.Wrap(err, errs.Unavailable, "chunk "+hash+" of the configuration", "it is tried again")
		}
		chunks[hash] = entry.Value
	}
	return chunks, nil
}

// storeBehind reports that the store lost a document which was in force.
func (f *follower) storeBehind() {
	const reason = "the store holds an older document than this VM; apply the sections again"
	if f.agent.adopter.rejected.set(reason) {
		f.agent.events.Add(timeline.Event{Kind: timeline.KindStoreOutdated, Reason: reason})
		f.agent.log.Error("store behind", zap.String("reason", reason))
	}
}

func (f *follower) failed(ctx context.Context, err error) {
	if !f.lost && ctx.Err() == nil {
		f.lost = true
		f.agent.events.Add(timeline.Event{Kind: timeline.KindStoreUnreachable, Reason: err.Error()})
		f.agent.log.Warn("store lost", zap.Error(err))
	}
	daemon.Sleep(ctx, jitter(f.delay))
	most := retryMost
	if !f.agent.watches() && f.agent.hearsPeers() {
		most = retryMostOther
	}
	f.delay = min(2*f.delay, most)
}

func (f *follower) answered() {
	if f.lost {
		f.agent.events.Add(timeline.Event{Kind: timeline.KindStoreReachable})
		f.agent.log.Info("store back")
	}
	f.delay, f.lost = retryFirst, false
}

// asksStore reports whether this VM needs the store's answer now: it watches, or
// its peers have not told it lately what the store holds. A VM that has just
// started leaves its peers time to do so.
func (a *Agent) asksStore() bool {
	if a.watches() {
		return true
	}
	age := min(a.storeAge(), a.since(a.started))
	if a.hearsPeers() {
		return age > staleAfterOther
	}
	return age > staleAfter
}

// watches reports whether this VM is one of those that watch the store.
func (a *Agent) watches() bool { return a.peers.among(watchers, config.RootKey) }

// followMembers keeps the list of VMs up to date until ctx ends.
func (a *Agent) followMembers(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := a.vms.VMs(ctx)
		if err == nil && a.peers.update(vms) {
			a.membersChanged()
		}
		if err == nil {
			a.listKnown.Store(true)
		}
		period := listPeriod
		if err == nil && !a.watches() {
			period = listPeriodOther
		}
		daemon.Sleep(ctx, jitter(period))
	}
}

func (a *Agent) membersChanged() {
	serving := len(a.peers.inService())
	a.state.setMembers(max(serving, 1))
	a.events.Add(timeline.Event{Kind: timeline.KindMembersChanged})
	a.log.Info("members changed", zap.Int("in_service", serving))
}

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}
