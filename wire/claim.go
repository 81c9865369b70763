package wire

// Methods of an agent for protected requests, which must be sent at most once.
const (
	// MethodClaim claims a protected request for the entry of the same VM. It takes a
	// ClaimRequest and returns a ClaimAnswer.
	MethodClaim = "agent.claim"
	// MethodSettle records how a claimed request ended. It takes a SettleRequest and
	// returns a SettleAnswer.
	MethodSettle = "agent.settle"
	// MethodOwnerClaim claims a request at the owner of its bucket. It takes an
	// OwnerClaimRequest and returns a ClaimAnswer.
	MethodOwnerClaim = "claims.claim"
	// MethodOwnerSettle settles a request at the owner of its bucket. It takes an
	// OwnerSettleRequest and returns a SettleAnswer.
	MethodOwnerSettle = "claims.settle"
)

// ClaimRequest requests permission to send a protected request once.
type ClaimRequest struct {
	Account string `json:"account"`
	Route   string `json:"route"`
	Key     string `json:"key"`     // the caller's Idempotency-Key, a UUIDv7
	Digest  string `json:"digest"`  // of the method, path and body
	Attempt string `json:"attempt"` // identifies the attempt that may send the request; a repeated call has the same
}

// ClaimState is the decision on a claim.
type ClaimState string

// Claim states.
const (
	ClaimGranted  ClaimState = "granted"   // the caller may send it, once
	ClaimPending  ClaimState = "pending"   // granted to another attempt that has not been settled
	ClaimAnswered ClaimState = "answered"  // the request was answered before
	ClaimMismatch ClaimState = "mismatch"  // the key was used before for a different request
	ClaimTooOld   ClaimState = "too-old"   // the key is older than the time for which claims are kept
	ClaimTooEarly ClaimState = "too-early" // the timestamp of the key is too far in the future

	// Between agents only.
	ClaimNotOwner ClaimState = "not-owner" // not granted and nothing was recorded; another agent may own the bucket
	ClaimRefused  ClaimState = "refused"   // not granted and nothing was recorded, because the store or memory was not available
	ClaimInDoubt  ClaimState = "in-doubt"  // not granted, but the claim may have been recorded

	ClaimAbandoned ClaimState = "abandoned" // the attempt had been given up before its claim arrived
)

// KeptAnswer is a stored answer, which is replayed to duplicates of the request.
type KeptAnswer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// ClaimAnswer says whether the request may be sent. If the call fails with kind
// Unavailable, nothing was recorded; with another kind, the claim may have been
// recorded.
type ClaimAnswer struct {
	State ClaimState  `json:"state"`
	Kept  *KeptAnswer `json:"kept,omitempty"` // in state ClaimAnswered, if the answer is stored
}

// SettleRequest records how a claimed request ended.
type SettleRequest struct {
	Claim  ClaimRequest `json:"claim"`
	NotRun bool         `json:"not_run,omitempty"` // the server did not execute it, so it may be claimed again
	Kept   *KeptAnswer  `json:"kept,omitempty"`
}

// SettleAnswer acknowledges a SettleRequest.
type SettleAnswer struct{}

// OwnerClaimRequest is a ClaimRequest for the owner of its bucket.
type OwnerClaimRequest struct {
	Claim     ClaimRequest `json:"claim"`
	Forwarded bool         `json:"handed,omitempty"` // by an agent that is no longer the owner
}

// OwnerSettleRequest is a SettleRequest for the owner of its bucket.
type OwnerSettleRequest struct {
	Settle    SettleRequest `json:"settle"`
	Forwarded bool          `json:"handed,omitempty"` // as in OwnerClaimRequest
}
