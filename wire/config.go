package wire

import (
	"time"

	"lacewingmount.dev/config"
)

// Methods by which agents, entries and operators exchange the configuration.
const (
	// MethodDocument returns the agent's document without its chunks. It takes a
	// DocumentRequest and returns a config.Stored.
	MethodDocument = "agent.document"
	// MethodChunks returns chunks of the agent's document. It takes a ChunksRequest and
	// returns a ChunksAnswer.
	MethodChunks = "agent.chunks"
	// MethodWithdraw sends withdrawals to an agent and returns those that the agent
	// has. It takes and returns Withdrawals.
	MethodWithdraw = "agent.withdraw"
	// MethodReport is the entry's heartbeat. It takes an EntryReport and returns an
	// EntryReportAnswer.
	MethodReport = "agent.report"
	// MethodRestore sends a restarted agent the state that its entry still has. It
	// takes a RestoreRequest and returns a RestoreAnswer.
	MethodRestore = "agent.hand-back"
	// MethodStatus returns the state of one VM. It takes a StatusRequest and returns a
	// VMStatus.
	MethodStatus = "agent.status"
)

// ReportPeriod is the time between two heartbeats of an entry.
const ReportPeriod = 500 * time.Millisecond

// DocumentRequest requests the document.
type DocumentRequest struct{}

// ChunksRequest requests chunks by their hashes.
type ChunksRequest struct {
	Hashes []string `json:"hashes"`
}

// ChunksAnswer holds those of the requested chunks that the agent has.
type ChunksAnswer struct {
	Chunks map[string][]byte `json:"chunks"` // by hash
}

// Withdrawals are withdrawals of keys that the document may not contain yet.
type Withdrawals struct {
	Withdrawals []config.Withdrawal `json:"withdrawals"`
}

// EntryReport is the state of an entry.
type EntryReport struct {
	Admin       string `json:"admin"`    // address of the entry's admin endpoints
	Agent       uint64 `json:"agent"`    // incarnation of the agent that Sequence belongs to
	Sequence    uint64 `json:"sequence"` // of the snapshot that the entry applies
	Revision    uint64 `json:"revision"`
	ChangeID    string `json:"change_id"`
	InFlight    int    `json:"in_flight"` // requests
	Ready       bool   `json:"ready"`
	Stopping    bool   `json:"stopping,omitempty"`
	Stopped     bool   `json:"stopped,omitempty"` // the last report of this entry
	Withdrawals int    `json:"withdrawals"`       // number of those known in addition to the document's
}

// EntryReportAnswer is the state of the agent, and how long the entry may continue
// to serve keyed routes.
type EntryReportAnswer struct {
	Incarnation     uint64        `json:"incarnation"`
	Revision        uint64        `json:"revision"`
	Withdrawals     int           `json:"withdrawals"`
	KeyAuthorityTTL time.Duration `json:"keys_for"` // how long keyed routes may be served, from when the report was sent; nanoseconds
}

// RestoreRequest is the state that an agent lost in a restart and that its entry still has.
type RestoreRequest struct {
	Stored      *config.Stored      `json:"stored"`
	Withdrawals []config.Withdrawal `json:"withdrawals,omitempty"`
}

// RestoreAnswer acknowledges a RestoreRequest.
type RestoreAnswer struct{}

// StatusRequest may name a key by its hash, to find out whether it is refused.
type StatusRequest struct {
	Key config.Withdrawal `json:"key"`
}

// VMStatus is the state of one VM.
type VMStatus struct {
	VM              string        `json:"vm"`
	Incarnation     uint64        `json:"incarnation"`
	Admin           string        `json:"admin"` // address of the agent's admin endpoints
	Ready           bool          `json:"ready"`
	Members         int           `json:"members"` // VMs in service, in the view of this VM
	Revision        uint64        `json:"revision"`
	ChangeID        string        `json:"change_id"`
	Rejected        string        `json:"rejected,omitempty"` // why a newer document was not adopted
	StoreAge        time.Duration `json:"store_age"`          // since the document was last confirmed as the store's newest; negative for never
	PeersAge        time.Duration `json:"peers_age"`          // since most peers last answered; negative for never
	KeyAuthorityTTL time.Duration `json:"keys_for"`           // how long keyed routes may still be served
	Withdrawals     int           `json:"withdrawals"`        // number of those known in addition to the document's
	AgentRefuses    bool          `json:"agent_refuses"`      // the key of the request
	EntryRefuses    bool          `json:"entry_refuses"`
	Entry           *EntryReport  `json:"entry,omitempty"` // nil without a recent report
}

// ConfigDigest identifies the configuration that an agent has, in an Exchange.
type ConfigDigest struct {
	Revision    uint64 `json:"r,omitempty"`
	Withdrawals uint64 `json:"w,omitempty"` // hash of those that are not in the document
	Confirmed   bool   `json:"b,omitempty"` // the agent has confirmed that the revision is as new as any that it can find
	StoreAge    int64  `json:"a,omitempty"` // milliseconds since the document was last confirmed as the store's newest, plus 1; 0 for never
}
