package wire

// Methods of the exchange about backend servers.
const (
	// MethodHealth passes an entry's report to the home of its service; HealthReport to HealthVerdict.
	MethodHealth = "agent.health"
	// MethodJudge gives a report to the home itself; HealthReport to HealthVerdict.
	MethodJudge = "agent.judge"
)

// HealthReport is what one VM's requests met at the servers of one service.
// All counts are totals since the entry started, so a report that is lost,
// late, doubled or overtaken changes nothing that the next one does not mend.
type HealthReport struct {
	Service     string         `json:"service"`
	VM          string         `json:"vm"`
	Zone        string         `json:"zone"`
	Incarnation int64          `json:"inc"` // start of the entry, nanoseconds since the Unix epoch
	Sequence    uint64         `json:"seq"` // rises with each report of the incarnation
	List        uint32         `json:"list"`
	Full        bool           `json:"full,omitempty"` // names every server that has a count
	Servers     []ServerReport `json:"srv,omitempty"`  // that changed since the last report the home answered
}

// ServerReport is the part of a HealthReport about one server.
type ServerReport struct {
	Index    int           `json:"i"` // in the list that HealthReport.List identifies
	Answered []BucketCount `json:"a,omitempty"`
	Pending  []BucketCount `json:"p,omitempty"`
	Doubtful []BucketCount `json:"o,omitempty"`
	Failed   uint32        `json:"f,omitempty"`
	Shed     uint32        `json:"s,omitempty"`
	Draining bool          `json:"d,omitempty"` // the server says that it leaves
	Ejected  int64         `json:"e,omitempty"` // milliseconds left of an ejection by an earlier home
	Returns  int           `json:"r,omitempty"` // ejections in a row, as that home counted them
}

// BucketCount is a latency bucket and its count.
type BucketCount [2]uint32

// HealthVerdict is the home's answer: all that entries need to know about the
// servers of the service. It replaces the previous one whole.
type HealthVerdict struct {
	Home    string          `json:"home"`
	Started int64           `json:"started"` // start of the judge, nanoseconds since the Unix epoch
	Version uint64          `json:"version"` // rises with each verdict of one start
	List    uint32          `json:"list"`
	Resync  bool            `json:"resync,omitempty"` // the next report must be full
	Stall   int             `json:"stall,omitempty"`  // latency bucket from which an unanswered request counts as stalled
	Servers []ServerVerdict `json:"srv,omitempty"`    // those that are not plainly in service
}

// ServerState says how a server takes part in serving.
type ServerState string

// Server states.
const (
	StateInService ServerState = ""
	StateEjected   ServerState = "ejected"
	StateProbation ServerState = "probation"  // a few idempotent requests only
	StateSlowStart ServerState = "slow-start" // rising share of requests
)

// Removed reports whether the server is taken out of service for callers at large.
func (s ServerState) Removed() bool { return s == StateEjected || s == StateProbation }

// ServerVerdict is the home's verdict on one server.
type ServerVerdict struct {
	Index    int         `json:"i"`
	State    ServerState `json:"st,omitempty"`
	Draining bool        `json:"d,omitempty"`
	Suspect  bool        `json:"su,omitempty"` // protected requests go elsewhere
	Shedding bool        `json:"sh,omitempty"` // refuses most requests at present
	Severity float64     `json:"sv,omitempty"` // score over threshold; the worst are ejected first
	Weight   float64     `json:"w,omitempty"`  // share of a full server's requests in slow start
	Left     int64       `json:"l,omitempty"`  // milliseconds until an ejection ends
	Returns  int         `json:"r,omitempty"`  // ejections in a row
	Avoid    []string    `json:"z,omitempty"`  // zones whose VMs cannot reach the server
}
