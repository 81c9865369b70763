package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/limit"
	"lacewingmount.dev/wire"
)

const (
	maxTokenWaiters    = 1000                  // requests of one account that may wait at the same time
	tokenRetryDelay    = 10 * time.Millisecond // after a request to the agent that got no reply
	sessionCounterBits = 20                    // low bits of a session number, which limit.Cache increments at each change of source
)

// TokenCache is an Admitter that gets tokens from the agent and caches them per account.
type TokenCache struct {
	agent        *wire.Client
	now          func() time.Time
	maxWait      time.Duration // of a request for a token
	maxFirstWait time.Duration // applies instead until the first token of the account is granted
	mu           sync.Mutex
	accounts     map[string]*accountTokens
	waits        *metrics.Histogram
	admitted     *metrics.Counter
}

// NewTokenCache returns an empty cache that gets tokens from the agent.
func NewTokenCache(agent *wire.Client) *TokenCache {
	return &TokenCache{
		agent: agent, now: daemon.Monotonic, maxWait: maxTokenWait, maxFirstWait: maxFirstTokenWait, accounts: map[string]*accountTokens{},
		waits:    metrics.GetOrCreateHistogram("lacewing_rate_wait_seconds"),
		admitted: metrics.GetOrCreateCounter("lacewing_rate_admitted_total"),
	}
}

// Reserve implements Admitter.
func (t *TokenCache) Reserve(ctx context.Context, account string) (Token, *TokenUnavailable) {
	token, unavailable := t.account(account).reserve(ctx)
	if unavailable != nil {
		return nil, unavailable
	}
	t.admitted.Inc()
	return token, nil
}

// TryReserve implements Admitter.
func (t *TokenCache) TryReserve(account string) (Token, *TokenUnavailable) {
	a := t.account(account)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.parent.now()
	if permit, ok := a.cache.Reserve(now); ok {
		return cachedToken{account: a, permit: permit}, nil
	}
	return nil, &TokenUnavailable{StateUnknown: a.stateUnknown, RetryAfter: a.cache.Backoff(now)}
}

func (t *TokenCache) account(name string) *accountTokens {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[name]
	if a == nil {
		a = &accountTokens{
			parent: t, name: name, wake: make(chan struct{}, 1),
			cache: limit.NewCache(limit.DefaultTiming, rand.Uint64()<<sessionCounterBits),
		}
		t.accounts[name] = a
	}
	return a
}

// accountTokens holds the tokens of one account and the requests that wait for them.
type accountTokens struct {
	parent       *TokenCache
	name         string
	wake         chan struct{} // wakes the goroutine in requestLoop
	mu           sync.Mutex
	cache        *limit.Cache
	waiting      []*tokenWaiter // in order of arrival
	stateUnknown bool           // the last request to the agent got no reply
	hadToken     bool           // a token was granted before
	loopRunning  bool           // a goroutine runs requestLoop
	sleepUntil   time.Time      // until then requestLoop sleeps
}

// tokenWaiter is a request that waits for a token; ready is closed when permit is set.
type tokenWaiter struct {
	ready  chan struct{}
	permit limit.Permit
}

// cachedToken implements Token.
type cachedToken struct {
	account *accountTokens
	permit  limit.Permit
}

// Spend implements Token.
func (t cachedToken) Spend() bool {
	a := t.account
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.parent.now()
	spent := a.cache.Spend(t.permit, now)
	a.ensureRequestLoop(now)
	return spent
}

// Release implements Token.
func (t cachedToken) Release() {
	t.account.mu.Lock()
	defer t.account.mu.Unlock()
	t.account.cache.Release(t.permit)
	t.account.grantWaiting(t.account.parent.now())
}

func (a *accountTokens) reserve(ctx context.Context) (Token, *TokenUnavailable) {
	a.mu.Lock()
	now := a.parent.now()
	a.cache.RecordArrival(now)
	if len(a.waiting) == 0 {
		if permit, ok := a.cache.Reserve(now); ok {
			a.mu.Unlock()
			return cachedToken{account: a, permit: permit}, nil
		}
	}
	maxWait := a.waitLimit()
	if retryAfter := a.cache.Backoff(now); retryAfter > maxWait || len(a.waiting) >= maxTokenWaiters {
		unavailable := &TokenUnavailable{StateUnknown: a.stateUnknown, RetryAfter: retryAfter}
		a.mu.Unlock()
		return nil, unavailable
	}
	waiter := &tokenWaiter{ready: make(chan struct{})}
	a.waiting = append(a.waiting, waiter)
	a.ensureRequestLoop(now)
	a.mu.Unlock()
	return a.wait(ctx, waiter, now, maxWait)
}

// waitLimit returns the maximum time that a request waits for a token.
func (a *accountTokens) waitLimit() time.Duration {
	if a.hadToken {
		return a.parent.maxWait
	}
	return a.parent.maxFirstWait
}

// wait blocks until the waiter has its permit, the maximum wait has passed or ctx ends.
func (a *accountTokens) wait(ctx context.Context, waiter *tokenWaiter, since time.Time, maxWait time.Duration) (Token, *TokenUnavailable) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-waiter.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.parent.now()
	a.parent.waits.Update(now.Sub(since).Seconds())
	if a.removeWaiter(waiter) {
		return nil, &TokenUnavailable{StateUnknown: a.stateUnknown, RetryAfter: a.cache.Backoff(now)}
	}
	return cachedToken{account: a, permit: waiter.permit}, nil
}

// removeWaiter removes a waiter. It returns false if the waiter already has its permit.
func (a *accountTokens) removeWaiter(waiter *tokenWaiter) bool {
	for i, other := range a.waiting {
		if other == waiter {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// grantWaiting gives available tokens to the waiting requests in order of arrival.
func (a *accountTokens) grantWaiting(now time.Time) {
	for len(a.waiting) > 0 {
		permit, ok := a.cache.Reserve(now)
		if !ok {
			return
		}
		first := a.waiting[0]
		a.waiting = a.waiting[1:]
		first.permit = permit
		close(first.ready)
	}
}

// ensureRequestLoop starts requestLoop, or wakes it if a request is due earlier than it
// would wake up.
func (a *accountTokens) ensureRequestLoop(now time.Time) {
	if !a.loopRunning {
		a.loopRunning = true
		go a.requestLoop()
		return
	}
	if at, ok := a.cache.Due(now, len(a.waiting)); !ok || !at.Before(a.sleepUntil) {
		return
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// requestLoop sends requests for tokens to the agent when they are due. It returns when no
// further request will be due.
func (a *accountTokens) requestLoop() {
	for {
		a.mu.Lock()
		now := a.parent.now()
		at, ok := a.cache.Due(now, len(a.waiting))
		if !ok {
			a.loopRunning = false
			a.mu.Unlock()
			return
		}
		a.sleepUntil = at
		if wait := at.Sub(now); wait > 0 {
			a.mu.Unlock()
			a.sleep(wait)
			continue
		}
		request := wire.TokensRequest{Source: a.cache.Source(), Ask: a.cache.Ask(a.name, len(a.waiting), now)}
		a.mu.Unlock()
		go a.requestTokens(request)
	}
}

func (a *accountTokens) sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.wake:
	}
}

// requestTokens sends one request to the agent and applies the reply.
func (a *accountTokens) requestTokens(request wire.TokensRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), limit.DefaultTiming.TokenTTL)
	defer cancel()
	var reply wire.TokensAnswer
	err := a.parent.agent.Call(ctx, wire.MethodTokens, request, &reply)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.parent.now()
	a.stateUnknown = err != nil
	switch {
	case err != nil:
		a.cache.Fail(request.Ask.Seq, tokenRetryDelay, now)
	case request.Source != a.cache.Source():
		// a late reply to a request of an earlier session; its tokens are discarded
	case reply.Source != request.Source:
		a.cache.SwitchSource(reply.Source)
	case reply.Grant != nil:
		a.cache.Apply(*reply.Grant, now)
		a.hadToken = a.hadToken || reply.Grant.Tokens > 0
		a.grantWaiting(now)
	}
	a.ensureRequestLoop(now)
}
