package entry

import "time"

// End says how an attempt at a backend server ended.
type End string

// Ends of attempts.
const (
	EndAnswered     End = "answered"
	EndShed         End = "shed"          // the server said that it did not run the request
	EndTimedOut     End = "timed-out"     // no whole answer before the deadline
	EndCancelled    End = "cancelled"     // the caller went away, or a hedge was not needed
	EndNotConnected End = "not-connected" // no connection, nothing sent
	EndBroken       End = "broken"        // the connection broke after the request was sent
)

// Observation is what an attempt tells about its backend server.
type Observation struct {
	End      End
	Status   int // of an answer, 0 otherwise
	Took     time.Duration
	Reused   bool // over a connection that had served before; a time-out may be the connection's fault
	Draining bool // the server said that it leaves
}

// Picker chooses backend servers and learns from every attempt.
type Picker interface {
	// Pick returns a server of the exchange's service that was not tried yet, or nil.
	Pick(exchange *Exchange, tried map[*Server]bool) *Server
	// Report says how an attempt ended.
	Report(exchange *Exchange, server *Server, observed Observation)
}
