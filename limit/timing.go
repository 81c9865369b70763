package limit

import "time"

// Timing holds the durations that all VMs of a fleet must agree on.
type Timing struct {
	// Lease is how long an owner may use a lease after the timestamp that the lender returned.
	Lease time.Duration `json:"l"`
	// TokenTTL is the longest time that a token may be spent after the cache requested it.
	TokenTTL time.Duration `json:"e"`
}

// DefaultTiming is the timing of a fleet within one region.
var DefaultTiming = Timing{Lease: 1800 * time.Millisecond, TokenTTL: 400 * time.Millisecond}

const (
	// ConfirmationTTL is how long a VM may use its shares after it last had contact
	// with the store or a peer.
	ConfirmationTTL = 30 * time.Second
	// DefaultReclaimAfter is how long a VM must have been gone before its shares are freed.
	DefaultReclaimAfter = 10 * time.Minute

	clockMarginDivisor = 20 // the side that gives waits 1/20 longer
)

func withMargin(d time.Duration) time.Duration { return d + d/clockMarginDivisor }

// RestartDelay is how long a restarted VM must not lease the shares of its earlier incarnation.
func (t Timing) RestartDelay() time.Duration { return withMargin(t.Lease + t.TokenTTL) }

// shortTokenTTL is the lifetime of tokens for requests that wait. They are spent as
// soon as they arrive, and the sooner they stop counting as outstanding the sooner the
// bucket fills again.
const shortTokenTTL = 100 * time.Millisecond

// shortTTL returns shortTokenTTL, or TokenTTL if that is shorter.
func (t Timing) shortTTL() time.Duration { return min(shortTokenTTL, t.TokenTTL) }

// lenderHold is how long a lender counts shares as leased after it prepared the message.
func (t Timing) lenderHold() time.Duration { return withMargin(t.Lease + t.TokenTTL) }

// holdAfterRelease is how long a lender waits after the owner confirmed that it dropped the lease.
func (t Timing) holdAfterRelease() time.Duration { return withMargin(t.TokenTTL) }
