package wire

import "lacewingmount.dev/limit"

// Methods of an agent that share out the rate and burst of client accounts.
const (
	// MethodTokens asks the VM's own agent for tokens; TokensRequest to TokensAnswer.
	MethodTokens = "agent.tokens"
	// MethodLend lends rights to another agent and asks it for tokens;
	// limit.Exchange to limit.Reply.
	MethodLend = "agent.lend"
	// MethodTransfer gives the rights of a VM that leaves while the store is gone
	// to one other agent; ShareTransfer to ShareTransferTaken.
	MethodTransfer = "agent.transfer"
)

// ShareTransfer are the rights of a VM that leaves. No home uses them any more.
type ShareTransfer struct {
	Rights []limit.Lease `json:"rights"`
}

// ShareTransferTaken acknowledges a ShareTransfer.
type ShareTransferTaken struct{}

// TokensRequest asks for tokens of one account.
type TokensRequest struct {
	Source       limit.Source       `json:"source"` // of the tokens that the entry holds
	TokenRequest limit.TokenRequest `json:"ask"`
}

// TokensAnswer carries the grant, or only the source that the entry must move to.
type TokensAnswer struct {
	Source limit.Source `json:"source"`
	Grant  *limit.Grant `json:"grant,omitempty"`
}
