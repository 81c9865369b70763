package entry

import "time"

// Result is the way in which an attempt at a backend server ended.
type Result string

// Results of attempts.
const (
	ResultAnswered     Result = "answered"      // a response with any status
	ResultShed         Result = "shed"          // the server rejected the request without running it
	ResultTimedOut     Result = "timed-out"     // no complete response before the deadline, or no progress
	ResultCancelled    Result = "cancelled"     // by the caller or by the entry, for example because another attempt completed first
	ResultNotConnected Result = "not-connected" // no connection was established; nothing was sent
	ResultBroken       Result = "broken"        // the established connection failed or the response was invalid
)

// Observation describes a finished attempt for the detection of failing servers.
type Observation struct {
	Result     Result
	Status     int           // HTTP status if Result is ResultAnswered, otherwise 0
	Elapsed    time.Duration // from the start of the attempt to its end or the start of a streamed body
	ReusedConn bool          // the connection had served an earlier request; a timeout may be due to the connection
	Draining   bool          // the response announced that the server is draining
}

// Picker selects backend servers based on the results of earlier attempts.
type Picker interface {
	// Pick returns a server of the exchange's service that is not in tried, or nil if no
	// server is available.
	Pick(exchange *Exchange, tried map[*Server]bool) *Server
	// Report records the result of an attempt at the server.
	Report(exchange *Exchange, server *Server, observed Observation)
}
