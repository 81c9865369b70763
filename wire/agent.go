package wire

import "lacewingmount.dev/config"

// Methods that an agent answers.
const (
	// MethodSnapshot waits for a newer snapshot; SnapshotRequest to Snapshot.
	MethodSnapshot = "agent.snapshot"
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
