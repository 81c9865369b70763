package wire

import "lacewingmount.dev/limit"

// Methods of an agent that distribute the rate and burst of client accounts.
const (
	// MethodTokens requests tokens from the VM's own agent. It takes a TokensRequest
	// and returns a TokensAnswer.
	MethodTokens = "agent.tokens"
	// MethodLend leases shares to another agent and requests tokens from it. It takes a
	// limit.Exchange and returns a limit.Reply.
	MethodLend = "agent.lend"
	// MethodTransfer gives the shares of a VM that leaves while the store is
	// unavailable to one other agent. It takes a ShareTransfer and returns a
	// ShareTransferAnswer.
	MethodTransfer = "agent.transfer"
)

// ShareTransfer holds the shares of a VM that leaves. No owner uses them any more.
type ShareTransfer struct {
	HeldShares []limit.Lease `json:"rights"`
}

// ShareTransferAnswer acknowledges a ShareTransfer.
type ShareTransferAnswer struct{}

// TokensRequest requests tokens of one account.
type TokensRequest struct {
	Source       limit.Source       `json:"source"` // of the tokens that the entry holds
	TokenRequest limit.TokenRequest `json:"ask"`
}

// TokensAnswer holds the grant, or only the source that the entry must switch to.
type TokensAnswer struct {
	Source limit.Source `json:"source"`
	Grant  *limit.Grant `json:"grant,omitempty"`
}
