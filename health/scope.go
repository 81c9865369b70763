package health

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	minComparedServers = 2   // other servers with requests that a server is compared with
	minSlowerBuckets   = 1.5 // buckets above the median; a factor of 2.3 in latency
)

// maxTrimmedShare is the largest share of the servers that the shared reference
// leaves out. It leaves out the most suspect ones.
const maxTrimmedShare = 1.0 / 3

// commonCauseRetainedShare is the share of the reference that is kept after a
// common cause.
const commonCauseRetainedShare = 0.1

// outlierTests runs the tests of all servers of a service over the observations
// of one scope: all VMs, an availability zone or a VM.
type outlierTests struct {
	started           time.Time
	advancedAt        time.Time
	observationCount  float64 // decays exponentially
	servers           []reference
	reference         reference // over all servers except the most suspect ones
	stallBucket       int       // latency bucket from which an unanswered request counts as stalled
	ratios            *ratios
	fadedAt           time.Time
	cusums            [][testCount]cusum // by server
	totals            [testCount][]total // by server
	threshold         float64
	falseAlarmsPerDay float64 // accepted, per server
}

func newOutlierTests(servers int, falseAlarmsPerDay float64) *outlierTests {
	p := &outlierTests{
		falseAlarmsPerDay: falseAlarmsPerDay, stallBucket: maxStallBucket,
		servers: make([]reference, servers), cusums: make([][testCount]cusum, servers),
	}
	for t := range testCount {
		p.totals[t] = make([]total, servers)
	}
	return p
}

// advance decays old observations and recomputes the ratios and the threshold.
func (p *outlierTests) advance(now time.Time) {
	if p.ratios != nil && now.Sub(p.advancedAt) < ratiosPeriod {
		return
	}
	if p.ratios == nil {
		p.started, p.fadedAt = now, now
	}
	fade := math.Exp2(-now.Sub(p.advancedAt).Seconds() / referenceHalfLife.Seconds())
	p.advancedAt = now
	p.observationCount *= fade
	p.threshold = threshold(p.falseAlarmsPerDay, p.rate()/float64(max(len(p.servers), 1)))
	if p.commonCause() {
		fade *= commonCauseRetainedShare
		for i := range p.servers {
			p.reset(i, 0)
		}
	}
	for i := range p.servers {
		p.servers[i].scale(fade)
	}
	p.trim()
	p.stallBucket = p.reference.stallBucket()
	p.ratios = newRatios(&p.reference, p.stallBucket)
	if elapsed := now.Sub(p.fadedAt); elapsed >= fadePeriod {
		p.fade(elapsed)
		p.fadedAt = now
	}
}

// commonCause reports whether most servers are suspect in the same test. The
// cause is then outside the servers, and the reference is out of date.
func (p *outlierTests) commonCause() bool {
	for t := range testCount {
		suspects := 0
		for i := range p.cusums {
			if p.cusums[i][t].sum >= suspectLevel*p.threshold {
				suspects++
			}
		}
		if 2*suspects > len(p.servers) && suspects > 1 {
			return true
		}
	}
	return false
}

// rate returns the number of observations per second.
func (p *outlierTests) rate() float64 {
	age, halfLife := p.advancedAt.Sub(p.started).Seconds(), referenceHalfLife.Seconds()
	span := halfLife / math.Ln2 * (1 - math.Exp2(-age/halfLife))
	return p.observationCount / max(span, 1)
}

// trim rebuilds the reference without the most suspect servers.
func (p *outlierTests) trim() {
	var suspects []int
	for i := range p.servers {
		if p.level(i) >= suspectLevel {
			suspects = append(suspects, i)
		}
	}
	slices.SortStableFunc(suspects, func(a, b int) int { return cmp.Compare(p.level(b), p.level(a)) })
	suspects = suspects[:min(len(suspects), int(maxTrimmedShare*float64(len(p.servers))))]
	p.reference = reference{}
	for i := range p.servers {
		if !slices.Contains(suspects, i) {
			p.reference.merge(&p.servers[i])
		}
	}
}

func (p *outlierTests) fade(elapsed time.Duration) {
	factor := fadeFactor(elapsed)
	for i := range p.cusums {
		for t := range p.cusums[i] {
			if p.cusums[i][t].sum > 0 {
				p.cusums[i][t].scale(factor)
			}
		}
	}
}

// observe records new outcomes of one VM's requests to one server.
func (p *outlierTests) observe(now time.Time, server int, from source, added *Counts) {
	p.advance(now)
	for t := range testCount {
		p.observeTest(t, server, from, added)
	}
	p.servers[server].observe(added, p.stallBucket)
	p.observationCount += float64(added.observations())
}

// observeSlowStart is observe without the latency tests, for a server that may be
// slow because it just started.
func (p *outlierTests) observeSlowStart(now time.Time, server int, from source, added *Counts) {
	p.advance(now)
	p.observeTest(testErrors, server, from, added)
	p.observeTest(testOutage, server, from, added)
}

func (p *outlierTests) observeTest(t test, server int, from source, added *Counts) {
	s := &p.cusums[server][t]
	s.beginExcursion(p.totals[t])
	sure, doubtful := p.sums(t, added)
	doubtful.sum = min(doubtful.sum, max(maxDoubtfulThresholds*p.threshold-s.doubtfulSum, 0))
	s.doubtfulSum += doubtful.sum
	sure.add(doubtful)
	s.add(from, sure.sum, sure.n, maxVMThresholds*p.threshold)
	s.limit(maxSumThresholds * p.threshold)
	p.totals[t][server].add(sure)
}

// sums adds up the ratios of the observations. Those of Counts.Doubtful are
// returned separately.
func (p *outlierTests) sums(t test, added *Counts) (sure, doubtful total) {
	sure.addRatio(added.Failed, p.ratios.failed[t], 0)
	for b := range LatencyBuckets {
		sure.addRatio(added.Answered[b], p.ratios.answered[t][b], b)
		sure.addRatio(added.Pending[b], p.ratios.pending[t][b], b)
		doubtful.addRatio(added.Doubtful[b], p.ratios.pending[t][b], b)
	}
	return sure, doubtful
}

// reset restarts the tests of a server. initialSumShare is the share of the
// threshold that the sums start at.
func (p *outlierTests) reset(server int, initialSumShare float64) {
	for t := range p.cusums[server] {
		s := &p.cusums[server][t]
		s.sum = 0
		s.beginExcursion(p.totals[t])
		s.sum = initialSumShare * p.threshold
	}
}

// level returns the highest sum of a server's tests, divided by the threshold.
func (p *outlierTests) level(server int) float64 {
	if p.threshold == 0 {
		return 0
	}
	highest := 0.0
	for t := range p.cusums[server] {
		highest = max(highest, p.cusums[server][t].sum)
	}
	return highest / p.threshold
}

// alarm is the result of a test that classified a server as failing.
type alarm struct {
	test  test
	cusum *cusum
	level float64 // sum above the median of the other servers, divided by the threshold
	text  string
}

// strongestAlarm returns the alarm of a server with the highest level, if any.
func (p *outlierTests) strongestAlarm(server int) (strongest alarm, ok bool) {
	for t := range testCount {
		s := &p.cusums[server][t]
		if s.sum < p.threshold || s.n == 0 {
			continue
		}
		level, outlier := p.compareWithOthers(t, server)
		if !outlier || level < 1 || level <= strongest.level {
			continue
		}
		text := fmt.Sprintf("%s: score %.1f of %.1f after %.0f requests", t, s.sum, p.threshold, s.n)
		strongest, ok = alarm{test: t, cusum: s, level: level, text: text}, true
	}
	return strongest, ok
}

// compareWithOthers compares a server's excursion with the observations of the
// other servers in the same period. level is the part of the sum above their
// median, divided by the threshold. The server is an outlier if its sum exceeds
// theirs by more than chance explains at the rate that the threshold allows and,
// in the latency tests, its responses are much slower than theirs.
func (p *outlierTests) compareWithOthers(t test, server int) (level float64, outlier bool) {
	s := &p.cusums[server][t]
	others := p.othersSince(t, server, s.totalsAtStart)
	if len(others) < min(minComparedServers, len(p.servers)-1) {
		return 0, false
	}
	center := medianOf(others, func(o total) float64 { return o.sum / o.n })
	variance := medianOf(others, func(o total) float64 { return o.deviation(center) })
	level = (s.sum - s.n*max(center, 0)) / p.threshold
	outlier = s.sum-s.n*center >= math.Sqrt(2*p.threshold*s.n*variance)
	if t == testSlow || t == testStalled {
		own := p.totals[t][server].since(s.totalsAtStart[server])
		outlier = outlier && own.latency() >= medianOf(others, total.latency)+minSlowerBuckets
	}
	return level, outlier
}

// othersSince returns the observations of the other servers since totalsAtStart,
// for those that have any.
func (p *outlierTests) othersSince(t test, server int, totalsAtStart []total) []total {
	var others []total
	for other, now := range p.totals[t] {
		if in := now.since(totalsAtStart[other]); other != server && in.n >= 1 {
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

// median sorts the values in place and returns their median, or 0 if there are none.
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
