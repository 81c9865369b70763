package wire

import "lacewingmount.dev/config"

// Methods that an agent answers.
const (
	// MethodSnapshot waits for a newer snapshot; SnapshotRequest to Snapshot.
	MethodSnapshot = "agent.snapshot"
	// MethodClaim claims a protected request; ClaimRequest to ClaimAnswer.
	MethodClaim = "agent.claim"
	// MethodSettle records the end of a claimed request; SettleRequest to SettleAnswer.
	MethodSettle = "agent.settle"
)

// SnapshotRequest names the snapshot that the entry already has.
type SnapshotRequest struct {
	Incarnation uint64 `json:"incarnation"` // of the agent that gave it
	Have        uint64 `json:"have"`        // Snapshot.Sequence, 0 for none
}

// Snapshot is what an entry needs to serve; it replaces the previous one whole.
type Snapshot struct {
	Incarnation uint64              `json:"incarnation"`           // of the agent
	Sequence    uint64              `json:"sequence"`              // rises with each change within one incarnation
	Members     int                 `json:"members"`               // VMs in service; 0 if not known yet
	Stored      *config.Stored      `json:"stored"`                // nil until the agent trusts its configuration to be new enough
	Withdrawals []config.Withdrawal `json:"withdrawals,omitempty"` // besides the document's own
	Document    *config.Document    `json:"-"`                     // decoded from Stored
}

// ClaimRequest asks for the right to send a protected request once.
type ClaimRequest struct {
	Account string `json:"account"`
	Route   string `json:"route"`
	Key     string `json:"key"`    // the caller's Idempotency-Key
	Digest  string `json:"digest"` // of the method, path and body
}

// ClaimState says what is known about a protected request.
type ClaimState string

// Claim states.
const (
	ClaimGranted  ClaimState = "granted"  // the caller may send it, once
	ClaimPending  ClaimState = "pending"  // claimed before, end not known
	ClaimAnswered ClaimState = "answered" // answered before
	ClaimMismatch ClaimState = "mismatch" // the same key came with another request
)

// KeptAnswer is an answer that is replayed to duplicates.
type KeptAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// ClaimAnswer says whether the request may be sent.
type ClaimAnswer struct {
	State ClaimState  `json:"state"`
	Kept  *KeptAnswer `json:"kept,omitempty"`
}

// SettleRequest records how a claimed request ended.
type SettleRequest struct {
	Claim  ClaimRequest `json:"claim"`
	NotRun bool         `json:"not_run,omitempty"` // the claim may be granted again
	Kept   *KeptAnswer  `json:"kept,omitempty"`
}

// SettleAnswer acknowledges a SettleRequest.
type SettleAnswer struct{}
