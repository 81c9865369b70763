package timeline

import (
	"slices"
	"sync"
)

// Kind names a type of event.
type Kind string

// Event kinds.
const (
	KindStarted       Kind = "started"
	KindStopping      Kind = "stopping"
	KindConfigured    Kind = "configured"
	KindRefused       Kind = "refused"
	KindStoreLost     Kind = "store-lost"
	KindStoreBack     Kind = "store-back"
	KindMembers       Kind = "members"
	KindAnswerUnknown Kind = "answer-unknown"
)

// Event kinds of the shares of rate and burst.
const (
	KindSharesHeld      Kind = "shares-held"      // this VM holds another number of shares
	KindSharesLost      Kind = "shares-lost"      // a home knows that the shares are another VM's
	KindSharesReclaimed Kind = "shares-reclaimed" // shares of a VM that is gone were freed
)

// Event kinds of configuration, keys and shutdown.
const (
	KindConfigRejected Kind = "config-rejected"
	KindStoreBehind    Kind = "store-behind" // the store holds an older document than the VM
	KindKeyWithdrawn   Kind = "key-withdrawn"
	KindKeysRecorded   Kind = "withdrawals-recorded" // written to the store
	KindAuthorityLost  Kind = "key-authority-lost"
	KindAuthorityBack  Kind = "key-authority-back"
	KindHandedBack     Kind = "handed-back" // by the entry to its restarted agent
	KindStreamEnded    Kind = "stream-ended"
	KindStopped        Kind = "stopped"
	KindDrainWait      Kind = "drain-wait"
)

// Event is one entry of the time line. Empty fields do not apply.
type Event struct {
	At       Stamp  `json:"at"`
	VM       string `json:"vm"`
	Program  string `json:"program"`
	Kind     Kind   `json:"kind"`
	Account  string `json:"account,omitempty"`
	Server   string `json:"server,omitempty"`
	Request  string `json:"request,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// EventsPerKind is the number of events of one kind that a process keeps.
const EventsPerKind = 1024

// Ring keeps the newest events of each kind of one process, so that a flood of
// refusals displaces no ejection. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	clock   *Clock
	vm      string
	program string
	kinds   map[Kind]*kindRing
}

// kindRing keeps the newest events of one kind.
type kindRing struct {
	events []Event
	oldest int // once full
}

// NewRing returns an empty ring for the named process.
func NewRing(clock *Clock, vm, program string) *Ring {
	return &Ring{clock: clock, vm: vm, program: program, kinds: map[Kind]*kindRing{}}
}

// Clock returns the clock that stamps the events.
func (r *Ring) Clock() *Clock { return r.clock }

// Add stamps the event and keeps it, dropping the oldest one of its kind when full.
func (r *Ring) Add(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.At = r.clock.Now()
	event.VM, event.Program = r.vm, r.program
	kept := r.kinds[event.Kind]
	if kept == nil {
		kept = &kindRing{}
		r.kinds[event.Kind] = kept
	}
	kept.add(event)
}

func (k *kindRing) add(event Event) {
	if len(k.events) < EventsPerKind {
		k.events = append(k.events, event)
		return
	}
	k.events[k.oldest] = event
	k.oldest = (k.oldest + 1) % EventsPerKind
}

// Events returns a copy of the kept events, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := []Event{}
	for _, kept := range r.kinds {
		events = append(events, kept.events...)
	}
	slices.SortFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	return events
}
