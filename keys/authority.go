package keys

import "time"

// AuthorityDuration is how long a VM may serve routes that need a key after the last
// instant at which it was certain to learn of withdrawn keys.
const AuthorityDuration = 4 * time.Second

// Authority decides until when a VM may serve routes that need a key. A VM that can
// reach neither the store nor most of its peers cannot learn of a withdrawn key, so its
// authority expires. The zero value has no authority. It is not safe for concurrent use.
type Authority struct {
	store time.Time // latest instant at which the VM had the store's newest document
	peers time.Time // latest instant at which most peers answered
}

// ConfirmStore records that the VM had the store's newest document at the given instant.
func (a *Authority) ConfirmStore(at time.Time) { a.store = later(a.store, at) }

// ConfirmPeers records that most peers answered at the given instant.
func (a *Authority) ConfirmPeers(at time.Time) { a.peers = later(a.peers, at) }

// Until returns when the authority expires, or the zero time if there never was one.
func (a *Authority) Until() time.Time {
	latest := later(a.store, a.peers)
	if latest.IsZero() {
		return latest
	}
	return latest.Add(AuthorityDuration)
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
