package membership

import "time"

// Timing and size limits of the exchanges.
const (
	// ExchangeInterval is the time between two rounds of exchanges.
	ExchangeInterval = 500 * time.Millisecond
	// ExchangeTimeout is the time within which a peer must answer.
	ExchangeTimeout = 400 * time.Millisecond
	// SuspicionTimeout is the time within which a suspected VM must refute the suspicion.
	SuspicionTimeout = 3 * time.Second
	// Fanout is the number of peers that a View contacts in one round.
	Fanout = 3
	// MaxUpdates is the maximum number of updates in one message.
	MaxUpdates = 16
	// maxSyncUpdates is the maximum number of updates in the answer to a VM that has just started.
	maxSyncUpdates = 64
)

// State is the state that an Update reports for a VM.
type State uint8

// States in ascending precedence: at equal incarnation and refutation the higher one applies.
const (
	Alive State = iota
	Suspected
	Left // the VM announced that it stops
)

// Update reports the state of one VM. Of two updates about a VM the one with the
// higher incarnation applies, then the higher refutation, then the higher state.
type Update struct {
	Name        string `json:"n"`
	Zone        string `json:"z,omitempty"`
	Address     string `json:"a,omitempty"`
	Incarnation uint64 `json:"i,omitempty"`
	Refutation  uint32 `json:"r,omitempty"`
	State       State  `json:"s,omitempty"`
	Leaving     bool   `json:"l,omitempty"`
}

// supersedes reports whether u replaces other.
func (u Update) supersedes(other Update) bool {
	if u.Incarnation != other.Incarnation {
		return u.Incarnation > other.Incarnation
	}
	if u.Refutation != other.Refutation {
		return u.Refutation > other.Refutation
	}
	return u.State > other.State
}

func (u Update) member() Member {
	return Member{Name: u.Name, Zone: u.Zone, Address: u.Address, Incarnation: u.Incarnation, Leaving: u.Leaving}
}

// Message is the request or the response of an exchange.
type Message struct {
	From    Update   `json:"f"`
	Updates []Update `json:"u,omitempty"`
	Sync    bool     `json:"y,omitempty"` // requests all suspicions because the sender has just started
}

// Probe is an exchange for the caller to perform: send Message to To and pass the
// result to View.Answered or View.Missed.
type Probe struct {
	To      Member
	Message Message
	sent    time.Time
}
