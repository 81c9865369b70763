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

// peers knows the other VMs and keeps a client for each.
type peers struct {
	self    string
	routes  map[string]string // addresses that replace the list's, by VM name
	clock   *timeline.Clock
	dial    wire.Dial
	now     func() time.Time
	mu      sync.Mutex
	view    *membership.View
	serving []membership.Member    // of the last call of changed
	clients map[string]*peerClient // by address
}

// peerClient is a client with the time of its last use.
type peerClient struct {
	client *wire.Client
	used   time.Time
}

// newPeers returns the peers of a VM whose agent has just started.
func newPeers(self membership.Member, routes map[string]string, clock *timeline.Clock, now func() time.Time) *peers {
	started := now()
	self.Incarnation = uint64(started.UnixMilli())
	return &peers{
		self: self.Name, routes: routes, clock: clock, dial: wire.DialTCP, now: now,
		view:    membership.NewView(self, uint64(started.UnixNano())),
		clients: map[string]*peerClient{},
	}
}

// update takes over the platform's list and reports whether the VMs in service changed.
func (p *peers) update(vms []metastore.VM) bool {
	var members []membership.Member
	for _, vm := range vms {
		members = append(members, membership.Member{Name: vm.Name, Zone: vm.Zone, Address: vm.Address, Leaving: vm.Leaving})
	}
	p.mu.Lock()
	p.view.SetList(p.now(), members)
	p.mu.Unlock()
	return p.changed()
}

// changed reports whether the VMs in service are others than at its last call.
func (p *peers) changed() bool {
	serving := p.inService()
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(serving, p.serving) {
		return false
	}
	p.serving = serving
	return true
}

// inService returns the members that are not leaving, this VM included.
func (p *peers) inService() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var serving []membership.Member
	for _, member := range p.view.Members(p.now()) {
		if !member.Leaving {
			serving = append(serving, p.routed(member))
		}
	}
	return serving
}

// routed returns the member with the address at which this VM reaches it.
func (p *peers) routed(member membership.Member) membership.Member {
	if route, ok := p.routes[member.Name]; ok {
		member.Address = route
	}
	return member
}

// home returns the member responsible for key, and whether it is this VM.
func (p *peers) home(key string) (home membership.Member, self, ok bool) {
	home, ok = membership.Owner(p.inService(), key)
	return home, ok && home.Name == p.self, ok
}

// incarnation returns the incarnation of this agent.
func (p *peers) incarnation() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Self().Incarnation
}

// gone reports whether the given start of a VM's agent is known to be over; see membership.View.Gone.
func (p *peers) gone(name string, incarnation uint64, bound time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.IncarnationEnded(p.now(), name, incarnation, bound)
}

// avoid keeps a member out of this VM's view for a short time after a call to it failed.
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
	known.used = p.now()
	return known.client
}

// idleClientTimeout bounds how long a connection to a peer is kept without use:
// in a large fleet an agent exchanges messages with every other one.
const idleClientTimeout = 15 * time.Second

// closeIdle closes the clients that were not used lately.
func (p *peers) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.clients {
		if p.now().Sub(known.used) > idleClientTimeout {
			known.client.Close()
			delete(p.clients, address)
		}
	}
}

// round returns the exchanges to perform now.
func (p *peers) round() []membership.Probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	probes := p.view.Round(p.now())
	for i := range probes {
		probes[i].To = p.routed(probes[i].To)
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

// member returns a member by name, also one that is leaving.
func (p *peers) member(name string) (membership.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, member := range p.view.Members(p.now()) {
		if member.Name == name {
			return p.routed(member), true
		}
	}
	return membership.Member{}, false
}

// among reports whether this VM is one of the n in service that weigh most for key.
func (p *peers) among(n int, key string) bool {
	return membership.IsTopRanked(p.inService(), key, p.self, n)
}

// contact returns the latest instant at which most peers were known to answer.
func (p *peers) contact() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.LastQuorumContact()
}

// leave tells this VM's view, and through it the peers, that the VM leaves; with
// stopped, that its agent ends.
func (p *peers) leave(stopped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.Leave(stopped)
}

// addSeeds makes the agents at the addresses known for a start without the platform's list.
func (p *peers) addSeeds(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.AddSeeds(addresses)
}
