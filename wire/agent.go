package wire

import "lacewingmount.dev/config"

// Methods that an agent answers.
const (
	// MethodSnapshot waits for a newer snapshot; SnapshotRequest to Snapshot.
	MethodSnapshot = "agent.snapshot"
)

// SnapshotRequest names the snapshot that the entry already has.
type SnapshotRequest struct {
	Have uint64 `json:"have"` // Snapshot.Sequence, 0 for none
}

// Snapshot is what an entry needs to serve; it replaces the previous one whole.
type Snapshot struct {
	Sequence uint64           `json:"sequence"` // rises with each change within one agent incarnation
	Members  int              `json:"members"`  // VMs in service
	Document *config.Document `json:"document"` // nil until the first configuration is known
}
