package entry

import (
	"context"
	"net/http"
	"time"

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
	x.permit = &permit{token: token, admitter: s.admitter}
	return nil
}

func (s *Shortage) refusal(account *config.ClientAccount) *Refusal {
	wait := max(s.Wait, time.Duration(float64(time.Second)/account.Rate))
	if s.Lost {
		return notRun(http.StatusServiceUnavailable, ReasonRateUnknown, "whether the client account is within its rate cannot be told").after(wait)
	}
	return notRun(http.StatusTooManyRequests, ReasonRate, "the client account is over its rate and burst").after(wait)
}

// permit is the token of one exchange until it is spent.
type permit struct {
	token    Token
	admitter Admitter
	spent    bool
}

// spend is called right before the request leaves. A token that expired on the
// way, as in a long queue, is replaced if there is another.
func (x *Exchange) spend() *Refusal {
	p := x.permit
	if p == nil || p.spent {
		return nil
	}
	for !p.token.Spend() {
		token, shortage := p.admitter.Reserve(x.Request.Context(), x.Account.Name)
		if shortage != nil {
			x.permit = nil
			return shortage.refusal(x.Account)
		}
		p.token = token
	}
	p.spent = true
	return nil
}

// releasePermit gives back the token of a request that was never sent.
func (x *Exchange) releasePermit() {
	if x.permit != nil && !x.permit.spent {
		x.permit.token.Release()
	}
}
