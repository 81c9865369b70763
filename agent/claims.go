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
	ownerSeparator     = "/"                    // between the VM name and the ID of its agent process in an owner's name
	ownerCallTimeout   = 600 * time.Millisecond // of a call to one agent; after it, the next agent takes over the bucket
	suspicionDuration  = 3 * time.Second        // an agent that did not answer is called last for this long
	ownersPerClaim     = 3                      // maximum number of agents that are called for one claim
	ownerClaimTimeout  = 3 * time.Second        // of a claim at the owner; the caller has given up by then
	settlePollInterval = 10 * time.Millisecond  // while the bucket is being taken over
)

// claims routes the claim of each protected request to the owner of its bucket, and
// runs the buckets that this agent owns.
type claims struct {
	vm      string
	peers   *peers
	events  *timeline.Ring
	log     *zap.Logger
	buckets [once.BucketCount]*claimBucket

	mu                sync.Mutex
	suspectedUntil    map[string]time.Time // end of the suspicion of an agent that did not answer, by VM name
	lastTakeoverProbe [once.BucketCount]time.Time
}

func newClaims(vm string, store metastore.Store, peers *peers, events *timeline.Ring, log *zap.Logger) *claims {
	c := &claims{vm: vm, peers: peers, events: events, log: log, suspectedUntil: map[string]time.Time{}}
	self := vm + ownerSeparator + uuid.NewString()
	for i := range c.buckets {
		name := bucketName(i)
		c.buckets[i] = newClaimBucket(name, self, store, func(role once.Role, owner string) { c.roleChanged(name, role, owner) })
	}
	return c
}

func bucketName(i int) string { return fmt.Sprintf("%02d", i) }

// roleChanged logs and reports that this agent became or ceased to be a bucket's owner.
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

// registerHandlers registers the handlers of the claim methods.
func (c *claims) registerHandlers(handlers *wire.Handlers) {
	wire.Handle(handlers, wire.MethodClaim, c.claim)
	wire.Handle(handlers, wire.MethodSettle, c.settle)
	wire.Handle(handlers, wire.MethodOwnerClaim, c.ownerClaim)
	wire.Handle(handlers, wire.MethodOwnerSettle, func(ctx context.Context, request wire.OwnerSettleRequest) (wire.SettleAnswer, error) {
		return wire.SettleAnswer{}, c.ownerSettle(ctx, request)
	})
}

const claimsShutdownTimeout = 2 * time.Second

// shutdown writes the settlements that are only in memory, within claimsShutdownTimeout.
func (c *claims) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), claimsShutdownTimeout)
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

// leave makes all buckets stop granting claims and write their settlements.
func (c *claims) leave(ctx context.Context) {
	var all sync.WaitGroup
	for _, bucket := range c.buckets {
		all.Go(func() { bucket.leave(ctx) })
	}
	all.Wait()
}

// claim handles wire.MethodClaim. It calls the agents that may own the bucket in turn.
func (c *claims) claim(ctx context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error) {
	claim, err := newClaim(request)
	if err != nil {
		return wire.ClaimAnswer{}, err
	}
	answer := c.claimAtOwners(ctx, once.BucketOf(claim.ID, once.BucketCount), wire.OwnerClaimRequest{Claim: request})
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

// claimAtOwners calls the agents that may own a bucket until one returns a decision.
// Suspected agents are always called: such an agent may still own the bucket and have
// the claim in memory even while it cannot write.
func (c *claims) claimAtOwners(ctx context.Context, bucket int, request wire.OwnerClaimRequest) wire.ClaimAnswer {
	fallback, mayProbe := wire.ClaimAnswer{State: wire.ClaimRefused}, true
	for _, member := range c.candidates(bucket) {
		if !mayProbe && !c.isSuspected(member) {
			continue
		}
		answer, err := c.claimAtOwner(ctx, member, request)
		switch {
		case err != nil:
			fallback.State = wire.ClaimInDoubt
		case answer.State == wire.ClaimRefused:
			if mayProbe = mayProbe && c.allowTakeoverProbe(bucket); mayProbe {
				c.suspect(member) // it may be partitioned from the store
			}
		case answer.State != wire.ClaimNotOwner:
			c.clearSuspicion(member)
			return answer
		}
	}
	return fallback
}

func (c *claims) claimAtOwner(ctx context.Context, member membership.Member, request wire.OwnerClaimRequest) (wire.ClaimAnswer, error) {
	if member.Name == c.vm {
		return c.ownerClaim(ctx, request)
	}
	return callOwner[wire.ClaimAnswer](ctx, c, member, wire.MethodOwnerClaim, request)
}

// allowTakeoverProbe limits how often other agents are requested to take over a bucket
// whose owner cannot write. In an outage of the store none of them can write either.
func (c *claims) allowTakeoverProbe(bucket int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastTakeoverProbe[bucket]) < suspicionDuration {
		return false
	}
	c.lastTakeoverProbe[bucket] = time.Now()
	return true
}

// settle handles wire.MethodSettle. It calls the agents that may own the bucket in turn.
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

// callOwner calls another agent and marks it as suspected if it does not answer.
func callOwner[A any](ctx context.Context, c *claims, member membership.Member, method string, request any) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	var answer A
	err := c.peers.client(member).Call(ctx, method, request, &answer)
	if kind := errs.KindOf(err); kind == errs.Unavailable || kind == errs.Ambiguous {
		c.suspect(member)
	}
	return answer, err
}

// candidates returns the agents to call, in rendezvous order for the bucket, with the
// suspected ones last.
func (c *claims) candidates(bucket int) []membership.Member {
	ranked := membership.Rank(c.peers.inService(), "claims/"+strconv.Itoa(bucket))
	if len(ranked) == 0 {
		return []membership.Member{{Name: c.vm}} // the list of VMs is not known yet; the store fences off other owners
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var unsuspected, suspected []membership.Member
	for _, member := range ranked {
		if time.Now().Before(c.suspectedUntil[member.Name]) {
			suspected = append(suspected, member)
		} else {
			unsuspected = append(unsuspected, member)
		}
	}
	ordered := append(unsuspected, suspected...)
	return ordered[:min(len(ordered), ownersPerClaim)]
}

func (c *claims) suspect(member membership.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspectedUntil[member.Name] = time.Now().Add(suspicionDuration)
}

func (c *claims) isSuspected(member membership.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.suspectedUntil[member.Name])
}

func (c *claims) clearSuspicion(member membership.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.suspectedUntil, member.Name)
}

// ownerClaim handles wire.MethodOwnerClaim. It takes over the bucket unless another
// agent did so within the takeoverHoldoff and answers.
func (c *claims) ownerClaim(ctx context.Context, request wire.OwnerClaimRequest) (wire.ClaimAnswer, error) {
	claim, err := newClaim(request.Claim)
	if err != nil {
		return wire.ClaimAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, ownerClaimTimeout)
	defer cancel()
	bucket := c.buckets[once.BucketOf(claim.ID, once.BucketCount)]
	const attempts = 2 // the first may only show that the bucket was lost
	for range attempts {
		if owner, ok := c.forwardTarget(bucket, request.Forwarded); ok {
			forwarded := wire.OwnerClaimRequest{Claim: request.Claim, Forwarded: true}
			if answer, err := callOwner[wire.ClaimAnswer](ctx, c, owner, wire.MethodOwnerClaim, forwarded); err == nil {
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

// ownerSettle handles wire.MethodOwnerSettle. It takes over the bucket under the same
// condition as ownerClaim.
func (c *claims) ownerSettle(ctx context.Context, request wire.OwnerSettleRequest) error {
	settlement, err := newSettlement(request.Settle)
	if err != nil {
		return err
	}
	bucket := c.buckets[once.BucketOf(settlement.ID, once.BucketCount)]
	if owner, ok := c.forwardTarget(bucket, request.Forwarded); ok {
		forwarded := wire.OwnerSettleRequest{Settle: request.Settle, Forwarded: true}
		if _, err := callOwner[wire.SettleAnswer](ctx, c, owner, wire.MethodOwnerSettle, forwarded); err == nil {
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	for !bucket.settle(settlement) {
		if bucket.hasLeft() || ctx.Err() != nil {
			return errs.New(errs.Conflict, "the bucket of the claim has no owner here", "try again")
		}
		daemon.Sleep(ctx, settlePollInterval)
	}
	return nil
}

// forwardTarget returns the agent to forward a request to: the one that took over the
// bucket, unless the request was forwarded already.
func (c *claims) forwardTarget(bucket *claimBucket, forwarded bool) (membership.Member, bool) {
	vm, ok := bucket.recentOwner()
	if !ok || forwarded || vm == c.vm {
		return membership.Member{}, false
	}
	for _, member := range c.peers.inService() {
		if member.Name == vm {
			return member, true
		}
	}
	return membership.Member{}, false
}

// newClaim converts a claim from its wire form. It fails if the key is invalid.
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
	settlement := once.Settlement{ID: claim.ID, Timestamp: claim.Timestamp, Digest: claim.Digest, Attempt: claim.Attempt, NotRun: request.NotRun}
	if request.Kept != nil {
		settlement.Kept, err = json.Marshal(request.Kept)
	}
	return settlement, err
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
