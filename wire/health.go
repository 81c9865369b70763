package wire

// Methods for reports on backend servers.
const (
	// MethodHealth sends an entry's report to its own agent, which forwards it to the
	// owner of the service. It takes a HealthReport and returns a HealthVerdict.
	MethodHealth = "agent.health"
	// MethodOwnerHealth sends a report to the owner of the service. It takes a HealthReport
	// and returns a HealthVerdict.
	MethodOwnerHealth = "agent.judge"
)

// HealthReport holds the outcomes of one VM's requests to the servers of one
// service. All counts are totals since the entry started, so the next report
// corrects the effect of one that is lost, late, duplicated or out of order.
type HealthReport struct {
	Service     string         `json:"service"`
	VM          string         `json:"vm"`
	Zone        string         `json:"zone"`
	Incarnation int64          `json:"inc"`            // start of the entry, nanoseconds since the Unix epoch
	Sequence    uint64         `json:"seq"`            // increases with each report of the incarnation
	ListID      uint32         `json:"list"`           // hash of the server list that the indexes refer to
	Full        bool           `json:"full,omitempty"` // contains every server with a count
	Servers     []ServerReport `json:"srv,omitempty"`  // those that changed since the last report that the owner answered
}

// ServerReport is the part of a HealthReport about one server.
type ServerReport struct {
	Index                int           `json:"i"`           // in the server list that HealthReport.ListID identifies
	Answered             []BucketCount `json:"a,omitempty"` // complete responses, by latency
	Pending              []BucketCount `json:"p,omitempty"` // no response after at least this time
	Doubtful             []BucketCount `json:"o,omitempty"` // as Pending, but possibly due to a dead reused connection
	Failed               uint32        `json:"f,omitempty"` // complete responses with a server error
	Shed                 uint32        `json:"s,omitempty"` // rejected by the server without running them
	Draining             bool          `json:"d,omitempty"` // a response carried the drain flag
	PreviousEjectionLeft int64         `json:"e,omitempty"` // milliseconds left of an ejection by the previous owner
	ConsecutiveEjections int           `json:"r,omitempty"` // as the previous owner counted them
}

// BucketCount is the index of a latency bucket and its count.
type BucketCount [2]uint32

// HealthVerdict is the owner's answer: the state of the servers of the service. It
// replaces the previous verdict completely.
type HealthVerdict struct {
	Owner       string          `json:"home"`             // owner of the service, which made the verdict
	Started     int64           `json:"started"`          // start of the owner's detector, nanoseconds since the Unix epoch
	Version     uint64          `json:"version"`          // increases with each verdict of one start
	ListID      uint32          `json:"list"`             // hash of the server list that the indexes refer to
	Resync      bool            `json:"resync,omitempty"` // the next report must be full
	StallBucket int             `json:"stall,omitempty"`  // latency bucket from which an unanswered request counts as stalled
	Servers     []ServerVerdict `json:"srv,omitempty"`    // those that are not fully in service
}

// ServerState says to what extent a server gets requests.
type ServerState string

// Server states.
const (
	StateInService ServerState = ""
	StateEjected   ServerState = "ejected"
	StateProbation ServerState = "probation"  // a few idempotent requests only
	StateSlowStart ServerState = "slow-start" // an increasing share of requests
)

// Removed reports whether the server gets no requests, or only the few of a
// server in probation.
func (s ServerState) Removed() bool { return s == StateEjected || s == StateProbation }

// ServerVerdict is the owner's verdict on one server.
type ServerVerdict struct {
	Index                int         `json:"i"`
	State                ServerState `json:"st,omitempty"`
	Draining             bool        `json:"d,omitempty"`
	Suspect              bool        `json:"su,omitempty"` // gets no protected requests
	Shedding             bool        `json:"sh,omitempty"` // currently rejects most requests
	Severity             float64     `json:"sv,omitempty"` // score relative to the threshold; servers with the highest are ejected first
	Weight               float64     `json:"w,omitempty"`  // share of a full server's requests in slow start
	EjectionLeft         int64       `json:"l,omitempty"`  // milliseconds until an ejection ends
	ConsecutiveEjections int         `json:"r,omitempty"`
	AvoidingZones        []string    `json:"z,omitempty"` // availability zones whose VMs cannot reach the server
}
