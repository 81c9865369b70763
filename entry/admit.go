package entry

import (
	"net/http"
	"sync"
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/limit"
)

// Admitter decides whether a request is within its account's rate and burst.
type Admitter interface {
	// Admit takes one request's share. If it is not admitted, wait is how long
	// until the account's rate allows another request.
	Admit(exchange *Exchange, now time.Time) (ok bool, wait time.Duration)
}

// admitStage refuses requests beyond the rate and burst of their account.
type admitStage struct {
	admitter Admitter
	now      func() time.Time
}

func (admitStage) Name() string { return "admit" }

func (s admitStage) Serve(x *Exchange) *Refusal {
	if x.Account == nil {
		return nil
	}
	ok, wait := s.admitter.Admit(x, s.now())
	if ok {
		return nil
	}
	return notRun(http.StatusTooManyRequests, ReasonRate, "the client account is over its rate and burst").after(wait)
}

// StaticSplit gives each VM an equal part of every account's rate and burst.
type StaticSplit struct {
	mu      sync.Mutex
	buckets map[string]*limit.Bucket
}

// NewStaticSplit returns an admitter without accounts.
func NewStaticSplit() *StaticSplit { return &StaticSplit{buckets: map[string]*limit.Bucket{}} }

// Admit implements Admitter.
func (s *StaticSplit) Admit(x *Exchange, now time.Time) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bucket(x.Account, float64(x.Table.Members), now).Take(now)
}

func (s *StaticSplit) bucket(account *config.ClientAccount, members float64, now time.Time) *limit.Bucket {
	rate, burst := account.Rate/members, account.Burst/members
	bucket := s.buckets[account.Name]
	if bucket == nil {
		bucket = limit.NewBucket(rate, burst, now)
		s.buckets[account.Name] = bucket
		return bucket
	}
	bucket.Resize(rate, burst, now)
	return bucket
}
