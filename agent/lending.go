package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/config"
	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/limit"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// lendingPeriod is how often the lender looks for exchanges that are due.
const lendingPeriod = 50 * time.Millisecond

// lending runs the lender and the home of one VM.
type lending struct {
	peers  *peers
	state  *state
	log    *zap.Logger
	events *timeline.Ring
	terms  limit.Timing
	self   limit.VM
	now    func() time.Time

	mu         sync.Mutex
	lender     *limit.Lender
	home       *limit.Owner
	members    []membership.Member
	document   *config.Document
	superseded chan struct{} // holds one value while the ledger must be read again
}

func newLending(peers *peers, state *state, log *zap.Logger, events *timeline.Ring) *lending {
	self := limit.VM{Name: peers.self, Incarnation: peers.incarnation()}
	return &lending{
		peers: peers, state: state, log: log, events: events, terms: limit.DefaultTiming, self: self,
		now:    daemon.Monotonic,
		lender: limit.NewLender(limit.DefaultTiming, self), home: limit.NewOwner(limit.DefaultTiming, self.Incarnation),
		superseded: make(chan struct{}, 1),
	}
}

// run lends until ctx ends.
func (l *lending) run(ctx context.Context) {
	ticker := time.NewTicker(lendingPeriod)
	defer ticker.Stop()
	for {
		for _, out := range l.due() {
			go func() { _, _ = l.send(ctx, out) }()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// due takes over what changed in the configuration and the list of VMs and
// returns the exchanges to send.
func (l *lending) due() []limit.Outgoing {
	members := l.peers.inService()
	snapshot, _ := l.state.current()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(members, l.members) {
		l.members = members
		l.lender.SetMembers(members)
	}
	if snapshot.Document != l.document {
		l.document = snapshot.Document
		quotas := quotasOf(snapshot.Document)
		l.home.SetQuotas(quotas, l.now())
		l.lender.SetAccounts(quotas)
	}
	return l.lender.Due(l.now())
}

func quotasOf(document *config.Document) map[string]limit.Quota {
	quotas := map[string]limit.Quota{}
	for _, section := range document.Sections {
		for _, account := range section.Accounts {
			quotas[account.Name] = limit.Quota{Rate: account.Rate, Burst: account.Burst}
		}
	}
	return quotas
}

// send carries an exchange to its home and hands the reply to the lender.
func (l *lending) send(ctx context.Context, out limit.Outgoing) (limit.Reply, error) {
	reply, err := l.call(ctx, out)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.lender.Fail(out, l.now())
		return reply, err
	}
	if l.lender.Complete(out, reply, l.now()) {
		l.noteSuperseded(out.To)
	}
	return reply, nil
}

func (l *lending) call(ctx context.Context, out limit.Outgoing) (limit.Reply, error) {
	if out.To == l.self.Name {
		return l.exchange(ctx, out.Exchange)
	}
	var reply limit.Reply
	member, ok := l.peers.member(out.To)
	if !ok {
		return reply, errs.New(errs.Unavailable, out.To+" is not in the list of VMs", "none; its groups move to other VMs")
	}
	ctx, cancel := context.WithTimeout(ctx, l.terms.TokenTTL)
	defer cancel()
	err := l.peers.client(member).Call(ctx, wire.MethodLend, out.Exchange, &reply)
	return reply, err
}

// noteSuperseded asks for a look at the ledger.
func (l *lending) noteSuperseded(by string) {
	l.log.Warn("shares are no longer held", zap.String("home", by))
	l.events.Add(timeline.Event{Kind: timeline.KindSharesLost, Reason: "denied by " + by})
	select {
	case l.superseded <- struct{}{}:
	default:
	}
}

// exchange answers wire.MethodLend as the home.
func (l *lending) exchange(_ context.Context, m limit.Exchange) (limit.Reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.Handle(m, l.now()), nil
}

// tokens answers wire.MethodTokens: it passes the entry's ask to the home.
func (l *lending) tokens(ctx context.Context, request wire.TokensRequest) (wire.TokensAnswer, error) {
	source, err := l.source(ctx, request.TokenRequest.Account)
	if err != nil {
		return wire.TokensAnswer{}, err
	}
	if source != request.Source {
		return wire.TokensAnswer{Source: source}, nil
	}
	l.mu.Lock()
	out := l.lender.Prepare(limit.GroupOf(request.TokenRequest.Account), []limit.TokenRequest{request.TokenRequest}, l.now())
	moved := l.lender.Source(limit.GroupOf(request.TokenRequest.Account)) != source
	l.mu.Unlock()
	if moved {
		return wire.TokensAnswer{}, errMoved
	}
	reply, err := l.send(ctx, out)
	if err != nil {
		return wire.TokensAnswer{}, err
	}
	if len(reply.Grants) != 1 {
		return wire.TokensAnswer{}, errMoved
	}
	return wire.TokensAnswer{Source: source, Grant: &reply.Grants[0]}, nil
}

var errMoved = errs.New(errs.Unavailable, "the home of the account has changed", "ask again")

// source returns where tokens of the account come from; if the home is not
// known yet, it makes contact first.
func (l *lending) source(ctx context.Context, account string) (limit.Source, error) {
	group := limit.GroupOf(account)
	l.mu.Lock()
	source := l.lender.Source(group)
	var out limit.Outgoing
	if source == 0 {
		out = l.lender.Prepare(group, nil, l.now())
	}
	l.mu.Unlock()
	if source != 0 {
		return source, nil
	}
	if _, err := l.send(ctx, out); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lender.Source(group), nil
}

// lentBy reports whether this VM uses a right of the named VM.
func (l *lending) lentBy(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.HasLeaseFrom(name, l.now())
}

// leave stops lending and being a home, and waits until nothing is lent any more.
func (l *lending) leave(ctx context.Context) {
	l.mu.Lock()
	l.lender.Leave()
	l.home.Leave(l.now())
	l.mu.Unlock()
	for ctx.Err() == nil {
		l.mu.Lock()
		wait := l.lender.FreeAt().Sub(l.now())
		l.mu.Unlock()
		if wait <= 0 {
			return
		}
		daemon.Sleep(ctx, min(wait, lendingPeriod))
	}
}
