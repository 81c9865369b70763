package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/metastore"
	"lacewingmount.dev/once"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

const (
	ownerSeparator     = "/"                    // between the VM and the run of its agent in an owner's name
	ownerCallTimeout   = 600 * time.Millisecond // for one agent; then the next one takes the bucket over
	ownerSuspectTime   = 3 * time.Second        // in which an agent that did not answer is asked last
	ownerTries         = 3                      // agents that are asked
	ownerDecideTimeout = 3 * time.Second        // the caller has given up by then
	settlePoll         = 10 * time.Millisecond  // while a bucket is taken over
)

// claims finds the owner of each protected request's bucket, which may be this agent.
type claims struct {
	vm      string
	peers   *peers
	events  *timeline.Ring
	log     *zap.Logger
	buckets [once.BucketCount]*claimBucket

	mu       sync.Mutex
	suspects map[string]time.Time // VMs whose agent did not answer, until when
	probed   [once.BucketCount]time.Time
}

func newClaims(vm string, store metastore.Store, peers *peers, events *timeline.Ring, log *zap.Logger) *claims {
	c := &claims{vm: vm, peers: peers, events: events, log: log, suspects: map[string]time.Time{}}
	self := vm + ownerSeparator + uuid.NewString()
	for i := range c.buckets {
		name := bucketName(i)
		c.buckets[i] = newClaimBucket(name, self, store, func(role once.Role, owner string) { c.roleChanged(name, role, owner) })
	}
	return c
}

func bucketName(i int) string { return fmt.Sprintf("%02d", i) }

func (c *claims) roleChanged(bucket string, role once.Role, owner string) {
	switch role {
	case once.Owning:
		c.events.Add(timeline.Event{Kind: timeline.KindBucketAcquired, Reason: "bucket " + bucket})
		c.log.Info("bucket taken", zap.String("bucket", bucket))
	case once.Idle:
		c.events.Add(timeline.Event{Kind: timeline.KindBucketLost, Reason: "bucket " + bucket + " to " + owner})
		c.log.Info("bucket lost", zap.String("bucket", bucket), zap.String("to", owner))
	}
}

// handle registers the methods about claims.
func (c *claims) handle(handlers *wire.Handlers) {
	wire.Handle(handlers, wire.MethodClaim, c.claim)
	wire.Handle(handlers, wire.MethodSettle, c.settle)
	wire.Handle(handlers, wire.MethodOwnerClaim, c.ownerClaim)
	wire.Handle(handlers, wire.MethodOwnerSettle, func(ctx context.Context, request wire.OwnerSettleRequest) (wire.SettleAnswer, error) {
		return wire.SettleAnswer{}, c.ownerSettle(ctx, request)
	})
}

const leaveTimeout = 2 * time.Second

// shutdown writes what is in memory only, within leaveTimeout.
func (c *claims) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	c.leave(ctx)
}

// serveStatus answers GET /claims of the admin interface.
func (c *claims) serveStatus(request echo.Context) error {
	list := make([]BucketStatus, 0, len(c.buckets))
	for i, bucket := range c.buckets {
		list = append(list, bucket.status(bucketName(i)))
	}
	return request.JSON(http.StatusOK, list)
}

// leave writes the ends that are still in memory.
func (c *claims) leave(ctx context.Context) {
	var all sync.WaitGroup
	for _, bucket := range c.buckets {
		all.Go(func() { bucket.leave(ctx) })
	}
	all.Wait()
}

// claim answers wire.MethodClaim: it asks the agents that may own the bucket in turn.
func (c *claims) claim(ctx context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error) {
	claim, err := newClaim(request)
	if err != nil {
		return wire.ClaimAnswer{}, err
	}
	answer := c.askOwners(ctx, once.BucketOf(claim.ID, once.BucketCount), wire.OwnerClaimRequest{Claim: request})
	metrics.GetOrCreateCounter(fmt.Sprintf(`lacewing_claims_total{state=%q}`, answer.State)).Inc()
	switch answer.State {
	case wire.ClaimInDoubt:
		return wire.ClaimAnswer{}, errs.New(errs.Ambiguous, "the claim may be recorded", "try again with the same key")
	case wire.ClaimAbandoned:
		return wire.ClaimAnswer{}, errs.New(errs.Unavailable, "the attempt was given up", "try again with the same key")
	case wire.ClaimRefused, wire.ClaimNotOwner:
		return wire.ClaimAnswer{}, errs.New(errs.Unavailable, "the claim cannot be recorded", "check the platform's store")
	}
	return answer, nil
}

// askOwners asks the agents that may own a bucket until one has an answer. An
// agent that was suspected is asked in any case: it may still own the bucket and
// know the claim, also while it cannot write.
func (c *claims) askOwners(ctx context.Context, bucket int, request wire.OwnerClaimRequest) wire.ClaimAnswer {
	last, probing := wire.ClaimAnswer{State: wire.ClaimRefused}, true
	for _, member := range c.candidates(bucket) {
		if !probing && !c.suspected(member) {
			continue
		}
		answer, err := c.askOwner(ctx, member, request)
		switch {
		case err != nil:
			last.State = wire.ClaimInDoubt
		case answer.State == wire.ClaimRefused:
			if probing = probing && c.mayProbe(bucket); probing {
				c.suspect(member) // it may be cut off from the store
			}
		case answer.State != wire.ClaimNotOwner:
			c.trust(member)
			return answer
		}
	}
	return last
}

func (c *claims) askOwner(ctx context.Context, member membership.Member, request wire.OwnerClaimRequest) (wire.ClaimAnswer, error) {
	if member.Name == c.vm {
		return c.ownerClaim(ctx, request)
	}
	return callOwner[wire.ClaimAnswer](ctx, c, member, wire.MethodOwnerClaim, request)
}

// mayProbe limits how often another agent is asked to take a bucket over whose
// owner cannot write, since in an outage of the store no other one can either.
func (c *claims) mayProbe(bucket int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.probed[bucket]) < ownerSuspectTime {
		return false
	}
	c.probed[bucket] = time.Now()
	return true
}

// settle answers wire.MethodSettle.
func (c *claims) settle(ctx context.Context, request wire.SettleRequest) (wire.SettleAnswer, error) {
	claim, err := newClaim(request.Claim)
	if err != nil {
		return wire.SettleAnswer{}, err
	}
	for _, member := range c.candidates(once.BucketOf(claim.ID, once.BucketCount)) {
		if member.Name == c.vm {
			err = c.ownerSettle(ctx, wire.OwnerSettleRequest{Settle: request})
		} else {
			_, err = callOwner[wire.SettleAnswer](ctx, c, member, wire.MethodOwnerSettle, wire.OwnerSettleRequest{Settle: request})
		}
		if err == nil {
			return wire.SettleAnswer{}, nil
		}
	}
	return wire.SettleAnswer{}, errs.Wrap(err, errs.Unavailable, "no agent owns the bucket of the claim", "try again")
}

// callOwner calls another agent and suspects it if there is no answer.
func callOwner[A any](ctx context.Context, c *claims, member membership.Member, method string, question any) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	var answer A
	err := c.peers.client(member).Call(ctx, method, question, &answer)
	if kind := errs.KindOf(err); kind == errs.Unavailable || kind == errs.Ambiguous {
		c.suspect(member)
	}
	return answer, err
}

// candidates returns the agents to ask, the bucket's home first unless it is suspected.
func (c *claims) candidates(bucket int) []membership.Member {
	ranked := membership.Rank(c.peers.inService(), "claims/"+strconv.Itoa(bucket))
	if len(ranked) == 0 {
		return []membership.Member{{Name: c.vm}} // the list of VMs is not known yet; the store fences owners
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var trusted, suspected []membership.Member
	for _, member := range ranked {
		if time.Now().Before(c.suspects[member.Name]) {
			suspected = append(suspected, member)
		} else {
			trusted = append(trusted, member)
		}
	}
	ordered := append(trusted, suspected...)
	return ordered[:min(len(ordered), ownerTries)]
}

func (c *claims) suspect(member membership.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[member.Name] = time.Now().Add(ownerSuspectTime)
}

func (c *claims) suspected(member membership.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.suspects[member.Name])
}

func (c *claims) trust(member membership.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.suspects, member.Name)
}

// ownerClaim answers wire.MethodOwnerClaim. It takes the bucket over unless
// another agent did so a short time ago and answers.
func (c *claims) ownerClaim(ctx context.Context, request wire.OwnerClaimRequest) (wire.ClaimAnswer, error) {
	claim, err := newClaim(request.Claim)
	if err != nil {
		return wire.ClaimAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, ownerDecideTimeout)
	defer cancel()
	bucket := c.buckets[once.BucketOf(claim.ID, once.BucketCount)]
	const rounds = 2 // the first may find out that the bucket was lost
	for range rounds {
		if owner, ok := c.otherOwner(bucket, request.Handed); ok {
			handed := wire.OwnerClaimRequest{Claim: request.Claim, Handed: true}
			if answer, err := callOwner[wire.ClaimAnswer](ctx, c, owner, wire.MethodOwnerClaim, handed); err == nil {
				return answer, nil
			}
		}
		answer, err := newClaimAnswer(bucket.claim(ctx, claim))
		if err != nil || answer.State != wire.ClaimNotOwner {
			return answer, err
		}
	}
	return wire.ClaimAnswer{State: wire.ClaimNotOwner}, nil
}

// ownerSettle answers wire.MethodOwnerSettle. It takes the bucket over like ownerClaim.
func (c *claims) ownerSettle(ctx context.Context, request wire.OwnerSettleRequest) error {
	end, err := newSettlement(request.Settle)
	if err != nil {
		return err
	}
	bucket := c.buckets[once.BucketOf(end.ID, once.BucketCount)]
	if owner, ok := c.otherOwner(bucket, request.Handed); ok {
		handed := wire.OwnerSettleRequest{Settle: request.Settle, Handed: true}
		if _, err := callOwner[wire.SettleAnswer](ctx, c, owner, wire.MethodOwnerSettle, handed); err == nil {
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	for !bucket.settle(end) {
		if ctx.Err() != nil {
			return errs.New(errs.Conflict, "the bucket of the claim has no owner here", "try again")
		}
		daemon.Sleep(ctx, settlePoll)
	}
	return nil
}

// otherOwner returns the agent to which a claim is handed on.
func (c *claims) otherOwner(bucket *claimBucket, handed bool) (membership.Member, bool) {
	vm, ok := bucket.takenBy()
	if !ok || handed || vm == c.vm {
		return membership.Member{}, false
	}
	for _, member := range c.peers.inService() {
		if member.Name == vm {
			return member, true
		}
	}
	return membership.Member{}, false
}

func newClaim(request wire.ClaimRequest) (once.Claim, error) {
	stamp, err := once.ParseKey(request.Key)
	if err != nil {
		return once.Claim{}, err
	}
	id, err := once.NewID(request.Account, request.Route, request.Key)
	if err != nil {
		return once.Claim{}, err
	}
	return once.Claim{ID: id, Timestamp: stamp, Digest: once.NewHash64(request.Digest), Attempt: once.NewHash64(request.Attempt)}, nil
}

func newSettlement(request wire.SettleRequest) (once.Settlement, error) {
	claim, err := newClaim(request.Claim)
	if err != nil {
		return once.Settlement{}, err
	}
	end := once.Settlement{ID: claim.ID, Timestamp: claim.Timestamp, Digest: claim.Digest, Attempt: claim.Attempt, NotRun: request.NotRun}
	if request.Kept != nil {
		end.Kept, err = json.Marshal(request.Kept)
	}
	return end, err
}

func newClaimAnswer(reply once.Reply) (wire.ClaimAnswer, error) {
	answer := wire.ClaimAnswer{State: wire.ClaimState(reply.Verdict)}
	if len(reply.Kept) > 0 {
		answer.Kept = new(wire.KeptAnswer)
		if err := json.Unmarshal(reply.Kept, answer.Kept); err != nil {
			return wire.ClaimAnswer{}, errs.Wrap(err, errs.Invalid, "a kept answer cannot be read", "run the same version on all VMs")
		}
	}
	return answer, nil
}
