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
	maxTokenWaiters = 1000                  // requests of one account that wait at once
	askRetry        = 10 * time.Millisecond // after an ask without an answer
	sessionBits     = 20                    // of a session number that count its sources
)

// TokenCache is an Admitter that keeps tokens from the agent, per account.
type TokenCache struct {
	agent    *wire.Client
	now      func() time.Time
	most     time.Duration // that a request waits
	mostNew  time.Duration // the same until the account's first token has come
	mu       sync.Mutex
	accounts map[string]*accountTokens
	waits    *metrics.Histogram
	admitted *metrics.Counter
}

// NewTokenCache returns a cache that asks the agent.
func NewTokenCache(agent *wire.Client) *TokenCache {
	return &TokenCache{
		agent: agent, now: daemon.Monotonic, most: admitWait, mostNew: firstAdmitWait, accounts: map[string]*accountTokens{},
		waits:    metrics.GetOrCreateHistogram("lacewing_rate_wait_seconds"),
		admitted: metrics.GetOrCreateCounter("lacewing_rate_admitted_total"),
	}
}

// Reserve implements Admitter.
func (t *TokenCache) Reserve(ctx context.Context, account string) (Token, *Shortage) {
	token, shortage := t.account(account).reserve(ctx)
	if shortage != nil {
		return nil, shortage
	}
	t.admitted.Inc()
	return token, nil
}

// TryReserve implements Admitter.
func (t *TokenCache) TryReserve(account string) (Token, *Shortage) {
	a := t.account(account)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.parent.now()
	if permit, ok := a.cache.Reserve(now); ok {
		return cachedToken{account: a, permit: permit}, nil
	}
	return nil, &Shortage{Lost: a.lost, Wait: a.cache.Backoff(now)}
}

func (t *TokenCache) account(name string) *accountTokens {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[name]
	if a == nil {
		a = &accountTokens{
			parent: t, name: name, kick: make(chan struct{}, 1),
			cache: limit.NewCache(limit.DefaultTiming, rand.Uint64()<<sessionBits),
		}
		t.accounts[name] = a
	}
	return a
}

// accountTokens are the tokens of one account and the requests that wait for them.
type accountTokens struct {
	parent  *TokenCache
	name    string
	kick    chan struct{} // wakes the asking goroutine
	mu      sync.Mutex
	cache   *limit.Cache
	waiting []*tokenWaiter // in order of arrival
	lost    bool           // the last ask got no answer
	settled bool           // a token has come before
	running bool           // a goroutine asks for this account
	sleeps  time.Time      // until when that goroutine sleeps
}

// tokenWaiter is a request that waits; ready is closed once it has its permit.
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
	a.start(now)
	return spent
}

// Release implements Token.
func (t cachedToken) Release() {
	t.account.mu.Lock()
	defer t.account.mu.Unlock()
	t.account.cache.Release(t.permit)
	t.account.serve(t.account.parent.now())
}

func (a *accountTokens) reserve(ctx context.Context) (Token, *Shortage) {
	a.mu.Lock()
	now := a.parent.now()
	a.cache.RecordArrival(now)
	if len(a.waiting) == 0 {
		if permit, ok := a.cache.Reserve(now); ok {
			a.mu.Unlock()
			return cachedToken{account: a, permit: permit}, nil
		}
	}
	most := a.longestWait()
	if quiet := a.cache.Backoff(now); quiet > most || len(a.waiting) >= maxTokenWaiters {
		shortage := &Shortage{Lost: a.lost, Wait: quiet}
		a.mu.Unlock()
		return nil, shortage
	}
	waiter := &tokenWaiter{ready: make(chan struct{})}
	a.waiting = append(a.waiting, waiter)
	a.start(now)
	a.mu.Unlock()
	return a.wait(ctx, waiter, now, most)
}

func (a *accountTokens) longestWait() time.Duration {
	if a.settled {
		return a.parent.most
	}
	return a.parent.mostNew
}

// wait blocks until the waiter has its permit or has waited as long as it may.
func (a *accountTokens) wait(ctx context.Context, waiter *tokenWaiter, since time.Time, most time.Duration) (Token, *Shortage) {
	timer := time.NewTimer(most)
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
	if a.leave(waiter) {
		return nil, &Shortage{Lost: a.lost, Wait: a.cache.Backoff(now)}
	}
	return cachedToken{account: a, permit: waiter.permit}, nil
}

// leave removes a waiter. It returns false if the waiter got its permit before.
func (a *accountTokens) leave(waiter *tokenWaiter) bool {
	for i, other := range a.waiting {
		if other == waiter {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// serve hands free tokens to the requests that wait.
func (a *accountTokens) serve(now time.Time) {
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

// start makes sure that a goroutine asks for the account when something is due.
func (a *accountTokens) start(now time.Time) {
	if !a.running {
		a.running = true
		go a.askWhileDue()
		return
	}
	if at, ok := a.cache.Due(now, len(a.waiting)); !ok || !at.Before(a.sleeps) {
		return
	}
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// askWhileDue sends asks when they are due and ends when none will be.
func (a *accountTokens) askWhileDue() {
	for {
		a.mu.Lock()
		now := a.parent.now()
		at, ok := a.cache.Due(now, len(a.waiting))
		if !ok {
			a.running = false
			a.mu.Unlock()
			return
		}
		a.sleeps = at
		if wait := at.Sub(now); wait > 0 {
			a.mu.Unlock()
			a.sleep(wait)
			continue
		}
		request := wire.TokensRequest{Source: a.cache.Source(), TokenRequest: a.cache.TokenRequest(a.name, len(a.waiting), now)}
		a.mu.Unlock()
		go a.ask(request)
	}
}

func (a *accountTokens) sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.kick:
	}
}

// ask sends one request to the agent and takes over its answer.
func (a *accountTokens) ask(request wire.TokensRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), limit.DefaultTiming.TokenTTL)
	defer cancel()
	var answer wire.TokensAnswer
	err := a.parent.agent.Call(ctx, wire.MethodTokens, request, &answer)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.parent.now()
	a.lost = err != nil
	switch {
	case err != nil:
		a.cache.Fail(request.TokenRequest.Seq, askRetry, now)
	case request.Source != a.cache.Source():
		// a late answer; its tokens are dead
	case answer.Source != request.Source:
		a.cache.SwitchSource(answer.Source)
	case answer.Grant != nil:
		a.cache.Apply(*answer.Grant, now)
		a.settled = a.settled || answer.Grant.Tokens > 0
		a.serve(now)
	}
	a.start(now)
}
