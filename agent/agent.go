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
	Listen   string `yaml:"listen" validate:"hostname_port"` // address for calls from the entry and other agents
	Admin    string `yaml:"admin" validate:"hostname_port"`
	Platform string `yaml:"platform" validate:"http_url"`
	Profile  bool   `yaml:"profile"` // serves runtime profiles on the admin address

	// PeerAddresses overrides addresses in the platform's list, by VM name. It is
	// for VMs that are reached through a network link of their own.
	PeerAddresses map[string]string `yaml:"peer_addresses" validate:"dive,hostname_port"`

	// Seeds are the addresses of agents to contact if the platform's list is not
	// available at startup.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`

	// Operators pins the public key of each partner's operators, by partner. Without
	// a pin, the key in the first document that the VM receives is trusted.
	Operators map[string]string `yaml:"operators" validate:"dive,hexadecimal,len=64"`

	// ReclaimAfter is how long a VM must have been absent before its shares of the
	// client accounts' rates are freed; 0 means limit.DefaultReclaimAfter.
	ReclaimAfter daemon.Duration `yaml:"reclaim_after" validate:"min=0"`
}

func (s Settings) reclaimAfter() time.Duration {
	if s.ReclaimAfter == 0 {
		return limit.DefaultReclaimAfter
	}
	return s.ReclaimAfter.Std()
}

// member returns this VM as it is announced to its peers.
func (s Settings) member() membership.Member {
	return membership.Member{Name: s.VM, Zone: s.Zone, Address: s.Listen}
}

// Agent is the control plane of one VM.
type Agent struct {
	settings      Settings
	log           *zap.Logger
	events        *timeline.Ring
	admin         *daemon.Admin
	now           func() time.Time
	started       time.Time
	background    context.Context // ends when the agent has stopped
	cancel        context.CancelFunc
	sharesContext context.Context // ends when the VM starts to return its shares
	cancelShares  context.CancelFunc
	stopping      atomic.Bool
	vmListKnown   atomic.Bool // the platform's list was read since the start
	store         metastore.Store
	vms           metastore.VMList
	state         *state
	adopter       adopter
	pulling       sync.Mutex // held while a document is fetched from a peer
	authority     *authority
	entry         entryReports
	peers         *peers
	claims        *claims
	lending       *lending
	shares        *shares
	detectors     *detectors
}

// New returns an agent that uses the given store and list of VMs. Run starts it.
func New(settings Settings, log *zap.Logger, store metastore.Store, vms metastore.VMList) *Agent {
	events := timeline.NewRing(timeline.NewClock(time.Now), settings.VM, "lacewing-agent")
	peers := newPeers(settings.member(), settings.PeerAddresses, events.Clock(), time.Now)
	peers.addSeeds(settings.Seeds)
	background, cancel := context.WithCancel(context.Background())
	sharesContext, cancelShares := context.WithCancel(background)
	agent := &Agent{
		settings: settings, log: log, events: events, admin: daemon.NewAdmin(events), now: time.Now, started: time.Now(),
		background: background, cancel: cancel, sharesContext: sharesContext, cancelShares: cancelShares, store: store, vms: vms,
		state: newState(peers.incarnation()), authority: newAuthority(), peers: peers,
		claims: newClaims(settings.VM, store, peers, events, log),
	}
	agent.detectors = newDetectors(settings.VM, agent.peers, agent.state, log, events)
	agent.lending = newLending(agent.peers, agent.state, log, events)
	agent.shares = newShares(agent)
	return agent
}

// Run serves until ctx ends and then shuts down gracefully. It fails if it cannot
// listen on the addresses in the settings.
func (a *Agent) Run(ctx context.Context) error {
	defer a.cancel()
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

// start serves calls and starts the background loops.
func (a *Agent) start(listener net.Listener) {
	go a.handlers().Serve(a.background, listener)
	go a.followStore(a.background)
	go a.followMembers(a.background)
	go a.exchangeWithPeers(a.background)
	go a.recordWithdrawals(a.background)
	go a.checkAuthority(a.background)
	go a.lending.run(a.background)
	go a.shares.run(a.sharesContext)
	go a.detectors.run(a.background)
}

func (a *Agent) handlers() *wire.Handlers {
	handlers := wire.NewHandlers(a.events.Clock())
	wire.Handle(handlers, wire.MethodSnapshot, a.snapshot)
	wire.Handle(handlers, wire.MethodReport, a.report)
	wire.Handle(handlers, wire.MethodRestore, a.restore)
	wire.Handle(handlers, wire.MethodStatus, a.status)
	wire.Handle(handlers, wire.MethodExchange, a.exchange)
	wire.Handle(handlers, wire.MethodDocument, a.document)
	wire.Handle(handlers, wire.MethodChunks, a.chunks)
	wire.Handle(handlers, wire.MethodWithdraw, a.withdraw)
	wire.Handle(handlers, wire.MethodHealth, a.detectors.report)
	wire.Handle(handlers, wire.MethodOwnerHealth, a.detectors.observe)
	a.claims.registerHandlers(handlers)
	wire.Handle(handlers, wire.MethodTokens, a.lending.tokens)
	wire.Handle(handlers, wire.MethodLend, a.lending.exchange)
	wire.Handle(handlers, wire.MethodTransfer, a.shares.receive)
	return handlers
}
