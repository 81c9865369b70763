package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/limit"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// tokenAgent answers asks for tokens in place of an agent.
type tokenAgent struct {
	mu     sync.Mutex
	source limit.Source
	tokens int // left to grant
	wait   time.Duration
	down   bool
	asks   []wire.TokensRequest
}

func (a *tokenAgent) answer(_ context.Context, request wire.TokensRequest) (wire.TokensAnswer, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asks = append(a.asks, request)
	if a.down {
		return wire.TokensAnswer{}, errs.New(errs.Unavailable, "no home", "none")
	}
	if request.Source != a.source {
		return wire.TokensAnswer{Source: a.source}, nil
	}
	grant := limit.Grant{Account: request.TokenRequest.Account, Seq: request.TokenRequest.Seq, TokenTTL: limit.DefaultTiming.TokenTTL, RetryAfter: a.wait}
	grant.Tokens = min(a.tokens, request.TokenRequest.Waiting)
	a.tokens -= grant.Tokens
	return wire.TokensAnswer{Source: a.source, Grant: &grant}, nil
}

func (a *tokenAgent) set(change func(*tokenAgent)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(a)
}

const hangLimit = 20 * time.Second // only ends a test that hangs

// newTokens returns a cache with its agent and a clock that the test moves.
func newTokens(t *testing.T) (*TokenCache, *tokenAgent, func(time.Duration)) {
	t.Helper()
	clock := timeline.NewClock(time.Now)
	agent := &tokenAgent{source: 1}
	handlers := wire.NewHandlers(clock)
	wire.Handle(handlers, wire.MethodTokens, agent.answer)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go handlers.Serve(t.Context(), listener)
	client := wire.NewClient(listener.Addr().String(), clock)
	t.Cleanup(client.Close)
	cache := NewTokenCache(client)
	cache.most, cache.mostNew = hangLimit, hangLimit
	var mu sync.Mutex
	var skipped time.Duration
	cache.now = func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return time.Unix(1000, 0).Add(skipped)
	}
	return cache, agent, func(d time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		skipped += d
	}
}

func newPermit(t *testing.T, cache *TokenCache) *permit {
	t.Helper()
	token, shortage := cache.Reserve(t.Context(), "reader")
	if shortage != nil {
		t.Fatalf("no token: %+v", *shortage)
	}
	return &permit{admitter: cache, account: "reader", token: token}
}

func TestProofRateStaleTokenIsNotSpent(t *testing.T) {
	cache, agent, skip := newTokens(t)
	agent.set(func(a *tokenAgent) { a.tokens = 1 })
	p := newPermit(t, cache)
	agent.set(func(a *tokenAgent) { a.down = true })
	skip(limit.DefaultTiming.TokenTTL)
	if err := p.spend(); err == nil {
		t.Fatal("a token was spent after its life")
	}
}

func TestProofRateTokenIsSpentOncePerRequest(t *testing.T) {
	cache, agent, _ := newTokens(t)
	agent.set(func(a *tokenAgent) { a.tokens = 2 })
	p := newPermit(t, cache)
	for range 3 { // attempts of one request
		if err := p.spend(); err != nil {
			t.Fatal(err)
		}
	}
	p.release()
	second := newPermit(t, cache)
	second.release()
	second.release()
	if err := newPermit(t, cache).spend(); err != nil {
		t.Fatal("a token that was given back can be spent")
	}
	if token, _ := cache.TryReserve("reader"); token != nil {
		t.Fatal("three tokens came out of two")
	}
}

func TestShortageSaysWhyAndWhenToComeBack(t *testing.T) {
	cases := []struct {
		name   string
		change func(*tokenAgent)
		status int
	}{
		{"over the rate", func(a *tokenAgent) { a.wait = 3 * time.Second }, http.StatusTooManyRequests},
		{"no answer", func(a *tokenAgent) { a.down = true }, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cache, agent, _ := newTokens(t)
			agent.set(func(a *tokenAgent) { a.tokens = 1 })
			if err := newPermit(t, cache).spend(); err != nil {
				t.Fatal(err)
			}
			agent.set(c.change)
			cache.most = 10 * time.Millisecond
			refusal := &Refusal{}
			for start := time.Now(); refusal.Status != c.status && time.Since(start) < hangLimit; {
				_, shortage := cache.Reserve(t.Context(), "reader")
				if shortage == nil {
					t.Fatal("a token came out of nothing")
				}
				refusal = shortage.refusal(accountWithRate(0.25))
			}
			if refusal.Status != c.status || refusal.Outcome != OutcomeNotRun || refusal.RetryAfter < 4*time.Second {
				t.Fatalf("%+v, want status %d and to come back after one interval of the rate", *refusal, c.status)
			}
		})
	}
}

func TestTokensOfAnOldSourceAreNotReported(t *testing.T) {
	cache, agent, _ := newTokens(t)
	agent.set(func(a *tokenAgent) { a.tokens = 1 })
	p := newPermit(t, cache)
	agent.set(func(a *tokenAgent) { a.source, a.tokens = 2, 1 })
	newPermit(t, cache)
	agent.set(func(a *tokenAgent) {
		last := a.asks[len(a.asks)-1]
		if last.Source != 2 || last.TokenRequest.Held != 0 || last.TokenRequest.Session == a.asks[0].TokenRequest.Session {
			t.Errorf("%+v: the new source must not hear of the old one's token", last)
		}
	})
	if err := p.spend(); err != nil {
		t.Fatal("the old token can be spent within its life")
	}
}
