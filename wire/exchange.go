package wire

import "lacewingmount.dev/membership"

// MethodExchange is the epidemic exchange between two agents; Exchange to Exchange.
const MethodExchange = "agent.exchange"

// Exchange is one half of an exchange between two agents.
type Exchange struct {
	Members membership.Message `json:"m"`
	Config  ConfigDigest       `json:"c"`
}
