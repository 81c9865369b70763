package catalog

import (
	"time"

	"lacewingmount.dev/platform"
)

// By how much the end of a server's cold time may move before the other VMs are told. They
// count a server as cold for 2.5 s longer than they know.
const (
	maxColdDelay   = 2 * time.Second // later; after an outage, a record is read up to 1.5 s after it was written
	maxColdAdvance = 4 * time.Second // earlier
)

// Whether a server of a service with ColdPerS is cold is part of the contents, so that its
// change reaches all VMs, and one that misses it notices by the digest. Heartbeats of a cold
// server change only the time that is left, which all VMs count down by themselves. The time is
// not part of the digest, because each VM has read it at another moment.

// pacesCold reports whether cold servers of the service get fewer requests than others.
func (c *Catalog) pacesCold(service string) bool {
	return c.config != nil && c.config.Services[service].ColdPerS > 0
}

// changesColdTime reports whether the other VMs have to learn of a heartbeat, because the
// server is cold for longer or shorter than they know. If it is longer, they get each further
// heartbeat of its cold time: the digest does not tell whether one was lost.
func (c *Catalog) changesColdTime(known, next *item) bool {
	if next.Server == nil || next.coldUntil.IsZero() || known.coldUntil.IsZero() || !c.pacesCold(next.Server.Service) {
		return false
	}
	moved := next.coldUntil.Sub(known.coldUntil)
	next.prolonged = known.prolonged || moved > maxColdDelay
	return next.prolonged || moved < -maxColdAdvance
}

// withColdTimeLeft returns the item's server with the cold time that is left now. It is above 0
// until a record says that the server is warm.
func (c *Catalog) withColdTimeLeft(now time.Time, i *item) platform.Server {
	server := *i.Server
	if server.Cold > 0 && c.pacesCold(server.Service) {
		server.Cold = max(time.Millisecond, i.coldUntil.Sub(now))
	}
	return server
}

// updateDigests computes the digests of the servers under a new configuration.
func (c *Catalog) updateDigests() {
	for _, i := range c.items {
		if i.Server == nil || i.Removed {
			continue
		}
		c.digest ^= i.digest
		i.digest = c.digestOf(i.Change)
		c.digest ^= i.digest
	}
}
