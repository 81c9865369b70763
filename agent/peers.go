package agent

import (
	"slices"
	"sync"

	"lacewingmount.dev/membership"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// peers knows the other VMs and keeps a client for each.
type peers struct {
	self    string
	routes  map[string]string // addresses that replace the list's, by VM name
	clock   *timeline.Clock
	mu      sync.Mutex
	members []membership.Member
	clients map[string]*wire.Client // by address
}

func newPeers(self string, routes map[string]string, clock *timeline.Clock) *peers {
	return &peers{self: self, routes: routes, clock: clock, clients: map[string]*wire.Client{}}
}

// update takes over the platform's list and reports whether it changed.
func (p *peers) update(vms []platform.VM) bool {
	var members []membership.Member
	for _, vm := range vms {
		address := vm.Address
		if route, ok := p.routes[vm.Name]; ok {
			address = route
		}
		members = append(members, membership.Member{Name: vm.Name, Zone: vm.Zone, Address: address, Leaving: vm.Leaving})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(members, p.members) {
		return false
	}
	p.members = members
	return true
}

// inService returns the members that are not leaving, this VM included.
func (p *peers) inService() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var serving []membership.Member
	for _, member := range p.members {
		if !member.Leaving {
			serving = append(serving, member)
		}
	}
	return serving
}

// home returns the member responsible for key, and whether it is this VM.
func (p *peers) home(key string) (home membership.Member, self, ok bool) {
	home, ok = membership.Home(p.inService(), key)
	return home, ok && home.Name == p.self, ok
}

// client returns the client of a member's agent.
func (p *peers) client(member membership.Member) *wire.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.clients[member.Address]
	if client == nil {
		client = wire.NewClient(member.Address, p.clock)
		p.clients[member.Address] = client
	}
	return client
}

// member returns a member by name, also one that is leaving.
func (p *peers) member(name string) (membership.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.members, func(m membership.Member) bool { return m.Name == name })
	if i < 0 {
		return membership.Member{}, false
	}
	return p.members[i], true
}
