package gateway

import (
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"lacewingmount.dev/catalog"
)

// noteEra enters the era that a call to the store has returned.
func (f *follower) noteEra() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.enterEra(f.store.Era(), sourceStore)
}

// acceptEra enters the era of contents of the store or of another VM. It reports whether they
// may be applied: those of an older era may not. The caller holds mu.
func (f *follower) acceptEra(era uint64, source string) bool {
	f.enterEra(f.store.Era(), sourceStore)
	f.enterEra(era, source)
	if era == f.catalog.Era() {
		return true
	}
	olderEras.Inc()
	return false
}

// enterEra enters the era if it is higher than the known one. The caller holds mu.
func (f *follower) enterEra(era uint64, source string) {
	higher, holding := f.catalog.EnterEra(era)
	if !higher {
		return
	}
	f.store.RaiseEra(era)
	storeEra.Set(float64(era))
	f.fetchAll = false
	if !holding {
		return
	}
	f.g.log.Warn("store returned from an older copy; newer configuration, servers and evacuations are held until they are written again",
		zap.Uint64("era", era), zap.String("source", source))
	select {
	case f.eraRaised <- struct{}{}:
	default:
	}
}

// markRead records that the store's changes up to the revision have been applied. The caller
// holds mu.
func (f *follower) markRead(revision uint64) catalog.Effect {
	before := f.catalog.Settled()
	effect := f.catalog.MarkRead(f.g.now(), revision)
	if !before && f.catalog.Settled() {
		removed := make([]string, 0, len(effect.Forward))
		for _, change := range effect.Forward {
			removed = append(removed, change.Key)
		}
		f.g.log.Info("older copy of the store settled", zap.Uint64("era", f.catalog.Era()), zap.Int("removed", len(removed)),
			zap.Strings("keys", removed[:min(len(removed), maxLoggedKeys)]))
	}
	return effect
}

const maxLoggedKeys = 20 // in the line about items that were removed

var (
	storeEra  = metrics.GetOrCreateGauge("lacewing_gateway_store_era", nil)
	olderEras = metrics.GetOrCreateCounter("lacewing_gateway_older_eras_total")
)
