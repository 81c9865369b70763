package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/keys"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

const (
	authorityCheckInterval = 100 * time.Millisecond
	startupPeers           = 3 // peers whose revision a starting VM must know before it confirms its document without the store
)

// authority records until when the VM may serve routes that need a key, and how its
// document compares with those of its peers.
type authority struct {
	mu             sync.Mutex
	keys           keys.Authority
	wasValid       bool            // at the last check
	reportedPeers  map[string]bool // peers that have reported their revision
	newestRevision uint64          // highest revision that a peer has reported
}

func newAuthority() *authority { return &authority{reportedPeers: map[string]bool{}} }

// confirmStore records that this VM's document was the store's newest at the given
// instant. An instant before the start of this VM confirms the document only after
// staleAfterWithPeers: a peer that has been without the store since then may have missed a
// newer one, which the others will have passed on by then. Without that limit, VMs that
// restart together in an outage would wait for each other.
func (a *Agent) confirmStore(at time.Time) {
	a.authority.mu.Lock()
	a.authority.keys.ConfirmStore(at)
	a.authority.mu.Unlock()
	if !at.Before(a.started) || a.since(a.started) >= staleAfterWithPeers {
		a.state.setConfirmed()
	}
}

// storeAge returns the time since the document was last known to be the store's
// newest, or infiniteAge if it never was.
func (a *Agent) storeAge() time.Duration {
	a.authority.mu.Lock()
	defer a.authority.mu.Unlock()
	return a.since(a.authority.keys.Store())
}

// statusNever is the age in status messages of an event that has not happened.
const statusNever = -1 * time.Nanosecond

// infiniteAge is the age in decisions of an event that has not happened.
const infiniteAge = 365 * 24 * time.Hour

// since returns the time since the given instant, or infiniteAge for the zero time.
func (a *Agent) since(at time.Time) time.Duration {
	if at.IsZero() {
		return infiniteAge
	}
	return a.now().Sub(at)
}

// hasQuorumContact reports whether most peers answered within keys.AuthorityDuration.
func (a *Agent) hasQuorumContact() bool {
	return a.since(a.peers.lastQuorumContact()) < keys.AuthorityDuration
}

// authorityRemaining returns for how much longer routes that need a key may be served.
func (a *Agent) authorityRemaining() time.Duration {
	a.authority.mu.Lock()
	defer a.authority.mu.Unlock()
	a.authority.keys.ConfirmPeers(a.peers.lastQuorumContact())
	return max(0, a.authority.keys.Until().Sub(a.now()))
}

// checkAuthority updates the agent's readiness from its authority until ctx ends.
func (a *Agent) checkAuthority(ctx context.Context) {
	for ctx.Err() == nil {
		a.updateReadiness()
		daemon.Sleep(ctx, authorityCheckInterval)
	}
}

// updateReadiness sets the readiness and reports when the authority is lost or regained.
func (a *Agent) updateReadiness() {
	remaining := a.authorityRemaining()
	confirmed := a.state.digest().Confirmed
	ready := confirmed && remaining > 0 && !a.stopping.Load()
	a.admin.SetReady(ready)
	valid := remaining > 0
	a.authority.mu.Lock()
	changed := valid != a.authority.wasValid
	a.authority.wasValid = valid
	a.authority.mu.Unlock()
	if !changed {
		return
	}
	kind := timeline.KindKeyAuthorityRestored
	if !valid {
		kind = timeline.KindKeyAuthorityLost
	}
	a.events.Add(timeline.Event{Kind: kind})
	a.log.Info(string(kind), zap.Duration("store_age", a.storeAge()))
}

// handleDigest processes the configuration digest in a peer's answer to an exchange.
// sent is when the exchange began: ages count from there, so that a late answer
// cannot make the document look newer than it is.
func (a *Agent) handleDigest(sent time.Time, peer string, digest wire.ConfigDigest) {
	own := a.state.digest()
	if digest.StoreAge > 0 && own.Revision >= digest.Revision && own.Withdrawals == digest.Withdrawals && own.Revision > 0 {
		a.confirmStore(sent.Add(-time.Duration(digest.StoreAge) * time.Millisecond))
	}
	if !digest.Confirmed || own.Confirmed || own.Withdrawals != digest.Withdrawals {
		return // this VM must know the same withdrawals as the peer before it confirms its document
	}
	if a.recordStartupPeer(peer, digest.Revision) && a.hasQuorumContact() {
		a.state.setConfirmed()
	}
}

// recordStartupPeer records a peer's revision while this VM starts. It reports whether
// enough peers have reported and none of them has a newer revision. While the list of
// VMs is not known, fewer than startupPeers are enough only after staleAfter, in which
// every peer of a small fleet has exchanged messages with this VM.
func (a *Agent) recordStartupPeer(peer string, revision uint64) bool {
	document, _ := a.state.configuration()
	enough := startupPeers
	if a.vmListKnown.Load() || a.since(a.started) >= staleAfter {
		enough = min(startupPeers, len(a.peers.inService())-1)
	}
	a.authority.mu.Lock()
	defer a.authority.mu.Unlock()
	a.authority.reportedPeers[peer] = true
	a.authority.newestRevision = max(a.authority.newestRevision, revision)
	return document != nil && document.Revision >= a.authority.newestRevision && len(a.authority.reportedPeers) >= enough
}
