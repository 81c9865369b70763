package timeline

import (
	"slices"
	"sync"
)

// Kind names a type of event.
type Kind string

// Event kinds of processes, the store and members.
const (
	KindStarted          Kind = "started"
	KindStopping         Kind = "stopping"
	KindConfigured       Kind = "configured" // a newer configuration is in use
	KindRefused          Kind = "refused"    // a caller's request was refused
	KindStoreUnreachable Kind = "store-lost" // the store cannot be reached
	KindStoreReachable   Kind = "store-back" // the store can be reached again
	KindMembersChanged   Kind = "members"    // the list of members changed
	KindAnswerUnknown    Kind = "answer-unknown"
)

// Event kinds of the shares of a client account's rate and burst.
const (
	KindSharesChanged   Kind = "shares-held"      // the number of shares that this VM holds changed
	KindSharesLost      Kind = "shares-lost"      // the owner of a client account replied that this VM no longer holds its shares
	KindSharesReclaimed Kind = "shares-reclaimed" // the shares of an absent VM were released
)

// Event kinds of configuration, keys and shutdown.
const (
	KindConfigRejected       Kind = "config-rejected"      // a received document is invalid or not properly signed
	KindStoreOutdated        Kind = "store-behind"         // the document in the store is older than the one that the VM uses
	KindKeyWithdrawn         Kind = "key-withdrawn"        // this VM received the withdrawal of a key
	KindWithdrawalsRecorded  Kind = "withdrawals-recorded" // withdrawals of keys were written to the store
	KindKeyAuthorityLost     Kind = "key-authority-lost"   // the VM cannot check whether keys were withdrawn, and refuses all keys
	KindKeyAuthorityRestored Kind = "key-authority-back"   // the VM accepts keys again
	KindConfigRestored       Kind = "handed-back"          // the entry restored the configuration of its restarted agent
	KindStreamEnded          Kind = "stream-ended"         // a request in flight was ended because its key was withdrawn
	KindStopped              Kind = "stopped"
	KindDrainWait            Kind = "drain-wait" // the entry accepts no new connections and waits for those in use
)

// Event is one entry of the timeline. Fields that do not apply are empty.
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

// EventsPerKind is the maximum number of events of one kind that a process keeps.
const EventsPerKind = 1024

// Ring keeps the newest events of one process, each kind in a ring buffer of its own,
// so that many refusals do not displace an ejection. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	clock   *Clock
	vm      string
	program string
	kinds   map[Kind]*kindRing
}

// kindRing is a ring buffer with the newest events of one kind.
type kindRing struct {
	events []Event
	oldest int // index of the oldest event once the buffer is full
}

// NewRing returns an empty ring for the process with that VM and program name.
func NewRing(clock *Clock, vm, program string) *Ring {
	return &Ring{clock: clock, vm: vm, program: program, kinds: map[Kind]*kindRing{}}
}

// Clock returns the clock that stamps the events.
func (r *Ring) Clock() *Clock { return r.clock }

// Add stamps the event, sets its VM and program, and keeps it. If there are already
// EventsPerKind events of its kind, it drops the oldest of them.
func (r *Ring) Add(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.At = r.clock.Now()
	event.VM, event.Program = r.vm, r.program
	ring := r.kinds[event.Kind]
	if ring == nil {
		ring = &kindRing{}
		r.kinds[event.Kind] = ring
	}
	ring.add(event)
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
	for _, ring := range r.kinds {
		events = append(events, ring.events...)
	}
	slices.SortFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	return events
}
