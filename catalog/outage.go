package catalog

import "time"

const (
	outageGrace = 2050 * time.Millisecond // servers whose registration lapsed during a store outage are specified to register again within 2 s
	minOutage   = 1500 * time.Millisecond // registrations last for several heartbeats, so none lapses in a shorter time; a VM that takes over the reads needs 1 s
)

// outages tracks the outages of the store as all VMs together see them. An outage ends with
// the first answer to any VM: a VM whose own calls failed may not call the store again for
// a long time.
type outages struct {
	answeredAt time.Time // the store is known to have answered a VM at this time or later
	failedAt   time.Time // start of this VM's last failed call; zero if the store has answered a VM since
	endedAt    time.Time // end of the last outage
}

// fail records that a call of this VM, which began at the given time, failed. It says nothing
// if the store has answered a later call.
func (o *outages) fail(began time.Time) {
	if began.After(o.answeredAt) {
		o.failedAt = began
	}
}

// answer records that the store answered a VM. It reports whether this ends an outage that
// this VM has seen.
func (o *outages) answer(at time.Time) bool {
	if !at.After(o.answeredAt) {
		return false
	}
	ended := !o.failedAt.IsZero() && at.After(o.failedAt) && at.Sub(o.answeredAt) >= minOutage
	if ended {
		o.endedAt = at
	}
	if at.After(o.failedAt) {
		o.failedAt = time.Time{}
	}
	o.answeredAt = at
	return ended
}

// keepsLapsed returns until when servers are kept whose registration is removed now, and
// whether they are: the last outage of the store may have caused the removal.
func (o *outages) keepsLapsed(now time.Time) (until time.Time, keeps bool) {
	until = o.endedAt.Add(outageGrace)
	return until, now.Before(until)
}

// MarkStoreDown records that a call of this VM to the store failed, which began at the given
// time.
func (c *Catalog) MarkStoreDown(began time.Time) { c.outages.fail(began) }

// MarkStoreUp records that the store answered this or another VM at the given time. It must
// precede the changes of that answer. It reports whether this ends an outage.
func (c *Catalog) MarkStoreUp(at time.Time) bool { return c.outages.answer(at) }

// DropLapsed reports whether the time of a server has ended that was kept after an outage, so
// that the result of Servers has changed.
func (c *Catalog) DropLapsed(now time.Time) bool {
	if c.nextLapse.IsZero() || now.Before(c.nextLapse) {
		return false
	}
	c.nextLapse = time.Time{}
	for _, i := range c.items {
		if i.Removed && now.Before(i.keepUntil) {
			c.scheduleLapse(i.keepUntil)
		}
	}
	return true
}

// scheduleLapse records when the time of a kept server ends.
func (c *Catalog) scheduleLapse(at time.Time) {
	if c.nextLapse.IsZero() || at.Before(c.nextLapse) {
		c.nextLapse = at
	}
}
