package gateway

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lacewingmount.dev/membership"
	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
)

const (
	resendInterval       = 15 * time.Millisecond  // between copies of a message to an owner; datagrams can be lost, and crossing between availability zones takes about 1 ms
	replyTimeout         = 60 * time.Millisecond  // an owner that has not replied by then and for replyGrace more is suspected
	replyGrace           = 20 * time.Millisecond  // lets a VM that was paused itself read the replies that arrived meanwhile
	queuedResendInterval = 250 * time.Millisecond // the first one for a queued request; the decision may have been lost
	maxQueuedInterval    = time.Second            // between later ones, each twice as long as the one before; thousands of retries may be queued
	maxOwnerAttempts     = 3                      // the owner, the next one if it does not reply, and the first one again if the next one still receives its messages
	replyBuffer          = 16                     // unread replies kept per request; each copy of its message may get one
)

// placementResult is the decision about a request, with the VM that made it.
type placementResult struct {
	placement.Decision
	Owner string // VM that decided; this VM if no owner replied
	Local bool   // decided by this VM from its own view, without the owner
}

// reply is the reply of an owner: to a placementRequest (slot) or to a take (token).
type reply struct {
	from  string
	slot  *placementReply
	token *takeReply
}

// addPending registers a request that waits for replies and returns their channel.
func (g *Gateway) addPending(seq uint64) chan reply {
	replies := make(chan reply, replyBuffer)
	g.pendingMu.Lock()
	defer g.pendingMu.Unlock()
	g.pending[seq] = replies
	return replies
}

// removePending ends the registration; later replies are not delivered.
func (g *Gateway) removePending(seq uint64) {
	g.pendingMu.Lock()
	defer g.pendingMu.Unlock()
	delete(g.pending, seq)
}

// deliver passes a reply to the request that waits for it. It reports whether one was
// waiting.
func (g *Gateway) deliver(seq uint64, r reply) bool {
	g.pendingMu.Lock()
	defer g.pendingMu.Unlock()
	replies, ok := g.pending[seq]
	if !ok {
		return false
	}
	select {
	case replies <- r:
	default: // the buffer is full; the request has enough replies
	}
	return true
}

// admit takes a token of the account: from its owner, or from this VM's own part of
// the rate if no owner replies or all VMs stop. rank is that of the route, which orders the
// requests of one account. decidedBy is the VM that decided.
func (g *Gateway) admit(ctx context.Context, account *platform.Account, rank int) (ok bool, retryAfter time.Duration, decidedBy string) {
	if account == nil || account.Rate <= 0 {
		return true, 0, ""
	}
	for range maxOwnerAttempts {
		if !g.peers.hasOwners() {
			break
		}
		owner := g.peers.ownerOf(account.Name)
		if owner.Name == g.self.Name {
			now := g.now()
			var level float64
			ok, retryAfter, level = g.quotas.take(now, account, g.peers.count(), &rank, g.quotas.observation(now, account.Name, owner))
			g.quotas.recordReply(now, account.Name, owner, level)
			return ok, retryAfter, owner.Name
		}
		token, retry := g.requestToken(ctx, owner, account, rank)
		if token != nil {
			return token.OK, token.RetryAfter, owner.Name
		}
		if !retry {
			break
		}
	}
	if ctx.Err() != nil {
		return false, 0, g.self.Name
	}
	ok, retryAfter = g.localQuotas.takeLocal(g.now(), account, g.peers.count(), rank)
	return ok, retryAfter, g.self.Name
}

// requestToken asks the owner of the account for a token. Without a reply, retry
// reports whether to ask the present owner of the account.
func (g *Gateway) requestToken(ctx context.Context, owner membership.Member, account *platform.Account, rank int) (token *takeReply, retry bool) {
	seq := g.nextSeq()
	replies := g.addPending(seq)
	defer g.removePending(seq)
	timer := newReplyTimer()
	defer timer.stop()
	message := &take{Account: account.Name, Seq: seq, Seen: g.quotas.observation(g.now(), account.Name, owner), Rank: &rank}
	g.mesh.send(owner.Address, kindTake, message)
	for {
		select {
		case r := <-replies:
			if r.token == nil || r.token.NotOwner {
				moved := g.peers.ownerOf(account.Name).Name != owner.Name
				return nil, moved || r.token != nil && g.restoreOwner(r.token.Owner)
			}
			if r.token.Level != nil {
				g.quotas.recordReply(g.now(), account.Name, owner, *r.token.Level)
			}
			return r.token, false
		case <-timer.retry.C:
			g.mesh.send(owner.Address, kindTake, message)
			timer.retry.Reset(resendInterval)
		case <-timer.timeout.C:
			if timer.extend() {
				continue
			}
			g.suspect(owner.Name, "no answer about an account")
			return nil, true
		case <-ctx.Done():
			return nil, false
		}
	}
}

// replyTimer holds the timers of a request that waits for an owner's reply: the end of
// the wait, and the time to send the message again.
type replyTimer struct {
	timeout, retry *time.Timer
	extended       bool
}

func newReplyTimer() *replyTimer {
	return &replyTimer{timeout: time.NewTimer(replyTimeout), retry: time.NewTimer(resendInterval)}
}

func (t *replyTimer) stop() {
	t.timeout.Stop()
	t.retry.Stop()
}

// extend extends the wait by replyGrace. It returns false if it was extended before.
func (t *replyTimer) extend() bool {
	wasExtended := t.extended
	t.extended = true
	t.timeout.Reset(replyGrace)
	return !wasExtended
}

// restoreOwner clears the suspicion of an owner whose messages another VM has received
// recently. It reports whether the owner was suspected.
func (g *Gateway) restoreOwner(owner string) bool {
	if owner == "" || !g.peers.clearSuspicion(owner) {
		return false
	}
	g.log.Info("home taken back", zap.String("home", owner))
	return true
}

// place asks the owner of the service for a slot and waits for its decision. This VM
// decides by itself if no owner replies.
func (g *Gateway) place(ctx context.Context, service string, slotRequest placement.Request) placementResult {
	replies := g.addPending(slotRequest.ID.Seq)
	defer g.removePending(slotRequest.ID.Seq)
	began := time.Now()
	for range maxOwnerAttempts {
		owner := g.peers.ownerOf(service)
		var send func()
		if owner.Name == g.self.Name {
			g.sendDecisions(service, g.owned.withBroker(g.now(), service, func(b *placement.Broker) []placement.Decision {
				return b.Request(g.now(), slotRequest.After(time.Since(began)))
			}))
		} else {
			send = func() {
				r := slotRequest.After(time.Since(began)) // an owner that has just started takes a repeated message for the first one
				g.mesh.send(owner.Address, kindPlacementRequest, &placementRequest{
					Service: service, Seq: r.ID.Seq, Safe: r.Safe, Priority: r.Priority, Left: r.Left, Target: r.Target,
					Bytes: r.Bytes, Tried: r.Tried, Only: r.Only, Retry: r.Retry, Account: r.Account,
					Limits: g.unconfirmedLimits(service, owner), RouteRank: &r.RouteRank,
				})
			}
			send()
		}
		decision, retry := g.awaitDecision(ctx, service, slotRequest.After(time.Since(began)), send, owner.Name, replies)
		if decision != nil {
			return *decision
		}
		if !retry {
			break
		}
	}
	return g.placeLocally(service, slotRequest)
}

// awaitDecision waits for the final decision. repeat sends the placementRequest again;
// it is nil if this VM is the owner. Without a decision, retry reports whether to ask
// the present owner of the service.
func (g *Gateway) awaitDecision(ctx context.Context, service string, slotRequest placement.Request, repeat func(), owner string, replies chan reply) (decision *placementResult, retry bool) {
	timer := newReplyTimer()
	defer timer.stop()
	queued := false
	queuedInterval := queuedResendInterval
	for {
		select {
		case r := <-replies:
			switch {
			case r.slot == nil || r.slot.NotOwner && r.from != owner:
				continue // from an owner that was asked before
			case r.slot.NotOwner:
				return nil, g.restoreOwner(r.slot.Owner) || g.peers.ownerOf(service).Name != owner
			case r.slot.Verdict == placement.Queued:
				queued, timer.extended = true, false
				timer.timeout.Reset(slotRequest.Left)
				timer.retry.Reset(queuedInterval)
			default:
				d := r.slot
				return &placementResult{Owner: r.from, Decision: placement.Decision{
					ID: slotRequest.ID, Verdict: d.Verdict, Server: d.Server, RetryAfter: d.RetryAfter,
					Reason: d.Reason, Waited: d.Waited, Queue: d.Queue, Failing: d.Failing, Limit: valueOf(d.Limit), AtLimit: d.AtLimit,
				}}, false
			}
		case <-timer.retry.C:
			if repeat == nil {
				continue // this VM is the owner, and messages to itself are not lost
			}
			repeat()
			if !queued {
				timer.retry.Reset(resendInterval)
				continue
			}
			queuedInterval = min(maxQueuedInterval, 2*queuedInterval)
			timer.retry.Reset(queuedInterval)
			timer.timeout.Reset(queuedResendInterval / 2)
		case <-timer.timeout.C:
			if timer.extend() {
				continue
			}
			if repeat != nil {
				g.suspect(owner, "no answer about a service")
				g.sendRelease(service, slotRequest.ID.Seq, owner, ending{outcome: placement.Unused})
			}
			return nil, repeat != nil
		case <-ctx.Done():
			g.complete(service, slotRequest.ID.Seq, owner, ending{outcome: placement.Unused})
			refused := placement.Decision{ID: slotRequest.ID, Verdict: placement.Refused, Reason: "caller left"}
			if errors.Is(context.Cause(ctx), errStopping) {
				refused.Reason, refused.RetryAfter = errStopping.Error(), stoppingRetryAfter
			}
			return &placementResult{Owner: owner, Decision: refused}, false
		}
	}
}

// placeLocally decides from this VM's own requests alone. It refuses retries, whose
// budget only the owner knows, and requests that would have to wait in a queue.
func (g *Gateway) placeLocally(service string, slotRequest placement.Request) placementResult {
	localPlacements.Inc()
	if slotRequest.Retry {
		return placementResult{Owner: g.self.Name, Local: true, Decision: placement.Decision{ID: slotRequest.ID, Verdict: placement.Refused, Reason: "no decision from the owner of the service, which holds the retry budget"}}
	}
	now := g.now()
	var decision placement.Decision
	g.localBrokers.withBroker(now, service, func(b *placement.Broker) []placement.Decision {
		for _, d := range b.Request(now, slotRequest) {
			if d.ID == slotRequest.ID {
				decision = d
			}
		}
		if decision.Verdict == placement.Queued {
			b.Complete(now, slotRequest.ID, "", placement.Unused, 0)
			decision = placement.Decision{ID: slotRequest.ID, Verdict: placement.Refused, Reason: "no decision from the owner of the service, and this VM knows no free slot", RetryAfter: localRetryAfter}
		}
		return nil
	})
	return placementResult{Owner: g.self.Name, Local: true, Decision: decision}
}

// localRetryAfter is the retry time for callers while the owner of a service changes.
const localRetryAfter = 300 * time.Millisecond

// complete reports how a request ended to this VM's own Broker, to the VM that decided
// about it, and to the present owner of the service.
func (g *Gateway) complete(service string, seq uint64, owner string, e ending) {
	id := placement.RequestID{VM: g.self.Name, Seq: seq}
	now := g.now()
	g.localBrokers.withBroker(now, service, func(b *placement.Broker) []placement.Decision {
		e.completeAt(b, now, id)
		return nil
	})
	g.sendRelease(service, seq, owner, e)
	if current := g.peers.ownerOf(service).Name; current != owner {
		g.sendRelease(service, seq, current, e)
	}
}

// sendRelease tells the owner that a request has ended, so that it releases the slot.
func (g *Gateway) sendRelease(service string, seq uint64, owner string, e ending) {
	m := &release{Service: service, Seq: seq, Server: e.server, Outcome: e.outcome, Took: e.took, Limit: e.limit, NoLimit: e.noLimit}
	if owner == g.self.Name {
		g.release(g.self.Name, m)
		return
	}
	if member, ok := g.peers.member(owner); ok {
		g.mesh.send(member.Address, kindRelease, m)
	}
}

// release ends a request at this VM's Broker of its service.
func (g *Gateway) release(vm string, m *release) {
	now := g.now()
	e := ending{server: m.Server, outcome: m.Outcome, took: m.Took, limit: m.Limit, noLimit: m.NoLimit}
	g.sendDecisions(m.Service, g.owned.withBroker(now, m.Service, func(b *placement.Broker) []placement.Decision {
		return e.completeAt(b, now, placement.RequestID{VM: vm, Seq: m.Seq})
	}))
}

// sendDecisions sends the decisions of this VM's Broker to the VMs of the requests.
func (g *Gateway) sendDecisions(service string, decisions []placement.Decision) {
	for _, d := range decisions {
		m := &placementReply{
			Seq: d.ID.Seq, Verdict: d.Verdict, Server: d.Server, RetryAfter: d.RetryAfter,
			Reason: d.Reason, Waited: d.Waited, Queue: d.Queue, Failing: d.Failing, AtLimit: d.AtLimit,
		}
		if d.Limit > 0 {
			m.Limit = &d.Limit
		}
		if d.ID.VM == g.self.Name {
			if !g.deliver(d.ID.Seq, reply{from: g.self.Name, slot: m}) && d.Verdict == placement.Granted {
				g.release(g.self.Name, &release{Service: service, Seq: d.ID.Seq, Outcome: placement.Unused})
			}
			continue
		}
		if member, ok := g.peers.member(d.ID.VM); ok {
			g.mesh.send(member.Address, kindPlacementReply, m)
		}
	}
}

// valueOf returns a limit, or 0 if there is none.
func valueOf(limit *float64) float64 {
	if limit == nil {
		return 0
	}
	return *limit
}

func (g *Gateway) sendAllDecisions(decisions map[string][]placement.Decision) {
	for service, list := range decisions {
		g.sendDecisions(service, list)
	}
}

func (g *Gateway) suspect(owner, why string) {
	if g.peers.suspect(g.now(), owner) {
		g.log.Warn("home suspected", zap.String("home", owner), zap.String("reason", why))
	}
}

var localPlacements = metrics.GetOrCreateCounter("lacewing_gateway_placed_alone_total")
