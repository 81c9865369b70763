package placement

import "time"

// RequestID identifies a request for a slot by the requesting VM and its sequence
// number.
type RequestID struct {
	VM  string
	Seq uint64
}

// Server is the registration of a backend server.
type Server struct {
	ID        string
	Zone      string
	Slots     int
	Draining  bool
	Evacuated bool          // the operators evacuate its zone: it gets no requests
	Cold      time.Duration // time left in which it is slow after its start
	ColdUntil time.Time     // expected end of its cold time, if its record says that it is cold; else zero
	Born      int64         // start time, Unix milliseconds; a change means a new process
}

// Request is a request for a slot.
type Request struct {
	ID        RequestID
	Zone      string        // availability zone of the VM
	Account   string        // client account; "" if it has none
	Safe      bool          // may be repeated if its server fails
	Priority  int           // first part of the Rank: of the account, or of the route if the account has none
	RouteRank int           // second part of the Rank: of the route
	Left      time.Duration // time left until the caller stops waiting for the answer
	Target    time.Duration // time left until the answer exceeds the target latency; may be negative
	Bytes     int           // size of the request body
	Tried     []string      // IDs of servers that must not get it again
	Only      []string      // if not empty, IDs of the only servers that may get it
	Retry     bool          // an earlier attempt reached a server, so this one counts against the retry budget
}

// After returns the request as it is when the given time has passed.
func (r Request) After(elapsed time.Duration) Request {
	r.Left -= elapsed
	r.Target -= elapsed
	return r
}

// Outcome is the result of a request at its server.
type Outcome int

// Outcomes of a request.
const (
	Answered    Outcome = iota // with any answer other than a server failure
	Failed                     // the server reported a failure of its own
	Broken                     // the request was sent, but the answer was incomplete
	Silent                     // no answer before the deadline
	Shed                       // the server was full and did not run the request
	Misdirected                // another server has taken over the address
	Unreachable                // the connection failed; nothing was sent
	Unused                     // the grant was returned unused, or the caller left
	Unadmitted                 // refused before a slot was requested
)

var outcomeNames = [...]string{"answered", "failed", "broken", "silent", "shed", "misdirected", "unreachable", "unused", "unadmitted"}

// String returns the outcome's name as used in logs and metrics.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Verdict is the kind of a Broker's decision about a Request.
type Verdict int

// Verdicts about a Request.
const (
	Granted Verdict = iota
	Queued
	Refused
)

// Decision is a Broker's decision about a Request. A Request that is queued gets
// another Decision when it leaves the queue.
type Decision struct {
	ID         RequestID
	Verdict    Verdict
	Server     string        // granted: ID of the server that runs the request
	RetryAfter time.Duration // refused: time after which the caller may try again
	Reason     string        // refused: the reason, for the log
	Waited     time.Duration // time spent in the queue
	Queue      int           // length of the queue at the decision
	Failing    float64       // granted: probability that the server is failing
	Limit      float64       // granted: requests per second that the server accepts; 0 if it names no limit
	AtLimit    int           // servers that could not get the request because they had reached their limits
}

// Running is a request that a VM reports as in flight.
type Running struct {
	Seq    uint64
	Server string
	Age    time.Duration
}

// AvoidanceChange records that a Broker starts, extends or ends the avoidance of a
// server, for the log.
type AvoidanceChange struct {
	Server         string
	Avoided        time.Duration // time from now on; zero or negative if the server is used again
	Outcome        Outcome       // outcome of the request that caused the change
	Took           time.Duration // duration of that request
	FailurePeriods int           // consecutive failure periods of the server
}

// Policy holds the operators' settings for a service.
type Policy struct {
	Retries    RetryBudget // limit of the retries of the service's requests
	MinServers float64     // share of the servers that must stay in use, 0 to 1, even while many requests are not served
}
