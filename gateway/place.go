package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/membership"
	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
)

const (
	askRepeat   = 15 * time.Millisecond  // datagrams are lost at times; a crossing of a zone takes about 1 ms
	askTimeout  = 60 * time.Millisecond  // a home that says nothing by then and for askGrace is passed over
	askGrace    = 20 * time.Millisecond  // a VM that stood still itself still has to read the answers that came meanwhile
	queueRepeat = 250 * time.Millisecond // a decision about a queued request may have been lost
	maxHomes    = 3                      // asked in turn: the home, the next one if it is silent, and the first again if that one hears it
	maxReplies  = 16                     // held for a request that has not read them yet: one for each copy of its question
)

// placed is the decision about a request, and who made it.
type placed struct {
	placement.Decision
	Home string // VM that decided; this VM if the home was silent
	Own  bool   // decided on this VM's own view alone
}

// reply is the home's answer to an ask or a take.
type reply struct {
	from  string
	ask   *answer
	token *taken
}

// expect registers a request that waits for replies.
func (g *Gateway) expect(seq uint64) chan reply {
	replies := make(chan reply, maxReplies)
	g.pendingMu.Lock()
	defer g.pendingMu.Unlock()
	g.pending[seq] = replies
	return replies
}

func (g *Gateway) unexpect(seq uint64) {
	g.pendingMu.Lock()
	defer g.pendingMu.Unlock()
	delete(g.pending, seq)
}

// deliver hands a reply to the request that waits for it. It reports whether one did.
func (g *Gateway) deliver(seq uint64, r reply) bool {
	g.pendingMu.Lock()
	defer g.pendingMu.Unlock()
	replies, ok := g.pending[seq]
	if !ok {
		return false
	}
	select {
	case replies <- r:
	default: // the request has replies enough
	}
	return true
}

// admit takes a token of the account.
func (g *Gateway) admit(ctx context.Context, account *platform.Account) (ok bool, retryAfter time.Duration, by string) {
	if account == nil || account.Rate <= 0 {
		return true, 0, ""
	}
	for range maxHomes {
		home := g.peers.homeOf(account.Name)
		if home.Name == g.self.Name {
			ok, retryAfter = g.quotas.take(g.now(), account, g.peers.count())
			return ok, retryAfter, home.Name
		}
		token, again := g.takeFrom(ctx, home, account)
		if token != nil {
			return token.OK, token.RetryAfter, home.Name
		}
		if !again {
			break
		}
	}
	if ctx.Err() != nil {
		return false, 0, g.self.Name
	}
	ok, retryAfter = g.ownQuotas.takeOwn(g.now(), account, g.peers.count())
	return ok, retryAfter, g.self.Name
}

// takeFrom asks the home of the account for a token. again says that another VM
// may be its home.
func (g *Gateway) takeFrom(ctx context.Context, home membership.Member, account *platform.Account) (token *taken, again bool) {
	seq := g.nextSeq()
	replies := g.expect(seq)
	defer g.unexpect(seq)
	p := newPatience()
	defer p.stop()
	question := &take{Account: account.Name, Seq: seq}
	g.mesh.send(home.Address, kindTake, question)
	for {
		select {
		case r := <-replies:
			if r.token == nil || r.token.NotHome {
				moved := g.peers.homeOf(account.Name).Name != home.Name
				return nil, moved || r.token != nil && g.isVouched(r.token.Home)
			}
			return r.token, false
		case <-p.again.C:
			g.mesh.send(home.Address, kindTake, question)
			p.again.Reset(askRepeat)
		case <-p.timeout.C:
			if p.extend() {
				continue
			}
			g.suspect(home.Name, "no answer about an account")
			return nil, true
		case <-ctx.Done():
			return nil, false
		}
	}
}

// patience is how long a request waits for a home, and when it asks again.
type patience struct {
	timeout, again *time.Timer
	extended       bool
}

func newPatience() *patience {
	return &patience{timeout: time.NewTimer(askTimeout), again: time.NewTimer(askRepeat)}
}

func (p *patience) stop() {
	p.timeout.Stop()
	p.again.Stop()
}

// extend adds askGrace, once.
func (p *patience) extend() bool {
	was := p.extended
	p.extended = true
	p.timeout.Reset(askGrace)
	return !was
}

// isVouched takes back a home that another VM has heard of lately.
func (g *Gateway) isVouched(home string) bool {
	if home == "" || !g.peers.vouched(home) {
		return false
	}
	g.log.Info("home taken back", zap.String("home", home))
	return true
}

// place asks the home of the service for a slot and waits for its decision. The
// VM decides alone if no home answers.
func (g *Gateway) place(ctx context.Context, service string, a placement.Request) placed {
	replies := g.expect(a.ID.Seq)
	defer g.unexpect(a.ID.Seq)
	for range maxHomes {
		home := g.peers.homeOf(service)
		var send func()
		if home.Name == g.self.Name {
			g.decide(service, g.homes.with(g.now(), service, func(b *placement.Broker) []placement.Decision { return b.Request(g.now(), a) }))
		} else {
			question := &ask{
				Service: service, Seq: a.ID.Seq, Safe: a.Safe, Priority: a.Priority,
				Left: a.Left, Target: a.Target, Bytes: a.Bytes, Tried: a.Tried, Retry: a.Retry, Account: a.Account,
			}
			send = func() { g.mesh.send(home.Address, kindAsk, question) }
			send()
		}
		decision, again := g.await(ctx, service, a, send, home.Name, replies)
		if decision != nil {
			return *decision
		}
		if !again {
			break
		}
	}
	return g.placeAlone(service, a)
}

// await waits for the final decision; repeat sends the question again. Without a
// decision, again says that another VM may be the home.
func (g *Gateway) await(ctx context.Context, service string, a placement.Request, repeat func(), home string, replies chan reply) (decision *placed, again bool) {
	p := newPatience()
	defer p.stop()
	queued := false
	for {
		select {
		case r := <-replies:
			switch {
			case r.ask == nil || r.ask.NotHome && r.from != home:
				continue // of a home that was asked before
			case r.ask.NotHome:
				return nil, g.isVouched(r.ask.Home) || g.peers.homeOf(service).Name != home
			case r.ask.Verdict == placement.Queued:
				queued, p.extended = true, false
				p.timeout.Reset(a.Left)
				p.again.Reset(queueRepeat)
			default:
				d := r.ask
				return &placed{Home: r.from, Decision: placement.Decision{
					ID: a.ID, Verdict: d.Verdict, Server: d.Server, RetryAfter: d.RetryAfter,
					Reason: d.Reason, Waited: d.Waited, Queue: d.Queue, Failing: d.Failing,
				}}, false
			}
		case <-p.again.C:
			if repeat == nil {
				continue // this VM is the home, and loses no message to itself
			}
			repeat()
			if !queued {
				p.again.Reset(askRepeat)
				continue
			}
			p.again.Reset(queueRepeat)
			p.timeout.Reset(queueRepeat / 2)
		case <-p.timeout.C:
			if p.extend() {
				continue
			}
			if repeat != nil {
				g.suspect(home, "no answer about a service")
				g.sendEnd(service, a.ID.Seq, "", placement.Unused, 0, home)
			}
			return nil, repeat != nil
		case <-ctx.Done():
			g.finish(service, a.ID.Seq, "", placement.Unused, 0, home)
			return &placed{Home: home, Decision: placement.Decision{ID: a.ID, Verdict: placement.Refused, Reason: "caller left"}}, false
		}
	}
}

// placeAlone decides on what this VM has seen itself. Retries wait for the home,
// which holds their budget.
func (g *Gateway) placeAlone(service string, a placement.Request) placed {
	ownPlacements.Inc()
	if a.Retry {
		return placed{Home: g.self.Name, Own: true, Decision: placement.Decision{ID: a.ID, Verdict: placement.Refused, Reason: "no home for a retry"}}
	}
	now := g.now()
	var decision placement.Decision
	g.own.with(now, service, func(b *placement.Broker) []placement.Decision {
		for _, d := range b.Request(now, a) {
			if d.ID == a.ID {
				decision = d
			}
		}
		if decision.Verdict == placement.Queued {
			b.Complete(now, a.ID, "", placement.Unused, 0)
			decision = placement.Decision{ID: a.ID, Verdict: placement.Refused, Reason: "no free slot known", RetryAfter: ownRetryAfter}
		}
		return nil
	})
	return placed{Home: g.self.Name, Own: true, Decision: decision}
}

// ownRetryAfter is told to callers while the home of a service changes.
const ownRetryAfter = 300 * time.Millisecond

// finish tells the home, and this VM's own view, how a request ended.
func (g *Gateway) finish(service string, seq uint64, server string, outcome placement.Outcome, took time.Duration, home string) {
	id := placement.RequestID{VM: g.self.Name, Seq: seq}
	now := g.now()
	g.own.with(now, service, func(b *placement.Broker) []placement.Decision {
		b.Complete(now, id, server, outcome, took)
		return nil
	})
	g.sendEnd(service, seq, server, outcome, took, home)
	if current := g.peers.homeOf(service).Name; current != home {
		g.sendEnd(service, seq, server, outcome, took, current)
	}
}

func (g *Gateway) sendEnd(service string, seq uint64, server string, outcome placement.Outcome, took time.Duration, home string) {
	if home == g.self.Name {
		g.end(g.self.Name, &end{Service: service, Seq: seq, Server: server, Outcome: outcome, Took: took})
		return
	}
	if member, ok := g.peers.member(home); ok {
		g.mesh.send(member.Address, kindEnd, &end{Service: service, Seq: seq, Server: server, Outcome: outcome, Took: took})
	}
}

// end takes over the end of a request at the home of its service.
func (g *Gateway) end(vm string, e *end) {
	now := g.now()
	g.decide(e.Service, g.homes.with(now, e.Service, func(b *placement.Broker) []placement.Decision {
		return b.Complete(now, placement.RequestID{VM: vm, Seq: e.Seq}, e.Server, e.Outcome, e.Took)
	}))
}

// decide tells the VMs what a Broker here decided about their requests.
func (g *Gateway) decide(service string, decisions []placement.Decision) {
	for _, d := range decisions {
		a := &answer{
			Seq: d.ID.Seq, Verdict: d.Verdict, Server: d.Server, RetryAfter: d.RetryAfter,
			Reason: d.Reason, Waited: d.Waited, Queue: d.Queue, Failing: d.Failing,
		}
		if d.ID.VM == g.self.Name {
			if !g.deliver(d.ID.Seq, reply{from: g.self.Name, ask: a}) && d.Verdict == placement.Granted {
				g.end(g.self.Name, &end{Service: service, Seq: d.ID.Seq, Outcome: placement.Unused})
			}
			continue
		}
		if member, ok := g.peers.member(d.ID.VM); ok {
			g.mesh.send(member.Address, kindAnswer, a)
		}
	}
}

func (g *Gateway) decideAll(decisions map[string][]placement.Decision) {
	for service, list := range decisions {
		g.decide(service, list)
	}
}

func (g *Gateway) suspect(home, why string) {
	if g.peers.suspect(g.now(), home) {
		g.log.Warn("home suspected", zap.String("home", home), zap.String("reason", why))
	}
}
