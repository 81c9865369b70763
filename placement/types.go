package placement

import "time"

// AskID names one request for a slot: the VM that asks and its running number.
type AskID struct {
	VM  string
	Seq uint64
}

// Server is a backend server as it registered itself.
type Server struct {
	ID       string
	Zone     string
	Slots    int
	Draining bool
	Cold     time.Duration // how much longer it is slow after its start
	Born     int64         // start, Unix milliseconds; a change means a new process
}

// Ask is a request for a slot.
type Ask struct {
	ID       AskID
	Zone     string        // of the VM
	Account  string        // client account; "" if it has none
	Safe     bool          // may run again if its server fails
	Priority int           // 0 is the most important
	Left     time.Duration // after which nobody waits for the answer
	Target   time.Duration // after which the answer is late; may be negative
	Bytes    int           // of the request's body
	Tried    []string      // servers that must not get it again
	Retry    bool          // an earlier try reached a server, so this one draws on the budget
}

// Outcome is how a request ended at its server.
type Outcome int

// Outcomes of a request.
const (
	Answered    Outcome = iota // with anything but a failure of the server
	Failed                     // the server said that it failed
	Broken                     // no whole answer, after the request was sent
	Silent                     // no answer in time
	Shed                       // the server ran nothing because it is full
	Misdirected                // another server has the address
	Unreachable                // no connection; nothing was sent
	Unused                     // the grant was given back, or the caller left
	Unadmitted                 // refused before it asked for a slot
)

var outcomeNames = [...]string{"answered", "failed", "broken", "silent", "shed", "misdirected", "unreachable", "unused", "unadmitted"}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Verdict is what a Broker decided about an Ask.
type Verdict int

// Verdicts on an Ask.
const (
	Granted Verdict = iota
	Queued
	Refused
)

// Decision is a Broker's answer to an Ask; a queued Ask gets a second one.
type Decision struct {
	ID         AskID
	Verdict    Verdict
	Server     string        // granted: where the request runs
	RetryAfter time.Duration // refused: when the caller may come back
	Reason     string        // refused: the cause, for the log
	Waited     time.Duration // in the queue
	Queue      int           // length of the queue at the decision
	Failing    float64       // granted: probability that the server is failing
}

// Running is a request that a VM says is in flight.
type Running struct {
	Seq    uint64
	Server string
	Age    time.Duration
}

// Change is a change of what a Broker believes of a server, for the log.
type Change struct {
	Server  string
	Avoided time.Duration // from now on; not positive if the server is taken back
	Outcome Outcome       // of the request that decided
	Took    time.Duration // by that request
	Spells  int           // in a row
}

// Policy is what the operators have set for a service.
type Policy struct {
	Retries    Budget
	MinServers float64 // part of the servers that stays in use while many requests are not served
}
