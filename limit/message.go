package limit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Groups is the number of groups that accounts are lent by. All VMs must agree on it.
const Groups = 16

// GroupOf returns the group of an account.
func GroupOf(account string) int { return int(xxhash.Sum64String(account) % Groups) }

// Quota is the rate and burst of a client account across the whole fleet.
type Quota struct {
	Rate  float64 // requests per second
	Burst float64 // requests
}

// VM names one start of the agent on one VM.
type VM struct {
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"` // rises with each start
}

// Exchange goes from a VM to the home of a group of accounts.
type Exchange struct {
	From     VM       `json:"f"`
	Home     uint64   `json:"h"` // incarnation that the sender expects; 0 for not known
	Group    int      `json:"g"`
	Terms    Terms    `json:"t"`
	Stamp    int64    `json:"p,omitempty"` // from the home's last reply; 0 if nothing is lent
	Lends    []Lend   `json:"l,omitempty"`
	Withdraw []string `json:"w,omitempty"` // VMs whose rights the home must drop
	Asks     []Ask    `json:"a,omitempty"`
}

// Lend is a right that the home may use for Terms.Lend after the exchange's Stamp.
type Lend struct {
	Holder VM     `json:"v"` // as in the ledger
	Shares int    `json:"s"`
	Total  int    `json:"o"`
	Ledger uint64 `json:"r"` // version of the ledger that says so
}

func (l Lend) weight() float64 { return float64(l.Shares) / float64(l.Total) }

func (l Lend) valid() bool { return l.Shares > 0 && l.Shares <= l.Total }

// Ask reports the tokens of one account in one cache and asks for more.
type Ask struct {
	Account string `json:"a"`
	Session uint64 `json:"s"` // of the cache with one source
	Seq     uint64 `json:"q"` // rises with each ask of the cache
	Held    int    `json:"h,omitempty"`
	Spent   uint64 `json:"u,omitempty"` // since the session began
	Waiting int    `json:"w,omitempty"` // requests that wait for a token
	Spare   int    `json:"p,omitempty"` // tokens wanted for requests to come
}

// Reply answers an Exchange.
type Reply struct {
	Home       uint64  `json:"h"` // incarnation of the home
	Stamp      int64   `json:"p"`
	Ledger     uint64  `json:"r,omitempty"` // version of the home's ledger
	Released   bool    `json:"w,omitempty"` // the home uses no right of the sender
	Leaving    bool    `json:"x,omitempty"` // the home stops; its groups belong elsewhere
	Superseded bool    `json:"d,omitempty"` // a younger ledger says that the right is not the sender's
	Mismatch   bool    `json:"m,omitempty"` // the home has other terms
	Grants     []Grant `json:"g,omitempty"`
}

// Grant answers one Ask.
type Grant struct {
	Account string        `json:"a"`
	Seq     uint64        `json:"q"`
	Tokens  int           `json:"k,omitempty"`
	Life    time.Duration `json:"l,omitempty"` // from when the ask was made
	Wait    time.Duration `json:"w,omitempty"` // until asking again makes sense
	Report  time.Duration `json:"r,omitempty"` // within which spent tokens should be reported; 0 for no need
}
