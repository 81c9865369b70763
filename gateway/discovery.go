package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/catalog"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/platform"
)

const (
	watchPause   = 350 * time.Millisecond  // between reads; servers write about 26 records a second, and each read is priced
	watchWait    = 400 * time.Millisecond  // of a read for the first change; the others hear as often
	storeTimeout = 700 * time.Millisecond  // of one call beyond its wait; the store answers in 4 ms
	storePause   = 250 * time.Millisecond  // after a failed call
	readerStep   = 80 * time.Millisecond   // between the VMs that take over from a silent reader, in their order
	readerBase   = 900 * time.Millisecond  // of silence before the next VM reads; two updates may be lost
	readerCap    = 1500 * time.Millisecond // every VM reads by then; configurations have 2 s to be in force
)

// follower keeps the VM's catalog up to date.
type follower struct {
	g     *Gateway
	store *platform.Store

	mu           sync.Mutex
	catalog      *catalog.Catalog
	fetching     time.Time
	differsSince time.Time // the digest of messages has differed since then
	differs      bool      // what was fetched last did not make the digests equal
	returned     time.Time // the store's last return; lapsed servers are dropped a while later
}

func newFollower(g *Gateway, store *platform.Store) *follower {
	return &follower{g: g, store: store, catalog: catalog.New()}
}

// loadFirst reads the store until this VM knows a configuration, from the store
// or from another VM.
func (f *follower) loadFirst(ctx context.Context) {
	for ctx.Err() == nil && f.g.table.Load() == nil {
		if f.list(ctx) {
			return
		}
		pause(ctx, storePause)
	}
}

// follow reads the store while no VM before this one in the order of readers does.
func (f *follower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		wait := f.untilRead(time.Now())
		if wait > 0 {
			pause(ctx, wait)
			continue
		}
		started := time.Now()
		if f.read(ctx) {
			f.spread(nil)
			pause(ctx, watchPause-time.Since(started))
			continue
		}
		pause(ctx, storePause)
	}
}

// untilRead is the time until this VM has to read the store itself.
func (f *follower) untilRead(now time.Time) time.Duration {
	rank := f.rank()
	f.mu.Lock()
	defer f.mu.Unlock()
	if rank == 0 {
		return 0
	}
	silence := min(readerCap, readerBase+time.Duration(rank)*readerStep)
	return silence - f.catalog.Age(now)
}

// rank is this VM's place in the order of readers; it is last while it stops.
func (f *follower) rank() int {
	readers := f.g.peers.readers()
	for i, member := range readers {
		if member.Name == f.g.self.Name {
			return i
		}
	}
	return len(readers)
}

// read takes the changes since the last read from the store.
func (f *follower) read(ctx context.Context) bool {
	f.mu.Lock()
	after := f.catalog.Revision()
	f.mu.Unlock()
	if after == 0 {
		return f.list(ctx)
	}
	started := time.Now()
	call, cancel := context.WithTimeout(ctx, watchWait+storeTimeout)
	defer cancel()
	items, revision, err := f.store.Watch(call, "", after, watchWait)
	if errs.KindOf(err) == errs.NotFound {
		f.g.log.Info("history is gone", zap.Uint64("after", after))
		return f.list(ctx)
	}
	if err != nil {
		f.lost(ctx, err)
		return false
	}
	f.answered()
	f.mu.Lock()
	effect := f.catalog.Apply(time.Now(), f.decode(items))
	f.catalog.MarkSynced(started, revision)
	f.mu.Unlock()
	f.apply(effect, "store")
	if len(effect.Forward) > 0 {
		f.spread(effect.Forward)
	}
	return true
}

// list reads the whole store.
func (f *follower) list(ctx context.Context) bool {
	started := time.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	snapshot, err := f.store.List(call, "", false)
	if err != nil {
		f.lost(ctx, err)
		return false
	}
	f.answered()
	f.mu.Lock()
	effect := f.catalog.Replace(time.Now(), f.decode(snapshot.Items), snapshot.Revision)
	f.catalog.MarkSynced(started, snapshot.Revision)
	f.mu.Unlock()
	f.apply(effect, "store")
	if len(effect.Forward) > 0 {
		f.spread(effect.Forward)
	}
	return true
}

func (f *follower) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	isNew := f.catalog.MarkStoreDown()
	f.mu.Unlock()
	if isNew {
		f.g.log.Warn("store lost", zap.Error(err))
	}
}

func (f *follower) answered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catalog.MarkStoreUp(time.Now()) {
		f.returned = time.Now()
		f.g.log.Info("store regained")
	}
}

// decode turns items of the store into changes. Items that cannot be read are
// logged and skipped; what was known of them holds.
func (f *follower) decode(items []platform.Item) []catalog.Change {
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
				f.g.log.Warn("record skipped", zap.Uint64("revision", item.Revision), zap.Error(err))
				continue
			}
			change.Server = &server
		case strings.HasPrefix(item.Key, vmsPrefix):
			if item.Deleted {
				break
			}
			var member membership.Member
			if err := json.Unmarshal(item.Value, &member); err != nil {
				f.g.log.Warn("record skipped", zap.String("key", item.Key), zap.Error(err))
				continue
			}
			change.VM = &member
		default:
			continue
		}
		changes = append(changes, change)
	}
	return changes
}

// apply puts what changed into force.
func (f *follower) apply(effect catalog.Effect, source string) {
	for _, err := range effect.Errors {
		f.g.log.Warn("configuration refused", zap.Error(err))
	}
	if effect.Config != nil {
		if f.g.table.Swap(newTable(effect.Config)) == nil {
			close(f.g.loaded)
		}
		f.g.log.Info("configuration in force", zap.Uint64("config", effect.Config.Version), zap.String("source", source))
	}
	if effect.VMs {
		f.mu.Lock()
		registered := f.catalog.VMs()
		f.mu.Unlock()
		f.g.peers.keep(f.g.now(), registered)
	}
	if effect.Servers {
		f.refreshServers(source)
	}
}

// refreshServers puts the registered servers into force.
func (f *follower) refreshServers(source string) {
	f.mu.Lock()
	servers := f.catalog.Servers(time.Now())
	f.mu.Unlock()
	f.g.setServers(servers, source)
}

// tick drops servers whose record did not come back after an outage.
func (f *follower) tick(now time.Time) {
	f.mu.Lock()
	due := !f.returned.IsZero() && now.Sub(f.returned) > returnCheck
	if due {
		f.returned = time.Time{}
	}
	f.mu.Unlock()
	if due {
		f.refreshServers("records missing after an outage")
	}
}

// returnCheck is just over the time in which lapsed records are back after an outage.
const returnCheck = 2050 * time.Millisecond

// pause waits for span or until ctx ends.
func pause(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
