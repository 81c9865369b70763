package health

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	fewestOthers        = 2   // servers with requests, to compare one with
	fewestBucketsSlower = 1.5 // a factor of 2.3
)

// trimmedShare is the share of the servers, the most suspect ones, that the
// pool's reference leaves out.
const trimmedShare = 1.0 / 3

// commonCauseFade is what is left of the reference after a common cause.
const commonCauseFade = 0.1

// pool runs the tests of all servers of a service over the observations of one
// scope: the fleet, an availability zone or a VM.
type pool struct {
	started   time.Time
	at        time.Time
	seen      float64 // observations; old ones fade
	servers   []reference
	reference reference // of all servers but the most suspect ones
	stall     int       // latency bucket from which an unanswered request counts as stalled
	ratios    *ratios
	fadedAt   time.Time
	scores    [][tests]score // by server
	totals    [tests][]total // by server
	threshold float64
	wanted    float64 // false alarms for each server and day
}

func newPool(servers int, wanted float64) *pool {
	p := &pool{
		wanted: wanted, stall: stallHighest,
		servers: make([]reference, servers), scores: make([][tests]score, servers),
	}
	for t := range tests {
		p.totals[t] = make([]total, servers)
	}
	return p
}

// advance fades old observations and derives the ratios and the threshold anew.
func (p *pool) advance(now time.Time) {
	if p.ratios != nil && now.Sub(p.at) < ratiosPeriod {
		return
	}
	if p.ratios == nil {
		p.started, p.fadedAt = now, now
	}
	fade := math.Exp2(-now.Sub(p.at).Seconds() / referenceHalfLife.Seconds())
	p.at = now
	p.seen *= fade
	p.threshold = threshold(p.wanted, p.rate()/float64(max(len(p.servers), 1)))
	if p.commonCause() {
		fade *= commonCauseFade
		for i := range p.servers {
			p.reset(i, 0)
		}
	}
	for i := range p.servers {
		p.servers[i].scale(fade)
	}
	p.trim()
	p.stall = p.reference.stall()
	p.ratios = newRatios(&p.reference, p.stall)
	if elapsed := now.Sub(p.fadedAt); elapsed >= fadePeriod {
		p.fade(elapsed)
		p.fadedAt = now
	}
}

// commonCause reports whether most servers are suspect in one test at once. Then
// the cause is not theirs, and what was learned before no longer describes the pool.
func (p *pool) commonCause() bool {
	for t := range tests {
		suspects := 0
		for i := range p.scores {
			if p.scores[i][t].sum >= suspectLevel*p.threshold {
				suspects++
			}
		}
		if 2*suspects > len(p.servers) && suspects > 1 {
			return true
		}
	}
	return false
}

// rate returns the observations a second.
func (p *pool) rate() float64 {
	age, halfLife := p.at.Sub(p.started).Seconds(), referenceHalfLife.Seconds()
	span := halfLife / math.Ln2 * (1 - math.Exp2(-age/halfLife))
	return p.seen / max(span, 1)
}

// trim makes the reference from the servers that are least suspect.
func (p *pool) trim() {
	var suspects []int
	for i := range p.servers {
		if p.level(i) >= suspectLevel {
			suspects = append(suspects, i)
		}
	}
	slices.SortStableFunc(suspects, func(a, b int) int { return cmp.Compare(p.level(b), p.level(a)) })
	suspects = suspects[:min(len(suspects), int(trimmedShare*float64(len(p.servers))))]
	p.reference = reference{}
	for i := range p.servers {
		if !slices.Contains(suspects, i) {
			p.reference.merge(&p.servers[i])
		}
	}
}

func (p *pool) fade(elapsed time.Duration) {
	factor := fadeFactor(elapsed)
	for i := range p.scores {
		for t := range p.scores[i] {
			if p.scores[i][t].sum > 0 {
				p.scores[i][t].scale(factor)
			}
		}
	}
}

// observe takes in what one VM's requests newly met at one server.
func (p *pool) observe(now time.Time, server int, from part, added *Counts) {
	p.advance(now)
	for t := range tests {
		p.observeTest(t, server, from, added)
	}
	p.servers[server].observe(added, p.stall)
	p.seen += float64(added.observations())
}

// observeCold is observe for a server that may be slow because it just started.
func (p *pool) observeCold(now time.Time, server int, from part, added *Counts) {
	p.advance(now)
	p.observeTest(testErrors, server, from, added)
	p.observeTest(testOutage, server, from, added)
}

func (p *pool) observeTest(t test, server int, from part, added *Counts) {
	s := &p.scores[server][t]
	s.begin(p.totals[t])
	sure, doubtful := p.sums(t, added)
	doubtful.sum = min(doubtful.sum, max(doubtLimit*p.threshold-s.doubt, 0))
	s.doubt += doubtful.sum
	sure.add(doubtful)
	s.add(from, sure.sum, sure.n, vmLimit*p.threshold)
	s.limit(sumLimit * p.threshold)
	p.totals[t][server].add(sure)
}

// sums adds up the ratios of the observations, apart those over connections
// that may have gone silent.
func (p *pool) sums(t test, added *Counts) (sure, doubtful total) {
	sure.addRatio(added.Failed, p.ratios.failed[t], 0)
	for b := range Buckets {
		sure.addRatio(added.Answered[b], p.ratios.answered[t][b], b)
		sure.addRatio(added.Pending[b], p.ratios.pending[t][b], b)
		doubtful.addRatio(added.Doubtful[b], p.ratios.pending[t][b], b)
	}
	return sure, doubtful
}

// reset forgets the sums of a server. headStart is the share of the threshold
// that its tests begin with.
func (p *pool) reset(server int, headStart float64) {
	for t := range p.scores[server] {
		s := &p.scores[server][t]
		s.sum = 0
		s.begin(p.totals[t])
		s.sum = headStart * p.threshold
	}
}

// level returns the highest sum of a server's tests over the threshold.
func (p *pool) level(server int) float64 {
	if p.threshold == 0 {
		return 0
	}
	highest := 0.0
	for t := range p.scores[server] {
		highest = max(highest, p.scores[server][t].sum)
	}
	return highest / p.threshold
}

// alarm is a test that found a server failing.
type alarm struct {
	test  test
	score *score
	level float64 // sum over threshold, without what other servers share
	text  string
}

// alarmed returns the strongest alarm of a server.
func (p *pool) alarmed(server int) (strongest alarm, ok bool) {
	for t := range tests {
		s := &p.scores[server][t]
		if s.sum < p.threshold || s.n == 0 {
			continue
		}
		level, outlier := p.against(t, server)
		if !outlier || level < 1 || level <= strongest.level {
			continue
		}
		text := fmt.Sprintf("%s: score %.1f of %.1f after %.0f requests", t, s.sum, p.threshold, s.n)
		strongest, ok = alarm{test: t, score: s, level: level, text: text}, true
	}
	return strongest, ok
}

// against compares a server's excursion with what the other servers met in the
// same time. level is the sum left above their median. The server is an outlier
// if its sum is so far above theirs that chance explains it no more often than
// the threshold allows and, for tests of latency, its answers are much slower.
func (p *pool) against(t test, server int) (level float64, outlier bool) {
	s := &p.scores[server][t]
	others := p.othersSince(t, server, s.before)
	if len(others) < min(fewestOthers, len(p.servers)-1) {
		return 0, false
	}
	center := medianOf(others, func(o total) float64 { return o.sum / o.n })
	variance := medianOf(others, func(o total) float64 { return o.deviation(center) })
	level = (s.sum - s.n*max(center, 0)) / p.threshold
	outlier = s.sum-s.n*center >= math.Sqrt(2*p.threshold*s.n*variance)
	if t == testSlow || t == testStalled {
		own := p.totals[t][server].since(s.before[server])
		outlier = outlier && own.latency() >= medianOf(others, total.latency)+fewestBucketsSlower
	}
	return level, outlier
}

// othersSince returns what the other servers met since before, if anything.
func (p *pool) othersSince(t test, server int, before []total) []total {
	var others []total
	for other, now := range p.totals[t] {
		if in := now.since(before[other]); other != server && in.n >= 1 {
			others = append(others, in)
		}
	}
	return others
}

func medianOf(totals []total, value func(total) float64) float64 {
	values := make([]float64, len(totals))
	for i, t := range totals {
		values[i] = value(t)
	}
	return median(values)
}

// median sorts the values; it returns 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
