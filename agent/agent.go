package agent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/limit"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/metastore"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// Settings are the static settings of one agent.
type Settings struct {
	VM       string `yaml:"vm" validate:"required"`
	Zone     string `yaml:"zone" validate:"required"`
	Listen   string `yaml:"listen" validate:"hostname_port"` // calls from the entry and other agents
	Admin    string `yaml:"admin" validate:"hostname_port"`
	Platform string `yaml:"platform" validate:"http_url"`
	Profile  bool   `yaml:"profile"` // serves runtime profiles on the admin address

	// PeerAddresses replaces the address of some VMs in the platform's list,
	// by VM name; for VMs that are reached through a network link of their own.
	PeerAddresses map[string]string `yaml:"peer_addresses" validate:"dive,hostname_port"`

	// Seeds are agents to ask when the platform's list cannot be had at the start.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`

	// Operators fixes the public key of a partner's operators, by partner. Without
	// it the key in the first document that the VM sees is trusted.
	Operators map[string]string `yaml:"operators" validate:"dive,hexadecimal,len=64"`

	// ReclaimAfter is how long a VM must have been gone before others use its
	// shares of the rates; 0 for limit.DefaultReclaimAfter.
	ReclaimAfter daemon.Duration `yaml:"reclaim_after" validate:"min=0"`
}

func (s Settings) reclaimAfter() time.Duration {
	if s.ReclaimAfter == 0 {
		return limit.DefaultReclaimAfter
	}
	return s.ReclaimAfter.Std()
}

// member returns this VM as its peers are told of it.
func (s Settings) member() membership.Member {
	return membership.Member{Name: s.VM, Zone: s.Zone, Address: s.Listen}
}

// Agent is the control plane of one VM.
type Agent struct {
	settings   Settings
	log        *zap.Logger
	events     *timeline.Ring
	admin      *daemon.Admin
	now        func() time.Time
	started    time.Time
	background context.Context // ends when the agent has stopped
	end        context.CancelFunc
	sharing    context.Context // ends when the shares of the rates are returned
	endSharing context.CancelFunc
	stopping   atomic.Bool
	listKnown  atomic.Bool // the platform's list was had since the start
	store      metastore.Store
	vms        metastore.VMList
	state      *state
	adopter    adopter
	pulling    sync.Mutex // held while a document is fetched from a peer
	authority  *authority
	entry      entryReports
	peers      *peers
	claims     *claims
	lending    *lending
	shares     *shares
	judges     *judges
}

// New returns an agent that uses the given store and list of VMs.
func New(settings Settings, log *zap.Logger, store metastore.Store, vms metastore.VMList) *Agent {
	events := timeline.NewRing(timeline.NewClock(time.Now), settings.VM, "lacewing-agent")
	peers := newPeers(settings.member(), settings.PeerAddresses, events.Clock(), time.Now)
	peers.addSeeds(settings.Seeds)
	background, end := context.WithCancel(context.Background())
	sharing, endSharing := context.WithCancel(background)
	agent := &Agent{
		settings: settings, log: log, events: events, admin: daemon.NewAdmin(events), now: time.Now, started: time.Now(),
		background: background, end: end, sharing: sharing, endSharing: endSharing, store: store, vms: vms,
		state: newState(peers.incarnation()), authority: newAuthority(), peers: peers,
		claims: newClaims(settings.VM, store, peers, events, log),
	}
	agent.judges = newJudges(settings.VM, agent.peers, agent.state, log, events)
	agent.lending = newLending(agent.peers, agent.state, log, events)
	agent.shares = newShares(agent)
	return agent
}

// Run serves until ctx ends, then stops in order.
func (a *Agent) Run(ctx context.Context) error {
	defer a.end()
	if a.settings.Profile {
		a.admin.EnableProfiling()
	}
	a.admin.Router().GET("/claims", a.claims.serveStatus)
	if err := a.admin.Start(a.background, a.settings.Admin); err != nil {
		return err
	}
	listener, err := daemon.Listen(a.background, a.settings.Listen)
	if err != nil {
		return err
	}
	a.start(listener)
	a.events.Add(timeline.Event{Kind: timeline.KindStarted})
	a.log.Info("started", zap.String("listen", a.settings.Listen))
	<-ctx.Done()
	a.stop()
	return nil
}

// start serves calls and begins the agent's own activities.
func (a *Agent) start(listener net.Listener) {
	go a.handlers().Serve(a.background, listener)
	go a.followStore(a.background)
	go a.followMembers(a.background)
	go a.exchangeWithPeers(a.background)
	go a.recordWithdrawals(a.background)
	go a.checkAuthority(a.background)
	go a.lending.run(a.background)
	go a.shares.run(a.sharing)
	go a.judges.run(a.background)
}

func (a *Agent) handlers() *wire.Handlers {
	handlers := wire.NewHandlers(a.events.Clock())
	wire.Handle(handlers, wire.MethodSnapshot, a.snapshot)
	wire.Handle(handlers, wire.MethodReport, a.report)
	wire.Handle(handlers, wire.MethodRestore, a.handBack)
	wire.Handle(handlers, wire.MethodStatus, a.status)
	wire.Handle(handlers, wire.MethodExchange, a.exchange)
	wire.Handle(handlers, wire.MethodDocument, a.document)
	wire.Handle(handlers, wire.MethodChunks, a.chunks)
	wire.Handle(handlers, wire.MethodWithdraw, a.withdraw)
	wire.Handle(handlers, wire.MethodHealth, a.judges.report)
	wire.Handle(handlers, wire.MethodOwnerHealth, a.judges.observe)
	a.claims.handle(handlers)
	wire.Handle(handlers, wire.MethodTokens, a.lending.tokens)
	wire.Handle(handlers, wire.MethodLend, a.lending.exchange)
	wire.Handle(handlers, wire.MethodTransfer, a.shares.receive)
	return handlers
}
