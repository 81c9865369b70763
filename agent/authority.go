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
	authorityPeriod = 100 * time.Millisecond // between two checks
	bootPeers       = 3                      // whose documents make a VM trust its own without the store
)

// authority is the VM's right to serve keyed routes, and what it knows about how
// new its document is.
type authority struct {
	mu     sync.Mutex
	keys   keys.Authority
	had    bool
	booted map[string]bool // peers that have told their revision
	newest uint64          // highest revision that a peer has told
}

func newAuthority() *authority { return &authority{booted: map[string]bool{}} }

// confirmStore says that at the instant this VM had the store's newest document.
func (a *Agent) confirmStore(at time.Time) {
	a.authority.mu.Lock()
	a.authority.keys.ConfirmStore(at)
	a.authority.mu.Unlock()
	a.state.setTrusted()
}

// storeAge returns for how long the document has not been known to be the store's newest.
func (a *Agent) storeAge() time.Duration {
	a.authority.mu.Lock()
	defer a.authority.mu.Unlock()
	return a.since(a.authority.keys.Store())
}

// never is an age in status messages of what has not happened.
const never = -1 * time.Nanosecond

// long is an age in decisions of what has not happened.
const long = 365 * 24 * time.Hour

func (a *Agent) since(at time.Time) time.Duration {
	if at.IsZero() {
		return long
	}
	return a.now().Sub(at)
}

// hearsPeers reports whether most peers answer.
func (a *Agent) hearsPeers() bool {
	return a.since(a.peers.contact()) < keys.AuthorityDuration
}

// keysFor returns how long keyed routes may be served from now on.
func (a *Agent) keysFor() time.Duration {
	a.authority.mu.Lock()
	defer a.authority.mu.Unlock()
	a.authority.keys.ConfirmPeers(a.peers.contact())
	return max(0, a.authority.keys.Until().Sub(a.now()))
}

// checkAuthority keeps the readiness of the agent in step with its authority until ctx ends.
func (a *Agent) checkAuthority(ctx context.Context) {
	for ctx.Err() == nil {
		a.updateReady()
		daemon.Sleep(ctx, authorityPeriod)
	}
}

func (a *Agent) updateReady() {
	remaining := a.keysFor()
	trusted := a.state.digest().Booted
	ready := trusted && remaining > 0 && !a.stopping.Load()
	a.admin.SetReady(ready)
	has := remaining > 0
	a.authority.mu.Lock()
	changed := has != a.authority.had
	a.authority.had = has
	a.authority.mu.Unlock()
	if !changed {
		return
	}
	kind := timeline.KindKeyAuthorityRestored
	if !has {
		kind = timeline.KindKeyAuthorityLost
	}
	a.events.Add(timeline.Event{Kind: kind})
	a.log.Info(string(kind), zap.Duration("store_age", a.storeAge()))
}

// learnDigest takes in what the answer to an exchange tells about a peer's
// configuration. sent is when the exchange began, so that a late answer cannot
// make the document look newer than it is.
func (a *Agent) learnDigest(sent time.Time, peer string, digest wire.ConfigDigest) {
	own := a.state.digest()
	if digest.StoreAge > 0 && own.Revision >= digest.Revision && own.Withdrawals == digest.Withdrawals && own.Revision > 0 {
		a.confirmStore(sent.Add(-time.Duration(digest.StoreAge) * time.Millisecond))
	}
	if !digest.Booted || own.Booted || own.Withdrawals != digest.Withdrawals {
		return // its withdrawals must be known too before this VM trusts what it has
	}
	if a.learnBoot(peer, digest.Revision) && a.hearsPeers() {
		a.state.setTrusted()
	}
}

// learnBoot remembers the revision of a peer while this VM boots, and reports
// whether its own is as new as those of enough peers.
func (a *Agent) learnBoot(peer string, revision uint64) bool {
	document, _ := a.state.held()
	known := len(a.peers.inService()) - 1
	a.authority.mu.Lock()
	defer a.authority.mu.Unlock()
	a.authority.booted[peer] = true
	a.authority.newest = max(a.authority.newest, revision)
	return document != nil && document.Revision >= a.authority.newest && len(a.authority.booted) >= min(bootPeers, known)
}
