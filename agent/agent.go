package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/limit"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/platform"
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
	settings Settings
	log      *zap.Logger
	events   *timeline.Ring
	store    platform.Store
	vms      platform.VMList
	state    *state
	peers    *peers
	claims   *claims
	lending  *lending
}

// New returns an agent that uses the given store and list of VMs.
func New(settings Settings, log *zap.Logger, store platform.Store, vms platform.VMList) *Agent {
	events := timeline.NewRing(timeline.NewClock(time.Now), settings.VM, "lacewing-agent")
	agent := &Agent{
		settings: settings, log: log, events: events, store: store, vms: vms,
		state: newState(), claims: newClaims(store),
		peers: newPeers(settings.member(), settings.PeerAddresses, events.Clock(), time.Now),
	}
	agent.lending = newLending(agent.peers, agent.state, log, events)
	return agent
}

// Run serves until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background()) // until the shares are returned
	defer stop()
	admin := daemon.NewAdmin(a.events)
	if a.settings.Profile {
		admin.EnableProfiling()
	}
	if err := admin.Start(serving, a.settings.Admin); err != nil {
		return err
	}
	listener, err := daemon.Listen(ctx, a.settings.Listen)
	if err != nil {
		return err
	}
	go a.handlers().Serve(serving, listener)
	go a.followDocument(ctx)
	go a.followMembers(ctx)
	go a.exchangeWithPeers(ctx)
	go a.lending.run(serving)
	shares := newShares(a)
	go shares.run(ctx)
	a.events.Add(timeline.Event{Kind: timeline.KindStarted})
	a.log.Info("started", zap.String("listen", a.settings.Listen))
	admin.SetReady(true)
	<-ctx.Done()
	a.events.Add(timeline.Event{Kind: timeline.KindStopping})
	shares.leave(serving)
	a.log.Info("stopped")
	return nil
}

func (a *Agent) handlers() *wire.Handlers {
	handlers := wire.NewHandlers(a.events.Clock())
	wire.Handle(handlers, wire.MethodSnapshot, a.snapshot)
	wire.Handle(handlers, wire.MethodExchange, a.exchange)
	wire.Handle(handlers, wire.MethodClaim, a.claims.claim)
	wire.Handle(handlers, wire.MethodSettle, a.claims.settle)
	wire.Handle(handlers, wire.MethodTokens, a.lending.tokens)
	wire.Handle(handlers, wire.MethodLend, a.lending.exchange)
	return handlers
}
