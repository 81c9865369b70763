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

// lendingInterval is the time between two checks for exchanges that are due.
const lendingInterval = 50 * time.Millisecond

// lending runs the lender and the owner of client accounts' tokens of one VM, and
// sends their messages.
type lending struct {
	peers  *peers
	state  *state
	log    *zap.Logger
	events *timeline.Ring
	timing limit.Timing
	self   limit.VM
	now    func() time.Time

	mu         sync.Mutex
	lender     *limit.Lender
	owner      *limit.Owner
	members    []membership.Member
	document   *config.Document
	superseded chan struct{} // contains one value while the ledger must be read again
}

func newLending(peers *peers, state *state, log *zap.Logger, events *timeline.Ring) *lending {
	self := limit.VM{Name: peers.self, Incarnation: peers.incarnation()}
	return &lending{
		peers: peers, state: state, log: log, events: events, timing: limit.DefaultTiming, self: self,
		now:    daemon.Monotonic,
		lender: limit.NewLender(limit.DefaultTiming, self), owner: limit.NewOwner(limit.DefaultTiming, self.Incarnation),
		superseded: make(chan struct{}, 1),
	}
}

// run sends exchanges when they are due until ctx ends.
func (l *lending) run(ctx context.Context) {
	ticker := time.NewTicker(lendingInterval)
	defer ticker.Stop()
	for {
		for _, out := range l.dueExchanges() {
			go func() { _, _ = l.send(ctx, out) }()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// dueExchanges applies changes of the configuration and of the VMs in service and
// returns the exchanges to send.
func (l *lending) dueExchanges() []limit.Outgoing {
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
		l.owner.SetQuotas(quotas, l.now())
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

// send performs an exchange and passes the reply, or the failure, to the lender.
func (l *lending) send(ctx context.Context, out limit.Outgoing) (limit.Reply, error) {
	reply, err := l.call(ctx, out)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.lender.Fail(out, l.now())
		return reply, err
	}
	if l.lender.Complete(out, reply, l.now()) {
		l.recordSuperseded(out.To)
	}
	return reply, nil
}

// call sends an exchange to the owner, which may be this VM, and returns the reply.
func (l *lending) call(ctx context.Context, out limit.Outgoing) (limit.Reply, error) {
	if out.To == l.self.Name {
		return l.exchange(ctx, out.Exchange)
	}
	var reply limit.Reply
	member, ok := l.peers.member(out.To)
	if !ok {
		return reply, errs.New(errs.Unavailable, out.To+" is not in the list of VMs", "none; other VMs become the owners of its accounts")
	}
	ctx, cancel := context.WithTimeout(ctx, l.timing.TokenTTL)
	defer cancel()
	err := l.peers.client(member).Call(ctx, wire.MethodLend, out.Exchange, &reply)
	return reply, err
}

// recordSuperseded reports that an owner's newer ledger contradicts this VM's shares,
// and requests that the ledger is read again.
func (l *lending) recordSuperseded(owner string) {
	l.log.Warn("shares are no longer held", zap.String("home", owner))
	l.events.Add(timeline.Event{Kind: timeline.KindSharesLost, Reason: "contradicted by the newer ledger of " + owner})
	select {
	case l.superseded <- struct{}{}:
	default:
	}
}

// exchange handles wire.MethodLend as the owner.
func (l *lending) exchange(_ context.Context, m limit.Exchange) (limit.Reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner.Handle(m, l.now()), nil
}

// tokens handles wire.MethodTokens: it forwards the entry's token request to the owner
// of the client account.
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
		return wire.TokensAnswer{}, errOwnerChanged
	}
	reply, err := l.send(ctx, out)
	if err != nil {
		return wire.TokensAnswer{}, err
	}
	if len(reply.Grants) != 1 {
		return wire.TokensAnswer{}, errOwnerChanged
	}
	return wire.TokensAnswer{Source: source, Grant: &reply.Grants[0]}, nil
}

var errOwnerChanged = errs.New(errs.Unavailable, "the home of the account has changed", "ask again")

// source returns the source of the account's tokens. If it is not known yet, source
// sends an exchange to the owner first.
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

// hasLeaseFrom reports whether this VM may use a lease of the named VM's shares.
func (l *lending) hasLeaseFrom(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner.HasLeaseFrom(name, l.now())
}

// leave stops leasing this VM's shares and granting tokens, and waits until no owner
// uses the shares any more or ctx ends.
func (l *lending) leave(ctx context.Context) {
	l.mu.Lock()
	l.lender.Leave()
	l.owner.Leave(l.now())
	l.mu.Unlock()
	for ctx.Err() == nil {
		l.mu.Lock()
		wait := l.lender.FreeAt().Sub(l.now())
		l.mu.Unlock()
		if wait <= 0 {
			return
		}
		daemon.Sleep(ctx, min(wait, lendingInterval))
	}
}
