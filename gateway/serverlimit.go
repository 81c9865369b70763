package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"lacewingmount.dev/membership"
	"lacewingmount.dev/placement"
)

// Limits of servers in one message, which must fit into a datagram also if all of 12,000
// servers have limits. The rest follows with later messages.
const (
	maxReportedLimits = 500 // in a report or its confirmation
	maxRequestLimits  = 20  // in a request for a slot; a VM sends some hundred a second
)

// A server that is in need names in its answers how many requests a second it accepts from
// all VMs together. The owner of its service keeps that limit (placement.ServerLimit). What a
// VM hears reaches the owner
//
//   - with the release of the request's slot,
//   - with each report of the VM's requests in flight, in case the release was lost,
//   - with each request for a slot, while the owner has not confirmed the report.
//
// Owners send their limits to the VMs that know other ones, with their confirmations of
// the reports. So every VM that becomes an owner knows them, and so does a VM that decides
// alone. Digests tell whether two VMs know the same.

// limitReport is a server's limit in a message.
type limitReport struct {
	Server string
	Born   int64         // start time of the server's process
	Rate   float64       // requests per second; placement.Unlimited if it has ended its limit
	Age    time.Duration // time since placement.ServerLimit.At
}

func reportLimit(now time.Time, l placement.ServerLimit) limitReport {
	return limitReport{Server: l.Server, Born: l.Born, Rate: l.Rate, Age: now.Sub(l.At)}
}

// statement returns the limit as the receiver of the message records it. from is the VM that
// sent it.
func (l *limitReport) statement(now time.Time, from string) placement.ServerLimit {
	return placement.ServerLimit{Server: l.Server, Born: l.Born, Rate: l.Rate, At: now.Add(-max(0, l.Age)), ToldBy: from}
}

// confirmedLimits holds the digest of the limits that each owner confirmed last, by VM name.
// It is safe for concurrent use.
type confirmedLimits struct {
	mu            sync.Mutex
	confirmations map[string]limitConfirmation
}

type limitConfirmation struct {
	incarnation, digest uint64
}

func (c *confirmedLimits) set(owner membership.Member, digest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmations[owner.Name] = limitConfirmation{owner.Incarnation, digest}
}

// get returns the digest; 0 if the owner has been restarted since, as it knows no limits.
func (c *confirmedLimits) get(owner membership.Member) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last := c.confirmations[owner.Name]; last.incarnation == owner.Incarnation {
		return last.digest
	}
	return 0
}

// unconfirmedLimits returns the limits of the service that the owner has not confirmed.
func (g *Gateway) unconfirmedLimits(service string, owner membership.Member) limitList {
	if !g.localBrokers.hasLimits(service) {
		return nil
	}
	if g.localBrokers.limitDigest(g.ownedBy(owner)) == g.confirmed.get(owner) {
		return nil
	}
	limits := g.localBrokers.limits(g.now(), func(s string) bool { return s == service })
	limits.truncate(maxRequestLimits)
	return limits[service]
}

// learnLimits records limits that another VM has sent, for the service's owner if that is
// this VM, and for the time in which no owner replies.
func (g *Gateway) learnLimits(from string, limits serviceLimits) {
	now := g.now()
	for service, list := range limits {
		if g.peers.ownerOf(service).Name == g.self.Name || g.owned.has(service) {
			g.owned.observeLimits(now, service, from, list)
		}
		g.localBrokers.observeLimits(now, service, from, list)
	}
}

// confirmLimits returns the confirmation of a report of a VM that knows limits with the given
// digest.
func (g *Gateway) confirmLimits(known uint64) *syncAck {
	own := g.ownedBy(g.self)
	ack := &syncAck{LimitDigest: g.owned.limitDigest(own)}
	if ack.LimitDigest != known {
		ack.Limits = g.owned.limits(g.now(), own)
	}
	return ack
}

// handleSyncAck records which limits the owner knows.
func (g *Gateway) handleSyncAck(from string, m *syncAck) {
	if owner, ok := g.peers.member(from); ok {
		g.confirmed.set(owner, m.LimitDigest)
	}
	g.learnLimits(from, m.Limits)
}

// logLimit logs that this VM, as owner of the service, learned of a server's limit.
func (g *Gateway) logLimit(service string, change placement.LimitChange) {
	limitChanges.Inc()
	if !g.limitSampler.allow(g.now()) {
		return
	}
	fields := []zap.Field{zap.String("service", service), zap.String("server", change.Server), zap.String("told_by", change.ToldBy)}
	if change.Before >= 0 {
		fields = append(fields, zap.Float64("before", change.Before))
	}
	if change.Rate < 0 {
		g.log.Info("server limit ended", fields...)
		return
	}
	g.log.Info("server limit", append(fields, zap.Float64("per_second", change.Rate))...)
}

// has reports whether there is a Broker of the service.
func (b *brokers) has(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.services[service] != nil
}

// serviceLimits returns what is known of the limits of the service's servers.
func (b *brokers) serviceLimits(service string) []placement.ServerLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	if broker := b.services[service]; broker != nil {
		return broker.Limits()
	}
	return nil
}

// hasLimits reports whether servers of the service have limits in force.
func (b *brokers) hasLimits(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	broker := b.services[service]
	return broker != nil && broker.LimitDigest() != 0
}

// observeLimits records limits of the service's servers that another VM has sent.
func (b *brokers) observeLimits(now time.Time, service, from string, list limitList) {
	b.withBroker(now, service, func(broker *placement.Broker) []placement.Decision {
		for i := range list {
			broker.ObserveLimit(now, list[i].statement(now, from))
		}
		return nil
	})
}

// limitDigest returns a digest of the limits in force of the services for which include is
// true.
func (b *brokers) limitDigest(include func(service string) bool) (digest uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, broker := range b.services {
		if d := broker.LimitDigest(); d != 0 && include(service) {
			digest ^= d
		}
	}
	return digest
}

// limits returns what is known of the limits of the services for which include is true, of
// many a random part.
func (b *brokers) limits(now time.Time, include func(service string) bool) serviceLimits {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := serviceLimits{}
	for service, broker := range b.services {
		if !include(service) {
			continue
		}
		for _, l := range broker.Limits() {
			limits[service] = append(limits[service], reportLimit(now, l))
		}
	}
	limits.truncate(maxReportedLimits)
	return limits
}

// truncate drops limits at random until at most n are left.
func (l serviceLimits) truncate(n int) {
	total := 0
	for _, list := range l {
		total += len(list)
	}
	if total <= n {
		return
	}
	for service, list := range l {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		l[service] = list[:len(list)*n/total]
	}
}

// countLimits returns the number of servers with limits in force.
func (b *brokers) countLimits() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, broker := range b.services {
		if broker.LimitDigest() == 0 {
			continue
		}
		for _, l := range broker.Limits() {
			if l.Rate >= 0 {
				n++
			}
		}
	}
	return n
}

var (
	invalidLimits = metrics.GetOrCreateCounter("lacewing_backend_invalid_limits_total")
	limitChanges  = metrics.GetOrCreateCounter("lacewing_gateway_server_limit_changes_total")
	serverLimits  = metrics.GetOrCreateGauge("lacewing_gateway_server_limits", nil)
)
