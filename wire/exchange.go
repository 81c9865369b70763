package wire

import "lacewingmount.dev/membership"

// MethodExchange is the gossip exchange between two agents. It takes and returns an
// Exchange.
const MethodExchange = "agent.exchange"

// Exchange is the request or the response of a gossip exchange.
type Exchange struct {
	Members membership.Message `json:"m"`
	Config  ConfigDigest       `json:"c"`
}
