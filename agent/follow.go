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
	// storeWatchers is the number of VMs that watch the store. The others get the
	// configuration from their peers and query the store only if these do not answer.
	storeWatchers = 16

	watchTimeout        = time.Second      // a watch that ends without a change confirms the document
	listInterval        = time.Second      // between reads of the list of VMs, for watchers
	listIntervalOther   = 10 * time.Second // the same for other VMs
	staleAfter          = 2 * time.Second  // age of the last confirmation from which a VM without quorum contact queries the store
	staleAfterWithPeers = 10 * time.Second // the same for VMs with quorum contact that are not watchers
	minRetryDelay       = 100 * time.Millisecond
	maxRetryDelay       = 2 * time.Second  // for watchers and for VMs without quorum contact
	maxRetryDelayOther  = 15 * time.Second // for other VMs
)

// follower follows the configuration document in the store.
type follower struct {
	agent       *Agent
	seenVersion metastore.Version
	delay       time.Duration
	storeLost   bool
	behind      bool // the store's document is older than the current one
	rejected    bool // the store's document was not adopted
}

// followStore adopts each new document of the store until ctx ends.
func (a *Agent) followStore(ctx context.Context) {
	f := follower{agent: a, delay: minRetryDelay}
	for ctx.Err() == nil {
		if !a.vmListKnown.Load() && a.since(a.started) < staleAfter {
			daemon.Sleep(ctx, jitter(minRetryDelay)) // whether this VM is a watcher is not known yet
			continue
		}
		if !a.needsStore() {
			daemon.Sleep(ctx, jitter(membership.ExchangeInterval))
			continue
		}
		if err := f.watch(ctx); err != nil {
			f.handleFailure(ctx, err)
			continue
		}
		f.handleSuccess()
	}
}

// watch performs one watch of the store and adopts the documents that it returns.
func (f *follower) watch(ctx context.Context) error {
	sent := f.agent.now()
	entries, err := f.agent.store.Watch(ctx, config.RootKey, f.seenVersion, watchTimeout)
	if err != nil {
		return err
	}
	if len(entries) == 0 && f.behind {
		f.reportStoreBehind()
	}
	for _, entry := range entries {
		err := f.agent.adopt(ctx, entry.Value, f.fetch, "store")
		if errs.KindOf(err) == errs.Unavailable || errs.KindOf(err) == errs.Ambiguous {
			return err // a chunk cannot be read yet; the next watch returns the document again
		}
		f.seenVersion = max(f.seenVersion, entry.Version)
		f.behind = errs.KindOf(err) == errs.Conflict
		f.rejected = err != nil
	}
	if !f.rejected {
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
			return nil, errs.Wrap(err, errs.Unavailable, "chunk "+hash+" of the configuration cannot be read from the store", "none; it is retried")
		}
		chunks[hash] = entry.Value
	}
	return chunks, nil
}

// reportStoreBehind reports that the store has lost a document that this VM has adopted.
func (f *follower) reportStoreBehind() {
	const reason = "the document in the store is older than this VM's; apply the sections again"
	if f.agent.adopter.lastRejection.set(reason) {
		f.agent.events.Add(timeline.Event{Kind: timeline.KindStoreOutdated, Reason: reason})
		f.agent.log.Error("store behind", zap.String("reason", reason))
	}
}

// handleFailure reports the loss of the store and waits with exponential backoff.
func (f *follower) handleFailure(ctx context.Context, err error) {
	if !f.storeLost && ctx.Err() == nil {
		f.storeLost = true
		f.agent.events.Add(timeline.Event{Kind: timeline.KindStoreUnreachable, Reason: err.Error()})
		f.agent.log.Warn("store lost", zap.Error(err))
	}
	daemon.Sleep(ctx, jitter(f.delay))
	maxDelay := maxRetryDelay
	if !f.agent.isWatcher() && f.agent.hasQuorumContact() {
		maxDelay = maxRetryDelayOther
	}
	f.delay = min(2*f.delay, maxDelay)
}

func (f *follower) handleSuccess() {
	if f.storeLost {
		f.agent.events.Add(timeline.Event{Kind: timeline.KindStoreReachable})
		f.agent.log.Info("store back")
	}
	f.delay, f.storeLost = minRetryDelay, false
}

// needsStore reports whether this VM should query the store now: it is a watcher, or
// its peers have not confirmed its document recently. A VM that has just started
// gives its peers the same time to do so.
func (a *Agent) needsStore() bool {
	if a.isWatcher() {
		return true
	}
	age := min(a.storeAge(), a.since(a.started))
	if a.hasQuorumContact() {
		return age > staleAfterWithPeers
	}
	return age > staleAfter
}

// isWatcher reports whether this VM is one of those that watch the store.
func (a *Agent) isWatcher() bool { return a.peers.isTopRanked(storeWatchers, config.RootKey) }

// followMembers keeps the list of VMs up to date until ctx ends.
func (a *Agent) followMembers(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := a.vms.VMs(ctx)
		if err == nil && a.peers.update(vms) {
			a.membersChanged()
		}
		if err == nil {
			a.vmListKnown.Store(true)
		}
		period := listInterval
		if err == nil && !a.isWatcher() {
			period = listIntervalOther
		}
		daemon.Sleep(ctx, jitter(period))
	}
}

// membersChanged publishes and reports the number of VMs in service.
func (a *Agent) membersChanged() {
	serving := len(a.peers.inService())
	a.state.setMembers(max(serving, 1))
	a.events.Add(timeline.Event{Kind: timeline.KindMembersChanged})
	a.log.Info("members changed", zap.Int("in_service", serving))
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}
