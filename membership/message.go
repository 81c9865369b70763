package membership

import "time"

// Timing of the exchanges.
const (
	// Period is the time between two rounds of exchanges.
	Period = 500 * time.Millisecond
	// ExchangeTimeout is how long a peer has to answer.
	ExchangeTimeout = 400 * time.Millisecond
	// SuspicionTimeout is how long a suspected VM has to deny it.
	SuspicionTimeout = 3 * time.Second
	// Targets is the number of peers of one round.
	Targets = 3
	// MaxUpdates bounds the updates in one message.
	MaxUpdates = 16
	// maxSyncUpdates bounds the updates in the answer to a VM that has just started.
	maxSyncUpdates = 64
)

// State is what is said of a VM.
type State uint8

// States, in the order in which they overrule each other.
const (
	Alive State = iota
	Suspected
	Left // the VM said that it stops
)

// Update is one statement about a VM. Of two statements the one with the higher
// incarnation counts, then the higher refutation, then the higher state.
type Update struct {
	Name        string `json:"n"`
	Zone        string `json:"z,omitempty"`
	Address     string `json:"a,omitempty"`
	Incarnation uint64 `json:"i,omitempty"`
	Refutation  uint32 `json:"r,omitempty"`
	State       State  `json:"s,omitempty"`
	Leaving     bool   `json:"l,omitempty"`
}

// overrules reports whether u counts and other does not.
func (u Update) overrules(other Update) bool {
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

// Message is one half of an exchange.
type Message struct {
	From    Update   `json:"f"`
	Updates []Update `json:"u,omitempty"`
	Sync    bool     `json:"y,omitempty"` // asks for all suspicions: the sender has just started
}

// Probe is an exchange to perform: send Message to To and report what came back.
type Probe struct {
	To      Member
	Message Message
	sent    time.Time
}
