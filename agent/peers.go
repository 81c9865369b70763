package agent

import (
	"slices"
	"sync"
	"time"

	"lacewingmount.dev/membership"
	"lacewingmount.dev/metastore"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// peers holds this VM's membership view and a client for each other VM's agent.
type peers struct {
	self             string
	addressOverrides map[string]string // addresses that replace those of the platform's list, by VM name
	clock            *timeline.Clock
	dial             wire.Dial
	now              func() time.Time
	mu               sync.Mutex
	view             *membership.View
	serving          []membership.Member    // VMs in service at the last call of servingChanged
	clients          map[string]*peerClient // by address
}

// peerClient is a client and the time of its last use.
type peerClient struct {
	client   *wire.Client
	lastUsed time.Time
}

// newPeers returns the peers of a VM whose agent has just started.
func newPeers(self membership.Member, addressOverrides map[string]string, clock *timeline.Clock, now func() time.Time) *peers {
	started := now()
	self.Incarnation = uint64(started.UnixMilli())
	return &peers{
		self: self.Name, addressOverrides: addressOverrides, clock: clock, dial: wire.DialTCP, now: now,
		view:    membership.NewView(self, uint64(started.UnixNano())),
		clients: map[string]*peerClient{},
	}
}

// update applies the platform's list and reports whether the VMs in service changed.
func (p *peers) update(vms []metastore.VM) bool {
	var members []membership.Member
	for _, vm := range vms {
		members = append(members, membership.Member{Name: vm.Name, Zone: vm.Zone, Address: vm.Address, Leaving: vm.Leaving})
	}
	p.mu.Lock()
	p.view.SetList(p.now(), members)
	p.mu.Unlock()
	return p.servingChanged()
}

// servingChanged reports whether the VMs in service have changed since its last call.
func (p *peers) servingChanged() bool {
	serving := p.inService()
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(serving, p.serving) {
		return false
	}
	p.serving = serving
	return true
}

// inService returns the members that are not leaving, including this VM.
func (p *peers) inService() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var serving []membership.Member
	for _, member := range p.view.Members(p.now()) {
		if !member.Leaving {
			serving = append(serving, p.overrideAddress(member))
		}
	}
	return serving
}

// overrideAddress returns the member with the address that this VM must use for it.
func (p *peers) overrideAddress(member membership.Member) membership.Member {
	if address, ok := p.addressOverrides[member.Name]; ok {
		member.Address = address
	}
	return member
}

// owner returns the owner of key among the VMs in service, and whether it is this VM.
// ok is false if no VM is in service.
func (p *peers) owner(key string) (owner membership.Member, self, ok bool) {
	owner, ok = membership.Owner(p.inService(), key)
	return owner, ok && owner.Name == p.self, ok
}

// incarnation returns the incarnation of this agent.
func (p *peers) incarnation() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Self().Incarnation
}

// incarnationEnded reports whether the given incarnation of a VM's agent is known to
// have ended; see membership.View.IncarnationEnded.
func (p *peers) incarnationEnded(name string, incarnation uint64, minAbsence time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.IncarnationEnded(p.now(), name, incarnation, minAbsence)
}

// avoid removes a member from this VM's view for a short time after a call to it failed.
func (p *peers) avoid(member membership.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Avoid(p.now(), member.Name)
}

// client returns the client of a member's agent.
func (p *peers) client(member membership.Member) *wire.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.clients[member.Address]
	if known == nil {
		known = &peerClient{client: wire.NewClientWithDial(p.dial, member.Address, p.clock)}
		p.clients[member.Address] = known
	}
	known.lastUsed = p.now()
	return known.client
}

// idleClientTimeout is the time after which an unused connection to a peer is closed.
// In a large fleet an agent would otherwise keep connections to all other agents.
const idleClientTimeout = 15 * time.Second

// closeIdle closes the clients that were not used within idleClientTimeout.
func (p *peers) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.clients {
		if p.now().Sub(known.lastUsed) > idleClientTimeout {
			known.client.Close()
			delete(p.clients, address)
		}
	}
}

// round returns the gossip exchanges to perform now.
func (p *peers) round() []membership.Probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	probes := p.view.Round(p.now())
	for i := range probes {
		probes[i].To = p.overrideAddress(probes[i].To)
	}
	return probes
}

func (p *peers) receive(message membership.Message) membership.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Receive(p.now(), message)
}

func (p *peers) answered(probe membership.Probe, answer membership.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Answered(p.now(), probe, answer)
}

func (p *peers) missed(probe membership.Probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Missed(p.now(), probe)
}

// member returns a member by name, including members that are leaving.
func (p *peers) member(name string) (membership.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, member := range p.view.Members(p.now()) {
		if member.Name == name {
			return p.overrideAddress(member), true
		}
	}
	return membership.Member{}, false
}

// isTopRanked reports whether this VM is one of the n highest-ranked VMs in service for key.
func (p *peers) isTopRanked(n int, key string) bool {
	return membership.IsTopRanked(p.inService(), key, p.self, n)
}

// lastQuorumContact returns the latest instant at which most peers answered.
func (p *peers) lastQuorumContact() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.LastQuorumContact()
}

// leave announces to the peers that this VM is leaving or, with stopped, that its
// agent has stopped.
func (p *peers) leave(stopped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Leave(stopped)
}

// addSeeds adds agents to contact until the platform's list is known.
func (p *peers) addSeeds(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.AddSeeds(addresses)
}
