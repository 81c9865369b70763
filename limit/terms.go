package limit

import "time"

// Terms are the spans that all VMs of a fleet must agree on.
type Terms struct {
	// Lend is how long a home may use a right after the stamp that the lender returned.
	Lend time.Duration `json:"l"`
	// Life is the longest time that a token may be spent after the cache asked for it.
	Life time.Duration `json:"e"`
}

// DefaultTerms are the terms of a fleet within one region.
var DefaultTerms = Terms{Lend: 1800 * time.Millisecond, Life: 400 * time.Millisecond}

const (
	// ConfirmFor is how long a VM may use its shares after it last heard from
	// the store or a peer.
	ConfirmFor = 30 * time.Second
	// DefaultReclaimAfter is how long a VM must have been gone before its shares are freed.
	DefaultReclaimAfter = 10 * time.Minute

	clockMarginDivisor = 20 // the giving side counts a twentieth longer
)

func withMargin(d time.Duration) time.Duration { return d + d/clockMarginDivisor }

// RestartDelay is how long a restarted VM leaves its predecessor's shares alone.
func (t Terms) RestartDelay() time.Duration { return withMargin(t.Lend + t.Life) }

// promptLife is the life of tokens for requests that wait. They are spent as soon
// as they arrive, and the shorter they count as outstanding the sooner the bucket
// fills again.
const shortTokenTTL = 100 * time.Millisecond

// shortTTL returns promptLife, or Life if that is shorter.
func (t Terms) shortTTL() time.Duration { return min(shortTokenTTL, t.Life) }

// lenderHold is how long a lender counts a right as lenderHold after it prepared the message.
func (t Terms) lenderHold() time.Duration { return withMargin(t.Lend + t.Life) }

// holdAfterRelease is how long a lender waits after the home confirmed that it dropped the right.
func (t Terms) holdAfterRelease() time.Duration { return withMargin(t.Life) }
