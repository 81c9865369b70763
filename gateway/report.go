package gateway

import (
	"context"
	"slices"

	"lacewingmount.dev/membership"
)

// report sends this VM's requests in flight to the owners of their services, until
// ctx ends. Each report also leases this VM's part of the account rates and of
// the servers' limits to the owner.
func (g *Gateway) report(ctx context.Context) {
	for ctx.Err() == nil {
		owned := map[string]membership.Member{} // VMs that own a group, by name
		for group := range g.peers.groups() {
			owner := g.peers.ownerOfGroup(group)
			owned[owner.Name] = owner
		}
		for name, owner := range owned {
			report := g.syncReport(owner)
			if name == g.self.Name {
				g.handleSync(name, "", report)
				continue
			}
			g.mesh.send(owner.Address, kindSync, report)
		}
		sleep(ctx, syncPeriod)
	}
}

// ownedBy returns a function that reports whether the VM is the owner of a service.
func (g *Gateway) ownedBy(vm membership.Member) func(service string) bool {
	return func(service string) bool { return g.peers.ownerOf(service).Name == vm.Name }
}

// syncReport returns the report of this VM to an owner.
func (g *Gateway) syncReport(owner membership.Member) *syncReport {
	ownedByIt := g.ownedBy(owner)
	report := &syncReport{Running: g.running.report(ownedByIt), LimitDigest: g.localBrokers.limitDigest(ownedByIt)}
	for group := range g.peers.groups() {
		if g.peers.ownerOfGroup(group).Name == owner.Name {
			report.Groups = append(report.Groups, group)
		}
	}
	if report.LimitDigest != g.confirmed.get(owner) {
		report.Limits = g.localBrokers.limits(g.now(), ownedByIt)
	}
	return report
}

// handleSync records a VM's report, which may be this VM's own, and replies with the limits of
// this VM's services, unless the VM knows the same. There is no reply if address is "".
func (g *Gateway) handleSync(from string, address string, m *syncReport) {
	now := g.now()
	g.quotas.recordLease(now, from)
	g.learnLimits(from, m.Limits)
	takenForOwner := func(service string) bool {
		return m.Groups == nil || slices.Contains(m.Groups, g.peers.groupOf(service))
	}
	g.sendAllDecisions(g.owned.sync(now, from, m.Running, takenForOwner))
	ack := g.confirmLimits(m.LimitDigest)
	if from == g.self.Name {
		g.handleSyncAck(from, ack)
		return
	}
	if address != "" {
		g.mesh.send(address, kindSyncAck, ack)
	}
}
