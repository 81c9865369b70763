package keys

import "time"

// AuthorityTerm is how long a VM may serve keyed routes after it last knew that
// it would have learnt of a withdrawal.
const AuthorityTerm = 4 * time.Second

// Authority decides whether a VM may serve routes that need a key. A VM that
// hears neither the store nor most of its peers cannot learn of a withdrawn key,
// so its authority ends. The zero value has none. It is not safe for concurrent use.
type Authority struct {
	store time.Time // latest instant at which the document was known to be the store's newest
	peers time.Time // latest instant at which most peers were known to answer
}

// ConfirmStore says that at the instant the VM had the store's newest document.
func (a *Authority) ConfirmStore(at time.Time) { a.store = later(a.store, at) }

// ConfirmPeers says that at the instant most peers answered.
func (a *Authority) ConfirmPeers(at time.Time) { a.peers = later(a.peers, at) }

// Until returns when the authority ends; the zero time if there was none.
func (a *Authority) Until() time.Time {
	latest := later(a.store, a.peers)
	if latest.IsZero() {
		return latest
	}
	return latest.Add(AuthorityTerm)
}

// Store returns the latest instant given to ConfirmStore.
func (a *Authority) Store() time.Time { return a.store }

// Peers returns the latest instant given to ConfirmPeers.
func (a *Authority) Peers() time.Time { return a.peers }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
