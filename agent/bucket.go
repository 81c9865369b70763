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
	minStoreTimeout    = 600 * time.Millisecond // of one store call
	maxStoreTimeout    = 3 * time.Second        // of one store call
	storeTimeoutFactor = 4                      // timeout of a store call / duration of the previous one
	takeoverHoldoff    = 3 * time.Second        // time before a lost bucket is taken back from its new owner
)

// claimBucket runs a once.Bucket: it performs the bucket's store calls and delivers
// its replies.
type claimBucket struct {
	store        metastore.Store
	onRoleChange func(role once.Role, owner string)

	mu           sync.Mutex
	core         *once.Bucket
	role         once.Role
	waiters      map[uint64]chan once.Reply // of claims, by ticket
	lastTicket   uint64
	storeTimeout time.Duration // of the next store call
	timer        *time.Timer
	lostTo       string // VM that took over the bucket
	lostAt       time.Time
}

func newClaimBucket(name, self string, store metastore.Store, onRoleChange func(once.Role, string)) *claimBucket {
	b := &claimBucket{
		store: store, onRoleChange: onRoleChange, role: once.Idle, storeTimeout: minStoreTimeout,
		core: once.NewBucket(name, self, once.DefaultSettings), waiters: map[uint64]chan once.Reply{},
	}
	b.timer = time.AfterFunc(time.Hour, b.onTimer)
	b.timer.Stop()
	return b
}

// claim submits a claim and waits for the bucket's reply; it returns once.InDoubt if ctx
// ends first. If this agent does not own the bucket, it starts to take it over.
func (b *claimBucket) claim(ctx context.Context, claim once.Claim) once.Reply {
	b.mu.Lock()
	b.lastTicket++
	ticket, answer := b.lastTicket, make(chan once.Reply, 1)
	b.waiters[ticket] = answer
	b.core.Acquire()
	b.core.Claim(time.Now(), ticket, claim)
	b.advance()
	b.mu.Unlock()
	select {
	case reply := <-answer:
		return reply
	case <-ctx.Done():
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.waiters, ticket)
		return once.Reply{Verdict: once.InDoubt}
	}
}

// settle records how an attempt ended. It returns false if this agent does not own
// the bucket yet; it then starts to take it over.
func (b *claimBucket) settle(settlement once.Settlement) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Acquire()
	recorded := b.core.Settle(time.Now(), settlement)
	b.advance()
	return recorded
}

// hasLeft reports whether this agent is stopping and will not own the bucket again.
func (b *claimBucket) hasLeft() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Left()
}

// recentOwner returns the VM that took over the bucket within the takeoverHoldoff.
func (b *claimBucket) recentOwner() (vm string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lostTo, b.lostTo != "" && b.core.Role() == once.Idle && time.Since(b.lostAt) < takeoverHoldoff
}

// leave stops granting claims and waits until all settlements are written or ctx ends.
func (b *claimBucket) leave(ctx context.Context) {
	b.mu.Lock()
	b.core.Leave()
	b.advance()
	b.mu.Unlock()
	for ctx.Err() == nil && !b.flushed() {
		daemon.Sleep(ctx, 10*time.Millisecond)
	}
}

// BucketStatus is the state of one bucket of claims at this agent, as served by
// GET /claims of the admin interface.
type BucketStatus struct {
	Bucket    string    `json:"bucket"`
	Role      once.Role `json:"role"`
	Claims    int       `json:"claims"`
	Unwritten int       `json:"unwritten"` // claims and settlements that are not in the store yet
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

func (b *claimBucket) onTimer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
}

// advance delivers replies and starts the next store call. The caller holds the lock;
// it must call advance after each event.
func (b *claimBucket) advance() {
	op, wake := b.core.Next(time.Now())
	for _, reply := range b.core.Replies() {
		if answer, ok := b.waiters[reply.Ticket]; ok {
			answer <- reply
			delete(b.waiters, reply.Ticket)
		}
	}
	if op != nil {
		go b.performOp(op, b.storeTimeout)
	}
	if !wake.IsZero() {
		b.timer.Reset(time.Until(wake))
	}
	b.updateRole()
}

// updateRole records and reports a change of this agent's role for the bucket.
func (b *claimBucket) updateRole() {
	role := b.core.Role()
	if role == b.role {
		return
	}
	b.role = role
	vm, _, _ := strings.Cut(b.core.Owner(), ownerSeparator)
	if role == once.Idle {
		b.lostTo, b.lostAt = vm, time.Now()
	}
	b.onRoleChange(role, vm)
}

// performOp performs one store call and processes its result.
func (b *claimBucket) performOp(op *once.Op, storeTimeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	started := time.Now()
	result := callStore(ctx, b.store, op)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeTimeout = nextStoreTimeout(storeTimeout, time.Since(started), result.Failed)
	b.core.Done(time.Now(), result)
	b.advance()
}

// nextStoreTimeout adapts the timeout to the store: a connection without answers is
// abandoned early, and a slow store gets more time.
func nextStoreTimeout(timeout, took time.Duration, failed bool) time.Duration {
	next := storeTimeoutFactor * took
	if failed {
		next = 2 * timeout
	}
	return min(max(next, minStoreTimeout), maxStoreTimeout)
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
