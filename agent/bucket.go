package agent

import (
	"context"
	"strings"
	"sync"
	"time"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/metastore"
	"lacewingmount.dev/once"
)

const (
	leastStoreTimeout = 600 * time.Millisecond // for one call of the store, when it is quick
	mostStoreTimeout  = 3 * time.Second        // and when it is slow
	storeTimeoutRatio = 4                      // of the limit to the time of the call before
	ownerTenure       = 3 * time.Second        // in which a bucket is not taken back from the agent that took it
)

// claimBucket runs one bucket of claims against the store.
type claimBucket struct {
	store   metastore.Store
	changed func(role once.Role, owner string)

	mu       sync.Mutex
	core     *once.Bucket
	role     once.Role
	waiting  map[uint64]chan once.Reply // by ticket
	tickets  uint64
	limit    time.Duration // for the next call of the store
	timer    *time.Timer
	lostTo   string // VM that took the bucket over
	lostTime time.Time
}

func newClaimBucket(name, self string, store metastore.Store, changed func(once.Role, string)) *claimBucket {
	b := &claimBucket{
		store: store, changed: changed, role: once.Idle, limit: leastStoreTimeout,
		core: once.NewBucket(name, self, once.DefaultSettings), waiting: map[uint64]chan once.Reply{},
	}
	b.timer = time.AfterFunc(time.Hour, b.wake)
	b.timer.Stop()
	return b
}

// claim asks the bucket, which this agent takes over if it does not own it.
func (b *claimBucket) claim(ctx context.Context, claim once.Claim) once.Reply {
	b.mu.Lock()
	b.tickets++
	ticket, answer := b.tickets, make(chan once.Reply, 1)
	b.waiting[ticket] = answer
	b.core.Acquire()
	b.core.Claim(time.Now(), ticket, claim)
	b.turn()
	b.mu.Unlock()
	select {
	case reply := <-answer:
		return reply
	case <-ctx.Done():
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.waiting, ticket)
		return once.Reply{Verdict: once.InDoubt}
	}
}

// settle records an end; false means that this agent does not own the bucket yet.
func (b *claimBucket) settle(end once.Settlement) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Acquire()
	done := b.core.Settle(time.Now(), end)
	b.turn()
	return done
}

// takenBy returns the VM that took the bucket over a short time ago.
func (b *claimBucket) takenBy() (vm string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lostTo, b.lostTo != "" && b.core.Role() == once.Idle && time.Since(b.lostTime) < ownerTenure
}

// leave stops granting and waits until all ends are written.
func (b *claimBucket) leave(ctx context.Context) {
	b.mu.Lock()
	b.core.Leave()
	b.turn()
	b.mu.Unlock()
	for ctx.Err() == nil && !b.flushed() {
		daemon.Sleep(ctx, 10*time.Millisecond)
	}
}

// BucketStatus describes one bucket of claims at this agent.
type BucketStatus struct {
	Bucket    string    `json:"bucket"`
	Role      once.Role `json:"role"`
	Claims    int       `json:"claims"`
	Unwritten int       `json:"unwritten"` // claims and ends that are not in the store yet
}

func (b *claimBucket) status(name string) BucketStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BucketStatus{Bucket: name, Role: b.core.Role(), Claims: b.core.Claims(), Unwritten: b.core.Unwritten()}
}

func (b *claimBucket) flushed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Flushed()
}

func (b *claimBucket) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn()
}

// turn hands out replies and starts the next call of the store. It is called
// after each event, with the lock held.
func (b *claimBucket) turn() {
	op, at := b.core.Next(time.Now())
	for _, reply := range b.core.Replies() {
		if answer, ok := b.waiting[reply.Ticket]; ok {
			answer <- reply
			delete(b.waiting, reply.Ticket)
		}
	}
	if op != nil {
		go b.perform(op, b.limit)
	}
	if !at.IsZero() {
		b.timer.Reset(time.Until(at))
	}
	b.noteRole()
}

func (b *claimBucket) noteRole() {
	role := b.core.Role()
	if role == b.role {
		return
	}
	b.role = role
	vm, _, _ := strings.Cut(b.core.Owner(), ownerSeparator)
	if role == once.Idle {
		b.lostTo, b.lostTime = vm, time.Now()
	}
	b.changed(role, vm)
}

// perform calls the store and takes in the answer.
func (b *claimBucket) perform(op *once.Op, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	started := time.Now()
	result := callStore(ctx, b.store, op)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = nextLimit(limit, time.Since(started), result.Failed)
	b.core.Done(time.Now(), result)
	b.turn()
}

// nextLimit follows the store: a silent connection is given up soon, a slow
// store is waited for.
func nextLimit(limit, took time.Duration, failed bool) time.Duration {
	next := storeTimeoutRatio * took
	if failed {
		next = 2 * limit
	}
	return min(max(next, leastStoreTimeout), mostStoreTimeout)
}

func callStore(ctx context.Context, store metastore.Store, op *once.Op) once.Result {
	switch op.Kind {
	case once.OpList:
		return listResult(store.List(ctx, op.Key))
	case once.OpGet:
		entry, err := store.Get(ctx, op.Key)
		return newResult(entry.Version, entry.Value, err)
	case once.OpDelete:
		return newResult(0, nil, store.Delete(ctx, op.Key, metastore.Version(op.Expect)))
	default:
		version, err := store.CompareAndSwap(ctx, op.Key, op.Value, metastore.Version(op.Expect), 0)
		return newResult(version, nil, err)
	}
}

func newResult(version metastore.Version, value []byte, err error) once.Result {
	switch {
	case err == nil || errs.KindOf(err) == errs.NotFound:
		return once.Result{Version: uint64(version), Value: value}
	case errs.KindOf(err) == errs.Conflict:
		return once.Result{Conflict: true}
	}
	return once.Result{Failed: true}
}

func listResult(entries []metastore.Entry, err error) once.Result {
	result := once.Result{Failed: err != nil}
	for _, entry := range entries {
		result.Entries = append(result.Entries, once.StoredEntry{Key: entry.Key, Value: entry.Value, Version: uint64(entry.Version)})
	}
	return result
}
