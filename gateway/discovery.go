package gateway

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lacewingmount.dev/catalog"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/platform"
)

const (
	watchInterval = 350 * time.Millisecond // between starts of reads; servers write about 26 records per second, and the platform charges for each read
	watchWait     = 400 * time.Millisecond // of a read for the first change; the other VMs are updated as often
	storeTimeout  = 700 * time.Millisecond // of one call, in addition to its wait for changes; the store answers within 4 ms
)

// follower keeps the VM's catalog up to date, from the store or from other VMs.
type follower struct {
	g       *Gateway
	store   *platform.Store
	started time.Time // of this VM

	applying sync.Mutex // held while changes are put into force, so that the newest ones stay; locked before mu

	mu           sync.Mutex
	catalog      *catalog.Catalog
	lastFetch    time.Time // start of the last fetch from another VM
	differsSince time.Time // start of the time in which this VM's digest has differed from that of updates
	fetchAll     bool      // the digests differed even after the last fetch, so the next one is complete
	storeLost    bool      // this VM's last call to the store failed; only for the log

	eraRaised chan struct{} // the store has returned from an older copy, so this VM must register again
}

func newFollower(g *Gateway, store *platform.Store) *follower {
	return &follower{g: g, store: store, started: time.Now(), catalog: catalog.New(), eraRaised: make(chan struct{}, 1)}
}

// loadInitial reads the store until this VM has a configuration, from the store or
// from another VM.
func (f *follower) loadInitial(ctx context.Context) {
	for failures := 1; ctx.Err() == nil && f.g.table.Load() == nil; failures++ {
		if f.readAll(ctx) {
			return
		}
		sleep(ctx, f.turn().retryDelay(failures, rand.Float64()))
	}
}

// follow reads the store for all VMs until ctx ends, except while updates arrive from
// a VM that precedes this one in the order of readers.
func (f *follower) follow(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		turn := f.turn()
		if wait := f.timeUntilRead(time.Now(), turn); wait > 0 {
			sleep(ctx, wait)
			continue
		}
		started := time.Now()
		if f.readChanges(ctx, turn.wait()) {
			failures = 0
			f.propagate(nil)
			sleep(ctx, watchInterval-time.Since(started))
			continue
		}
		failures++
		sleep(ctx, turn.retryDelay(failures, rand.Float64()))
	}
}

// turn returns this VM's present place among the VMs that read the store.
func (f *follower) turn() readTurn {
	return readTurn{rank: f.rank(), settling: f.g.table.Load() != nil && time.Since(f.started) < settleTime}
}

// timeUntilRead returns the time until this VM has to read the store itself.
func (f *follower) timeUntilRead(now time.Time, turn readTurn) time.Duration {
	silence := turn.silence()
	if silence == 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return silence - f.catalog.Age(now)
}

// rank returns this VM's position in the order of readers. While it stops, that is
// after all others.
func (f *follower) rank() int {
	readers := f.g.peers.readers()
	for i, member := range readers {
		if member.Name == f.g.self.Name {
			return i
		}
	}
	return len(readers)
}

// readChanges applies the store's changes after the catalog's revision, or reads all
// items if there is no such history. It waits for the first change for the given time.
// It reports whether the store answered.
func (f *follower) readChanges(ctx context.Context, wait time.Duration) bool {
	f.mu.Lock()
	f.enterEra(f.store.Era(), sourceStore)
	era, after, list := f.catalog.Era(), f.catalog.ReadFrom(), f.catalog.NeedsListing()
	f.mu.Unlock()
	if list {
		return f.readAll(ctx)
	}
	started := time.Now()
	call, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	items, revision, err := f.store.Watch(call, "", era, after, wait)
	if errs.KindOf(err) == errs.NotFound {
		f.g.log.Info("store has dropped its history of changes; reading all items", zap.Uint64("after", after))
		return f.readAll(ctx)
	}
	if errors.Is(err, platform.ErrResponseTooLong) {
		f.g.log.Warn("changes do not fit into one response of the store; reading all items", zap.Uint64("after", after), zap.Error(err))
		return f.readAll(ctx)
	}
	if err != nil {
		f.markStoreFailed(ctx, started, err)
		return false
	}
	f.mu.Lock()
	if !f.acceptEra(era, sourceStore) {
		f.mu.Unlock()
		return true
	}
	f.markStoreReachable()
	effect := f.catalog.ApplyEvents(time.Now(), f.decodeItems(items))
	f.catalog.MarkSynced(started, revision)
	effect = effect.With(f.markRead(revision))
	f.mu.Unlock()
	f.apply(effect, sourceStore)
	if len(effect.Forward) > 0 {
		f.propagate(effect.Forward)
	}
	return true
}

// readAll reads all items of the store. It reports whether the store answered.
func (f *follower) readAll(ctx context.Context) bool {
	started := time.Now()
	snapshot, err := f.store.List(ctx, "", false, storeTimeout)
	if err != nil {
		f.markStoreFailed(ctx, started, err)
		return false
	}
	f.mu.Lock()
	if !f.acceptEra(snapshot.Era, sourceStore) {
		f.mu.Unlock()
		return true
	}
	f.markStoreReachable()
	unverified := f.catalog.Config() == nil && snapshot.Era > 0 // may be an older copy, which the other VMs would take for writes of this era
	effect := f.catalog.Replace(time.Now(), f.decodeItems(snapshot.Items), snapshot.Revision)
	f.catalog.MarkSynced(started, snapshot.Revision)
	effect = effect.With(f.markRead(snapshot.Revision))
	f.mu.Unlock()
	f.apply(effect, sourceStore)
	if len(effect.Forward) > 0 && !unverified {
		f.propagate(effect.Forward)
	}
	return true
}

// markStoreFailed records that a call to the store failed, which began at the given time.
func (f *follower) markStoreFailed(ctx context.Context, began time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog.MarkStoreDown(began)
	if !f.storeLost {
		f.storeLost = true
		f.g.log.Warn("store lost", zap.Error(err))
	}
}

// markStoreReachable records that the store answered a call of this VM. The caller holds mu.
func (f *follower) markStoreReachable() {
	f.markStoreUp(time.Now(), sourceStore)
	if f.storeLost {
		f.storeLost = false
		f.g.log.Info("store regained")
	}
}

// markStoreUp records that the store answered this VM or the one that is the source. The
// caller holds mu.
func (f *follower) markStoreUp(at time.Time, source string) {
	if f.catalog.MarkStoreUp(at) {
		f.g.log.Info("outage of the store ended; servers whose records lapsed are kept for a while", zap.String("source", source))
	}
}

// decodeItems turns items of the store into changes. Items that cannot be decoded are
// logged and skipped; their last valid values stay in force.
func (f *follower) decodeItems(items []platform.Item) []catalog.Change {
	changes := make([]catalog.Change, 0, len(items))
	for _, item := range items {
		change := catalog.Change{Key: item.Key, Revision: item.Revision, Removed: item.Deleted}
		switch {
		case item.Key == platform.ConfigKey && item.Deleted:
			continue
		case item.Key == platform.ConfigKey:
			change.Config = item.Value
		case strings.HasPrefix(item.Key, platform.ServersPrefix):
			if item.Deleted {
				break
			}
			server, err := platform.DecodeServer(strings.TrimPrefix(item.Key, platform.ServersPrefix), item.Value)
			if err != nil {
				f.g.log.Warn("invalid record skipped", zap.Uint64("revision", item.Revision), zap.Error(err))
				continue
			}
			change.Server = &server
		case strings.HasPrefix(item.Key, vmsPrefix):
			if item.Deleted {
				break
			}
			member, err := decodeMember(strings.TrimPrefix(item.Key, vmsPrefix), item.Value)
			if err != nil {
				f.g.log.Warn("invalid record skipped", zap.Uint64("revision", item.Revision), zap.Error(err))
				continue
			}
			change.VM = &member
		case isEvacuation(item.Key): // the value has no meaning
		default:
			continue
		}
		changes = append(changes, change)
	}
	return changes
}

// apply puts the changes of an update or read into force. Goroutines may call it in another
// order than that in which they changed the catalog.
func (f *follower) apply(effect catalog.Effect, source string) {
	f.applying.Lock()
	defer f.applying.Unlock()
	for _, err := range effect.Errors {
		f.g.log.Warn("configuration rejected", zap.Error(err))
	}
	if effect.VMs {
		f.mu.Lock()
		registered := f.catalog.VMs()
		f.mu.Unlock()
		f.g.peers.setRegistered(f.g.now(), registered)
	}
	current := f.g.table.Load()
	newer := effect.Config != nil && (current == nil || current.config.Version < effect.Config.Version)
	ratesChanged := newer && f.g.setColdRates(effect.Config)
	if effect.Servers || effect.Zones || ratesChanged {
		f.refreshServers(source)
	}
	// The first configuration lets requests in, so it comes after their servers.
	if newer {
		if f.g.table.Swap(newTable(effect.Config)) == nil {
			close(f.g.loaded)
		}
		f.g.log.Info("configuration in force", zap.Uint64("config", effect.Config.Version), zap.String("source", source))
	}
}

// refreshServers puts the usable servers and the evacuated zones of the catalog into force. The
// caller holds applying.
func (f *follower) refreshServers(source string) {
	f.mu.Lock()
	servers, evacuated := f.catalog.Servers(time.Now()), f.catalog.EvacuatedZones()
	f.mu.Unlock()
	f.g.setServers(servers, evacuated, source)
}

// tick drops the servers whose records have not reappeared after an outage of the store.
func (f *follower) tick(now time.Time) {
	f.mu.Lock()
	due := f.catalog.DropLapsed(now)
	f.mu.Unlock()
	if due {
		f.applying.Lock()
		defer f.applying.Unlock()
		f.refreshServers("records missing after an outage")
	}
}

// sleep waits for the given time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
