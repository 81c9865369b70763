package wire

import "lacewingmount.dev/config"

// Methods by which an entry follows its agent's configuration.
const (
	// MethodSnapshot waits for a newer snapshot. It takes a SnapshotRequest and
	// returns a Snapshot.
	MethodSnapshot = "agent.snapshot"
)

// SnapshotRequest identifies the snapshot that the entry already has.
type SnapshotRequest struct {
	Incarnation uint64 `json:"incarnation"` // of the agent that sent it
	Have        uint64 `json:"have"`        // Snapshot.Sequence, 0 for none
}

// Snapshot is the state that an entry needs to serve requests. It replaces the
// previous snapshot completely.
type Snapshot struct {
	Incarnation uint64              `json:"incarnation"`           // of the agent
	Sequence    uint64              `json:"sequence"`              // increases with each change within one incarnation
	Members     int                 `json:"members"`               // VMs in service; 0 if not known yet
	Stored      *config.Stored      `json:"stored"`                // nil until the agent has confirmed that its configuration is recent enough
	Withdrawals []config.Withdrawal `json:"withdrawals,omitempty"` // in addition to those in the document
	Document    *config.Document    `json:"-"`                     // decoded from Stored
}
