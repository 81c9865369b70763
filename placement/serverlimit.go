package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	minLimit        = 0.2                    // requests per second that a server with a lower limit gets; only its answers tell that the limit has ended
	limitBurst      = 100 * time.Millisecond // of its limit that a server may get at once; waiting requests are dispatched every 50 ms
	limitRecovery   = 3 * time.Second        // after the end of a limit, until the server gets any number of requests again
	limitDoubling   = 500 * time.Millisecond // meanwhile the limit doubles each time this has passed
	limitReset      = 2 * time.Second        // since the last decision of a VM that decides alone, after which its part of a limit is counted anew
	limitRetention  = 30 * time.Second       // for which the limit of a server that is not registered is kept; its record may be back within seconds
	partExpiry      = 200 * time.Millisecond // between searches for parts of silent VMs; there may be 890
	maxLimitChanges = 1000                   // changes that are kept for the log
)

// Unlimited is the Rate of a server that names no limit.
const Unlimited = -1

// ServerLimit is what a server has said about the requests that it accepts from all VMs
// together.
type ServerLimit struct {
	Server string
	Born   int64   // start time of the server's process, as in Server
	Rate   float64 // requests per second; Unlimited if it names no limit
	// At is when the statement became known, and orders the statements of a server. For
	// Unlimited it is when the request was sent, because the answers to requests that were
	// sent before the server named its limit may arrive later.
	At     time.Time
	ToldBy string // VM that told it, for the log
}

// LimitChange records that a Broker learned of the first, another, or the end of a
// server's limit, for the log.
type LimitChange struct {
	Server       string
	Rate, Before float64 // requests per second; Unlimited if there is none
	ToldBy       string  // VM that told it
}

// Fleet tells a Broker which part of the servers' limits is its own to grant. Each VM's
// equal part belongs to the owner that the VM reports to, or to the VM while it decides
// alone. So two owners at once, each with the VMs that reach it, and the VMs that decide
// alone stay within the limit together.
type Fleet struct {
	VMs   int  // number of VMs; 0 if the Broker decides for all of them
	Alone bool // the Broker decides for a single VM
}

// serverLimit paces the requests to one server that has named a limit.
type serverLimit struct {
	ServerLimit
	bucket
	recoversFrom float64 // limit that ended at ServerLimit.At; 0 if there was none
	endedAt      time.Time
}

// bucket paces the requests to one server, because of its limit or because it is cold.
type bucket struct {
	tokens   float64 // requests that may be granted now
	filledAt time.Time
}

// limitTable holds the limits of a service's servers by server ID.
type limitTable struct {
	limits  map[string]*serverLimit
	parts   map[string]time.Time // when a VM last reported that its part belongs to this Broker, by VM name
	expired time.Time            // when the parts were last expired
	digest  uint64
	fleet   Fleet
	reached int // servers that had reached their limits when the candidates were last evaluated
	changes []LimitChange
	random  *rand.Rand
}

// SetFleet sets the part of the servers' limits that this Broker grants.
func (b *Broker) SetFleet(fleet Fleet) { b.limits.fleet = fleet }

// RecordPart records that the VM takes this Broker for the owner of the service, so that its
// part of the limits belongs to it for grantLease.
func (b *Broker) RecordPart(now time.Time, vm string) { b.limits.parts[vm] = now }

// expireParts drops the parts of VMs that have not been heard from or take another VM for the
// owner. It does nothing if it did so less than partExpiry ago.
func (t *limitTable) expireParts(now time.Time) {
	if now.Sub(t.expired) < partExpiry {
		return
	}
	t.expired = now
	for vm, at := range t.parts {
		if now.Sub(at) > grantLease {
			delete(t.parts, vm)
		}
	}
}

// ObserveLimit records what a server has said, unless something newer is known.
func (b *Broker) ObserveLimit(now time.Time, said ServerLimit) {
	if math.IsNaN(said.Rate) || math.IsInf(said.Rate, 0) {
		return
	}
	if b.limits.observe(now, said) {
		b.assignLimits(now)
	}
}

// ObserveNoLimit records that a server answered a request, sent at the given time, without
// naming a limit. toldBy is the VM that got the answer.
func (b *Broker) ObserveNoLimit(now time.Time, server string, sentAt time.Time, toldBy string) {
	if known := b.limits.limits[server]; known != nil {
		b.ObserveLimit(now, ServerLimit{Server: server, Born: known.Born, Rate: Unlimited, At: sentAt, ToldBy: toldBy})
	}
}

// observe records a statement and reports whether it changed the server's limit.
func (t *limitTable) observe(now time.Time, said ServerLimit) bool {
	said.Rate = max(Unlimited, said.Rate)
	known := t.limits[said.Server]
	switch {
	case known == nil && said.Rate < 0:
		return false // the usual answer
	case known == nil || known.Born < said.Born:
		known = &serverLimit{ServerLimit: ServerLimit{Server: said.Server, Rate: Unlimited}, bucket: bucket{tokens: t.initialTokens(), filledAt: now}}
		t.limits[said.Server] = known
	case known.Born > said.Born || !said.At.After(known.At):
		return false
	}
	before := known.Rate
	known.ServerLimit = said
	if before == said.Rate {
		return false
	}
	known.recoversFrom, known.endedAt = 0, now
	if said.Rate < 0 {
		known.recoversFrom = max(minLimit, before)
	}
	if len(t.changes) < maxLimitChanges {
		t.changes = append(t.changes, LimitChange{Server: said.Server, Rate: said.Rate, Before: before, ToldBy: said.ToldBy})
	}
	return true
}

// assignLimits connects the limits with the registered servers, and forgets those of
// servers that left long ago.
func (b *Broker) assignLimits(now time.Time) {
	b.limits.digest = 0
	for id, l := range b.limits.limits {
		s := b.servers[id]
		if s == nil || s.Born != l.Born {
			if now.Sub(l.At) > limitRetention {
				delete(b.limits.limits, id)
			}
			continue
		}
		s.limit = l
		if l.Rate >= 0 {
			b.limits.digest ^= l.hash()
		}
	}
}

// hash returns a hash of the server and its limit, without the time.
func (l *serverLimit) hash() uint64 {
	text := append([]byte(l.Server), 0)
	text = binary.BigEndian.AppendUint64(text, uint64(l.Born))
	return xxhash.Sum64(binary.BigEndian.AppendUint64(text, math.Float64bits(l.Rate)))
}

// Limits returns the newest statements of the servers that have named a limit, in the
// order of their IDs, those that have ended it included.
func (b *Broker) Limits() []ServerLimit {
	var list []ServerLimit
	for _, l := range b.limits.limits {
		list = append(list, l.ServerLimit)
	}
	slices.SortFunc(list, func(x, y ServerLimit) int { return cmp.Compare(x.Server, y.Server) })
	return list
}

// LimitDigest returns a digest of the limits in force, equal for Brokers that know the same
// ones. It is 0 if there is none.
func (b *Broker) LimitDigest() uint64 { return b.limits.digest }

// LimitChanges returns and clears the changes recorded since the last call.
func (b *Broker) LimitChanges() []LimitChange {
	changes := b.limits.changes
	b.limits.changes = nil
	return changes
}

// limitShare returns the part of the servers' limits that this Broker grants, 0 to 1.
func (b *Broker) limitShare() float64 {
	fleet := b.limits.fleet
	switch {
	case fleet.VMs == 0:
		return 1
	case fleet.Alone:
		return 1 / float64(fleet.VMs)
	}
	return min(1, float64(len(b.limits.parts))/float64(fleet.VMs))
}

// initialTokens returns the tokens of a server whose limit is new to this Broker. An owner
// begins with none, because the one before it may have spent them. VMs that decide
// alone begin with different ones, so that they do not send their first requests together.
func (t *limitTable) initialTokens() float64 {
	if t.fleet.Alone {
		return t.random.Float64()
	}
	return 0
}

// rate returns the requests per second that the server may get from all VMs now; ok is false if
// there is no limit.
func (l *serverLimit) rate(now time.Time) (perSecond float64, ok bool) {
	switch {
	case l == nil:
		return 0, false
	case l.Rate >= 0:
		return max(minLimit, l.Rate), true
	}
	if since := now.Sub(l.endedAt); since < limitRecovery {
		return l.recoversFrom * math.Exp2(since.Seconds()/limitDoubling.Seconds()), true
	}
	return 0, false
}

// pacedRate returns the requests per second that the server may get from all VMs now, by its
// limit and because it is cold; ok is false if any number is allowed.
func (s *server) pacedRate(now time.Time) (perSecond float64, ok bool) {
	rate, limited := s.limit.rate(now)
	coldRate, cold := s.coldRate(now)
	switch {
	case limited && cold:
		return min(rate, coldRate), true
	case cold:
		return coldRate, true
	}
	return rate, limited
}

// fillLimit adds the tokens of the time that has passed, and reports whether the server may
// get another request by its limit and, if it is cold, by its cold rate.
func (b *Broker) fillLimit(now time.Time, s *server) bool {
	allowed := true
	if rate, limited := s.limit.rate(now); limited {
		allowed = b.fill(now, &s.limit.bucket, rate)
	}
	if rate, cold := s.coldRate(now); cold {
		allowed = b.fill(now, &s.coldBucket, rate) && allowed
	}
	return allowed
}

// fill adds the tokens of the time that has passed at the rate of all VMs, and reports whether
// there is one for another request.
func (b *Broker) fill(now time.Time, tokens *bucket, rate float64) bool {
	rate *= b.limitShare()
	elapsed := now.Sub(tokens.filledAt)
	tokens.filledAt = now
	if b.limits.fleet.Alone && elapsed > limitReset {
		tokens.tokens, elapsed = b.limits.initialTokens(), 0
	}
	tokens.tokens = min(max(1, rate*limitBurst.Seconds()), tokens.tokens+rate*max(0, elapsed).Seconds())
	return tokens.tokens >= 1
}

// spendLimit counts a granted request, and reports whether the server's requests are paced.
func (s *server) spendLimit(now time.Time) bool {
	_, limited := s.limit.rate(now)
	if limited {
		s.limit.tokens--
	}
	_, cold := s.coldRate(now)
	if cold {
		s.coldBucket.tokens--
	}
	return limited || cold
}

// restoreLimit returns the tokens of a grant whose request was not sent.
func (s *server) restoreLimit(now time.Time) {
	if _, limited := s.limit.rate(now); limited {
		s.limit.tokens++
	}
	if _, cold := s.coldRate(now); cold {
		s.coldBucket.tokens++
	}
}

// usableSlots returns the number of slots that the server's limit or cold rate lets it use,
// given the mean time for which a request holds one. The parts of all VMs count, because those
// that a new owner has not heard from report within half a second. For a server that becomes
// warm soon, it is the average over warmHorizon.
func (s *server) usableSlots(now time.Time, mean time.Duration) float64 {
	slots := float64(s.Slots)
	if rate, cold := s.coldRate(now); cold {
		share := min(1, s.untilWarm(now).Seconds()/warmHorizon.Seconds())
		slots = share*min(slots, rate*mean.Seconds()) + (1-share)*slots
	}
	if rate, limited := s.limit.rate(now); limited {
		slots = min(slots, rate*mean.Seconds())
	}
	return slots
}

// limitWait returns how long the request is expected to wait because all servers that may
// get it have reached their limits or are cold, if the given number of requests precede it.
// The parts of all VMs count, as in usableSlots.
func (b *Broker) limitWait(now time.Time, r *queued, ahead int) time.Duration {
	perSecond, tokens := 0.0, 0.0
	var warmUps []warmUp
	for _, s := range b.serversByID {
		if !s.accepts() || !r.mayUse(s) || !s.reachableFrom(now, r.ID.VM) {
			continue
		}
		rate, limited := s.pacedRate(now)
		if !limited {
			return 0
		}
		perSecond += rate
		available := 0.0
		if _, named := s.limit.rate(now); named {
			available = s.limit.tokens
		}
		if _, cold := s.coldRate(now); cold {
			available = s.coldBucket.tokens
			if limit, named := s.limit.rate(now); named {
				available = min(available, s.limit.tokens)
				warmUps = append(warmUps, warmUp{s.untilWarm(now), limit - rate})
			} else {
				warmUps = append(warmUps, warmUp{s.untilWarm(now), max(0, float64(s.Slots)/max(minSlotWait.Seconds(), b.latencyEstimate.mean)-rate)})
			}
		}
		tokens += available
	}
	missing := float64(ahead+1) - tokens
	if missing <= 0 || perSecond == 0 {
		return 0
	}
	return waitFor(missing, perSecond, warmUps)
}
