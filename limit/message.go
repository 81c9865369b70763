package limit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// GroupCount is the number of account groups. Shares are leased by group. All VMs
// must use the same number.
const GroupCount = 16

// GroupOf returns the group of an account.
func GroupOf(account string) int { return int(xxhash.Sum64String(account) % GroupCount) }

// Quota is the rate and burst of a client account across the whole fleet.
type Quota struct {
	Rate  float64 // requests per second
	Burst float64 // requests
}

// VM identifies one start of the agent on one VM.
type VM struct {
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"` // rises with each start
}

// Exchange is sent from a VM to the owner of a group of accounts.
type Exchange struct {
	From          VM             `json:"f"`
	Owner         uint64         `json:"h"` // incarnation of the owner that the sender expects; 0 for not known
	Group         int            `json:"g"`
	Timing        Timing         `json:"t"`
	Timestamp     int64          `json:"p,omitempty"` // of the owner's last reply, in Unix ns; 0 if nothing is leased
	Leases        []Lease        `json:"l,omitempty"`
	Withdraw      []string       `json:"w,omitempty"` // VMs whose leases the owner must drop
	TokenRequests []TokenRequest `json:"a,omitempty"`
}

// Lease gives the owner the use of a holder's shares for Timing.Lease after the
// exchange's Timestamp.
type Lease struct {
	Holder VM     `json:"v"` // as in the ledger
	Shares int    `json:"s"`
	Total  int    `json:"o"`
	Ledger uint64 `json:"r"` // version of the ledger with this holding
}

func (l Lease) weight() float64 { return float64(l.Shares) / float64(l.Total) }

func (l Lease) valid() bool { return l.Shares > 0 && l.Shares <= l.Total }

// TokenRequest reports the tokens of one account in one cache and requests more.
type TokenRequest struct {
	Account  string `json:"a"`
	Session  uint64 `json:"s"` // of the cache with one source
	Seq      uint64 `json:"q"` // rises with each token request of the cache
	Held     int    `json:"h,omitempty"`
	Spent    uint64 `json:"u,omitempty"` // since the session began
	Waiting  int    `json:"w,omitempty"` // requests that wait for a token
	Prefetch int    `json:"p,omitempty"` // tokens wanted for expected requests
}

// Reply answers an Exchange.
type Reply struct {
	Owner      uint64  `json:"h"`           // incarnation of the owner
	Timestamp  int64   `json:"p"`           // when the owner answered, in Unix ns by its clock
	Ledger     uint64  `json:"r,omitempty"` // version of the owner's ledger
	Released   bool    `json:"w,omitempty"` // the owner uses no lease of the sender
	Leaving    bool    `json:"x,omitempty"` // the owner is stopping; its groups must move to other VMs
	Superseded bool    `json:"d,omitempty"` // by a newer ledger, the shares are not the sender's
	Mismatch   bool    `json:"m,omitempty"` // the owner has other timing, or no such group
	Grants     []Grant `json:"g,omitempty"`
}

// Grant answers one TokenRequest.
type Grant struct {
	Account      string        `json:"a"`
	Seq          uint64        `json:"q"`
	Tokens       int           `json:"k,omitempty"`
	TokenTTL     time.Duration `json:"l,omitempty"` // from when the token request was made
	RetryAfter   time.Duration `json:"w,omitempty"` // until another token request may find tokens
	ReportWithin time.Duration `json:"r,omitempty"` // within which spent tokens should be reported; 0 for no need
}
