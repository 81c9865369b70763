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

// fakeTokenAgent is an agent that only grants tokens.
type fakeTokenAgent struct {
	mu       sync.Mutex
	source   limit.Source
	tokens   int // left to grant
	wait     time.Duration
	down     bool
	requests []wire.TokensRequest
}

func (a *fakeTokenAgent) answer(_ context.Context, request wire.TokensRequest) (wire.TokensAnswer, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.requests, request)
	if a.down {
		return wire.TokensAnswer{}, errs.New(errs.Unavailable, "no owner", "none")
	}
	if request.Source != a.source {
		return wire.TokensAnswer{Source: a.source}, nil
	}
	grant := limit.Grant{Account: request.TokenRequest.Account, Seq: request.TokenRequest.Seq, TokenTTL: limit.DefaultTiming.TokenTTL, RetryAfter: a.wait}
	grant.Tokens = min(a.tokens, request.TokenRequest.Waiting)
	a.tokens -= grant.Tokens
	return wire.TokensAnswer{Source: a.source, Grant: &grant}, nil
}

func (a *fakeTokenAgent) set(change func(*fakeTokenAgent)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(a)
}

const testHangLimit = 20 * time.Second // ends a test that would otherwise block

// newTestTokenCache returns a cache, its agent and a function that advances the clock of
// the cache.
func newTestTokenCache(t *testing.T) (*TokenCache, *fakeTokenAgent, func(time.Duration)) {
	t.Helper()
	clock := timeline.NewClock(time.Now)
	agent := &fakeTokenAgent{source: 1}
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
	cache.maxWait, cache.maxFirstWait = testHangLimit, testHangLimit
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
	token, unavailable := cache.Reserve(t.Context(), "reader")
	if unavailable != nil {
		t.Fatalf("no token: %+v", *unavailable)
	}
	return &permit{admitter: cache, account: "reader", token: token}
}

func TestProofRateStaleTokenIsNotSpent(t *testing.T) {
	cache, agent, skip := newTestTokenCache(t)
	agent.set(func(a *fakeTokenAgent) { a.tokens = 1 })
	p := newPermit(t, cache)
	agent.set(func(a *fakeTokenAgent) { a.down = true })
	skip(limit.DefaultTiming.TokenTTL)
	if err := p.spend(); err == nil {
		t.Fatal("an expired token was spent")
	}
}

func TestProofRateTokenIsSpentOncePerRequest(t *testing.T) {
	cache, agent, _ := newTestTokenCache(t)
	agent.set(func(a *fakeTokenAgent) { a.tokens = 2 })
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
		t.Fatal("a released token could not be reserved and spent again")
	}
	if token, _ := cache.TryReserve("reader"); token != nil {
		t.Fatal("three tokens were reserved although two were granted")
	}
}

func TestTokenUnavailableSetsStatusAndRetryAfter(t *testing.T) {
	cases := []struct {
		name   string
		change func(*fakeTokenAgent)
		status int
	}{
		{"over the rate", func(a *fakeTokenAgent) { a.wait = 3 * time.Second }, http.StatusTooManyRequests},
		{"no reply", func(a *fakeTokenAgent) { a.down = true }, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cache, agent, _ := newTestTokenCache(t)
			agent.set(func(a *fakeTokenAgent) { a.tokens = 1 })
			if err := newPermit(t, cache).spend(); err != nil {
				t.Fatal(err)
			}
			agent.set(c.change)
			cache.maxWait = 10 * time.Millisecond
			refusal := &Refusal{}
			for start := time.Now(); refusal.Status != c.status && time.Since(start) < testHangLimit; {
				_, unavailable := cache.Reserve(t.Context(), "reader")
				if unavailable == nil {
					t.Fatal("a token was reserved although none was granted")
				}
				refusal = unavailable.refusal(accountWithRate(0.25))
			}
			if refusal.Status != c.status || refusal.Outcome != OutcomeNotRun || refusal.RetryAfter < 4*time.Second {
				t.Fatalf("%+v, want status %d and a RetryAfter of at least 1/rate, which is 4 s", *refusal, c.status)
			}
		})
	}
}

func TestTokensOfPreviousSourceAreNotReported(t *testing.T) {
	cache, agent, _ := newTestTokenCache(t)
	agent.set(func(a *fakeTokenAgent) { a.tokens = 1 })
	p := newPermit(t, cache)
	agent.set(func(a *fakeTokenAgent) { a.source, a.tokens = 2, 1 })
	newPermit(t, cache)
	agent.set(func(a *fakeTokenAgent) {
		last := a.requests[len(a.requests)-1]
		if last.Source != 2 || last.TokenRequest.Held != 0 || last.TokenRequest.Session == a.requests[0].TokenRequest.Session {
			t.Errorf("%+v: the request to the new source reports a token of the previous source", last)
		}
	})
	if err := p.spend(); err != nil {
		t.Fatal("the token of the previous source could not be spent before it expired")
	}
}
