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
	// admitWait bounds how long a request waits for a token of its account.
	admitWait = 150 * time.Millisecond
	// firstAdmitWait is the bound until the first token of an account has come,
	// as while a new fleet or account finds its home.
	firstAdmitWait = 2 * time.Second
)

// Admitter hands out the tokens that keep accounts within rate and burst.
type Admitter interface {
	// Reserve returns a token for a request of the account, or the shortage
	// that stands in its way.
	Reserve(ctx context.Context, account string) (Token, *Shortage)
	// TryReserve is Reserve without waiting.
	TryReserve(account string) (Token, *Shortage)
}

// Token is the right to send one request. It is spent or released, once.
type Token interface {
	// Spend reports whether the request may leave now. It must be called right
	// before the first byte is sent, because a token expires.
	Spend() bool
	// Release gives back a token that was not spent.
	Release()
}

// Shortage says why there is no token.
type Shortage struct {
	// Lost means that the account's state is not known: the agent or the home of
	// the account cannot be reached.
	Lost bool
	// Wait is when to try again at the soonest; 0 if not known.
	Wait time.Duration
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
	token, shortage := s.admitter.Reserve(x.Request.Context(), x.Account.Name)
	if shortage != nil {
		return shortage.refusal(x.Account)
	}
	x.permit = &permit{admitter: s.admitter, account: x.Account.Name, token: token}
	return nil
}

func (s *Shortage) refusal(account *config.ClientAccount) *Refusal {
	wait := max(s.Wait, time.Duration(float64(time.Second)/account.Rate))
	if s.Lost {
		return notRun(http.StatusServiceUnavailable, ReasonRateUnknown, "whether the client account is within its rate cannot be told").after(wait)
	}
	return notRun(http.StatusTooManyRequests, ReasonRate, "the client account is over its rate and burst").after(wait)
}

// errNoToken ends an attempt whose request may not leave.
var errNoToken = errors.New("the token expired and there is no other")

// permit is the token of one exchange until it is spent. The nil permit lets
// every request through; it is that of open routes.
type permit struct {
	admitter Admitter
	account  string
	mu       sync.Mutex
	token    Token
	spent    bool
	shortage *Shortage // why the token could not be replaced
}

// spend is called right before the first byte of a request leaves. It uses up
// the token once for all attempts; one that expired on the way is replaced if
// there is another at hand.
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
		p.token, p.shortage = p.admitter.TryReserve(p.account)
	}
	if !p.spent {
		return errNoToken
	}
	return nil
}

// refusal says why spend failed.
func (p *permit) refusal(account *config.ClientAccount) *Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shortage.refusal(account)
}

// release gives back the token of a request that was never sent.
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
