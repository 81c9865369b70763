package wire

// Methods about protected requests that an agent answers.
const (
	// MethodClaim claims a protected request for the VM's entry; ClaimRequest to ClaimAnswer.
	MethodClaim = "agent.claim"
	// MethodSettle records the end of a claimed request; SettleRequest to SettleAnswer.
	MethodSettle = "agent.settle"
	// MethodOwnerClaim claims at the owner of the request's bucket; OwnerClaimRequest to ClaimAnswer.
	MethodOwnerClaim = "claims.claim"
	// MethodOwnerSettle settles at the owner of the request's bucket; OwnerSettleRequest to SettleAnswer.
	MethodOwnerSettle = "claims.settle"
)

// ClaimRequest asks for the right to send a protected request once.
type ClaimRequest struct {
	Account string `json:"account"`
	Route   string `json:"route"`
	Key     string `json:"key"`     // the caller's Idempotency-Key, a UUIDv7
	Digest  string `json:"digest"`  // of the method, path and body
	Attempt string `json:"attempt"` // of the one exchange that may send it; a repeated call has the same
}

// ClaimState says what is known about a protected request.
type ClaimState string

// Claim states.
const (
	ClaimGranted  ClaimState = "granted"   // the caller may send it, once
	ClaimPending  ClaimState = "pending"   // claimed before, end not known
	ClaimAnswered ClaimState = "answered"  // answered before
	ClaimMismatch ClaimState = "mismatch"  // the same key came with another request
	ClaimTooOld   ClaimState = "too-old"   // the key is so old that claims like it are forgotten
	ClaimTooEarly ClaimState = "too-early" // the key's timestamp is ahead of time

	// Between agents only.
	ClaimNotOwner ClaimState = "not-owner" // another agent owns the bucket; nothing was recorded
	ClaimRefused  ClaimState = "refused"   // nothing was recorded, for want of the store or of memory
	ClaimInDoubt  ClaimState = "in-doubt"  // not granted, but may be recorded

	ClaimAbandoned ClaimState = "abandoned" // the attempt was given up before its claim arrived
)

// KeptAnswer is an answer that is replayed to duplicates.
type KeptAnswer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// ClaimAnswer says whether the request may be sent. A claim that fails with
// kind Unavailable recorded nothing; with another kind it may be recorded.
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

// OwnerClaimRequest is a ClaimRequest on its way to the owner of its bucket.
type OwnerClaimRequest struct {
	Claim  ClaimRequest `json:"claim"`
	Handed bool         `json:"handed,omitempty"` // by an agent that lost the bucket to the receiver
}

// OwnerSettleRequest is a SettleRequest on its way to the owner of its bucket.
type OwnerSettleRequest struct {
	Settle SettleRequest `json:"settle"`
	Handed bool          `json:"handed,omitempty"`
}
