package wire

import (
	"time"

	"lacewingmount.dev/config"
)

// Methods by which agents, entries and operators pass on the configuration.
const (
	// MethodDocument returns the agent's document without its chunks; DocumentRequest to config.Stored.
	MethodDocument = "agent.document"
	// MethodChunks returns chunks of the agent's document; ChunksRequest to ChunksAnswer.
	MethodChunks = "agent.chunks"
	// MethodWithdraw tells an agent of withdrawals and returns those that it knows;
	// Withdrawals to Withdrawals.
	MethodWithdraw = "agent.withdraw"
	// MethodReport is the entry's heartbeat; EntryReport to EntryReportAnswer.
	MethodReport = "agent.report"
	// MethodHandBack returns to a restarted agent what its entry still knows; HandBack to HandBackAnswer.
	MethodHandBack = "agent.hand-back"
	// MethodStatus shows the state of one VM; StatusRequest to VMStatus.
	MethodStatus = "agent.status"
)

// ReportPeriod is the time between two heartbeats of an entry.
const ReportPeriod = 500 * time.Millisecond

// DocumentRequest asks for the document.
type DocumentRequest struct{}

// ChunksRequest names chunks by their hash.
type ChunksRequest struct {
	Hashes []string `json:"hashes"`
}

// ChunksAnswer holds the chunks that the agent has.
type ChunksAnswer struct {
	Chunks map[string][]byte `json:"chunks"`
}

// Withdrawals are withdrawn keys that may not be part of the document yet.
type Withdrawals struct {
	Withdrawals []config.Withdrawal `json:"withdrawals"`
}

// EntryReport says what an entry has in force.
type EntryReport struct {
	Admin       string `json:"admin"`    // address of the entry's admin endpoints
	Agent       uint64 `json:"agent"`    // incarnation of the agent that Sequence belongs to
	Sequence    uint64 `json:"sequence"` // of the snapshot in force
	Revision    uint64 `json:"revision"`
	ChangeID    string `json:"change_id"`
	InFlight    int    `json:"in_flight"` // requests
	Ready       bool   `json:"ready"`
	Stopping    bool   `json:"stopping,omitempty"`
	Stopped     bool   `json:"stopped,omitempty"` // the last report of this entry
	Withdrawals int    `json:"withdrawals"`       // known besides the document
}

// EntryReportAnswer says what the agent has, and how long the entry may go on.
type EntryReportAnswer struct {
	Incarnation uint64        `json:"incarnation"`
	Revision    uint64        `json:"revision"`
	Withdrawals int           `json:"withdrawals"`
	KeysFor     time.Duration `json:"keys_for"` // keyed routes may be served so long from sending the report on, nanoseconds
}

// HandBack is what an entry knows and its agent lost with its restart.
type HandBack struct {
	Stored      *config.Stored      `json:"stored"`
	Withdrawals []config.Withdrawal `json:"withdrawals,omitempty"`
}

// HandBackAnswer acknowledges a HandBack.
type HandBackAnswer struct{}

// StatusRequest may name a key by its hash, to learn whether it is refused.
type StatusRequest struct {
	Key config.Withdrawal `json:"key"`
}

// VMStatus is the state of one VM.
type VMStatus struct {
	VM           string        `json:"vm"`
	Incarnation  uint64        `json:"incarnation"`
	Admin        string        `json:"admin"` // address of the agent's admin endpoints
	Ready        bool          `json:"ready"`
	Members      int           `json:"members"` // VMs in service in this VM's view
	Revision     uint64        `json:"revision"`
	ChangeID     string        `json:"change_id"`
	Rejected     string        `json:"rejected,omitempty"` // why a newer document was not adopted
	StoreAge     time.Duration `json:"store_age"`          // since the document was last known to be the store's newest; negative for never
	PeersAge     time.Duration `json:"peers_age"`          // since most peers were last known to answer; negative for never
	KeysFor      time.Duration `json:"keys_for"`           // how long keyed routes may still be served
	Withdrawals  int           `json:"withdrawals"`        // known besides the document
	AgentRefuses bool          `json:"agent_refuses"`      // the key of the request
	EntryRefuses bool          `json:"entry_refuses"`
	Entry        *EntryReport  `json:"entry,omitempty"` // nil if none was heard lately
}

// ConfigDigest says in an exchange which configuration an agent has.
type ConfigDigest struct {
	Revision    uint64 `json:"r,omitempty"`
	Withdrawals uint64 `json:"w,omitempty"` // hash of those besides the document
	Booted      bool   `json:"b,omitempty"` // the revision is as new as any that it could learn of
	StoreAge    int64  `json:"a,omitempty"` // milliseconds since the document was known to be the store's newest, plus 1; 0 for never
}
