package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lacewingmount.dev/config"
)

const (
	// maxTokenWait is the maximum time that a request waits for a token of its account.
	maxTokenWait = 150 * time.Millisecond
	// maxFirstTokenWait applies instead until the first token of an account is granted,
	// because the owner of the account has to be found first in a new fleet or for a
	// new account.
	maxFirstTokenWait = 2 * time.Second
)

// Admitter issues the tokens that keep client accounts within their rate and burst.
type Admitter interface {
	// Reserve returns a token for a request of the account, or the reason why none is
	// available. It may wait for a token.
	Reserve(ctx context.Context, account string) (Token, *TokenUnavailable)
	// TryReserve is like Reserve but does not wait.
	TryReserve(account string) (Token, *TokenUnavailable)
}

// Token permits one request to be sent. It is either spent or released, once.
type Token interface {
	// Spend uses the token and reports whether the request may be sent now. It must be
	// called immediately before the first byte is sent, because a token expires.
	Spend() bool
	// Release returns a token that was not spent.
	Release()
}

// TokenUnavailable is the reason why no token is available.
type TokenUnavailable struct {
	// StateUnknown means that the agent or the owner of the account cannot be reached,
	// so it is not known whether the account is within its rate.
	StateUnknown bool
	// RetryAfter is the time after which a token may be available, or 0 if unknown.
	RetryAfter time.Duration
}

// admitStage reserves a token for each request of a client account.
type admitStage struct {
	admitter Admitter
}

func (admitStage) Name() string { return "admit" }

func (s admitStage) Serve(x *Exchange) *Refusal {
	if x.Account == nil {
		return nil
	}
	token, unavailable := s.admitter.Reserve(x.Request.Context(), x.Account.Name)
	if unavailable != nil {
		return unavailable.refusal(x.Account)
	}
	x.permit = &permit{admitter: s.admitter, account: x.Account.Name, token: token}
	return nil
}

func (u *TokenUnavailable) refusal(account *config.ClientAccount) *Refusal {
	wait := max(u.RetryAfter, time.Duration(float64(time.Second)/account.Rate))
	if u.StateUnknown {
		return refuseNotRun(http.StatusServiceUnavailable, ReasonRateUnknown, "whether the client account is within its rate cannot be told").retryAfter(wait)
	}
	return refuseNotRun(http.StatusTooManyRequests, ReasonRate, "the client account is over its rate and burst").retryAfter(wait)
}

// errNoToken ends an attempt that has no valid token at the time of sending.
var errNoToken = errors.New("the token expired and no other token is available")

// permit holds the token of one exchange until it is spent. A nil permit allows every
// request; open routes use it.
type permit struct {
	admitter    Admitter
	account     string
	mu          sync.Mutex
	token       Token
	spent       bool
	unavailable *TokenUnavailable // why an expired token could not be replaced
}

// spend is called immediately before the first byte of a request is sent. The token is
// spent once for all attempts. An expired token is replaced if another one is available
// without waiting.
func (p *permit) spend() error {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.spent && p.token != nil {
		if p.token.Spend() {
			p.spent = true
			break
		}
		p.token, p.unavailable = p.admitter.TryReserve(p.account)
	}
	if !p.spent {
		return errNoToken
	}
	return nil
}

// refusal returns the refusal to send after spend failed.
func (p *permit) refusal(account *config.ClientAccount) *Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unavailable.refusal(account)
}

// release returns the token of a request that was not sent.
func (p *permit) release() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.spent && p.token != nil {
		p.token.Release()
		p.token = nil
	}
}
