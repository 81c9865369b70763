package placement

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	maxClasses         = 64                    // classes of a service; the one without answers for the longest time is dropped first
	classSamples       = 50.0                  // answers of a class that count equally; later ones have meanWeight
	classTrust         = 5.0                   // answers as which the service's mean counts in the estimate of a class, until it has classSamples
	recentTime         = 10 * time.Second      // time constant of the answers of a class that count as recent
	minCompared        = 50.0                  // answers of a class before it is compared with others
	maxCompared        = 400.0                 // answers that are compared; later ones have the weight of one in as many
	classExpiry        = 30 * time.Second      // since its newest answer, after which a class is not compared
	standardErrors     = 3.0                   // by which the work of two classes must differ; a service may have ten classes that cost the same
	differingFrom      = 1.25                  // ratio of the work of two classes, standardErrors apart, from which the estimate is in force
	differingUntil     = 1.0                   // the same below which it ends
	slownessWeight     = 0.1                   // weight of the newest answer in the slowness of a server; one answer says little
	maxSlownessStep    = 3.0                   // multiple of the expected time as which a longer one counts; long requests do not make a server slow
	minSlownessSamples = 5                     // answers before the slowness of a server is used
	lateCost           = 0.6                   // a request that is answered too late, as a share of one that fails; callers value a late answer at about 0.4
	maxRecent          = 1 << 20               // bound of a reported number of recent answers
	loadPeriod         = 20 * time.Millisecond // for which the load of a server is used again; requests take ten times as long
	maxLoad            = 1.25                  // upper bound of the load of a server with long requests, as a share of its slots
)

// Class distinguishes requests by what is known before they run.
type Class struct {
	Route uint32 // hash of the route's name; 0 if unknown
	Step  uint8  // of the body size: 0 without a body, then one step for each factor of 4
}

// class returns the class of the request.
func (r *Request) class() Class { return ClassOf(r.Route, r.Bytes) }

// ClassOf returns the class of a request with a body of the given size.
func ClassOf(route uint32, size int) Class {
	return Class{Route: route, Step: uint8((bits.Len(uint(max(0, size))) + 1) / 2)}
}

// ClassWork is what a Broker has learned about a class, for the next owner of the service.
type ClassWork struct {
	Class
	Mean    time.Duration // work on a server of usual speed
	Samples int           // answers on which it is based, at most classSamples
	Recent  int           // answers of about the last 10 s
}

// workEstimate estimates the work of requests by class, apart from the speed of the servers, and
// how much of it is left of running requests.
type workEstimate struct {
	classes map[Class]*classEstimate
	mean    float64 // work of all requests on a server of usual speed, seconds; 0 if unknown
	inForce bool    // the classes differ
	norm    float64 // mean slowness of the servers
	shape   workShape
}

// classEstimate is the estimate of one class.
type classEstimate struct {
	mean    float64 // seconds
	samples float64
	// The comparison of the classes needs more answers than the estimate.
	compared compared
	recent   float64 // decayed number of answers, at updated
	updated  time.Time
}

func newWorkEstimate() workEstimate {
	return workEstimate{classes: map[Class]*classEstimate{}, norm: 1, shape: newWorkShape()}
}

// seconds returns the expected work of a class, given the mean latency of all answers.
func (e *workEstimate) seconds(class Class, meanLatency float64) float64 {
	mean := cmp.Or(e.mean, meanLatency)
	c := e.classes[class]
	if c == nil {
		return mean
	}
	trust := classTrust * (1 - c.samples/classSamples)
	return (c.mean*c.samples + mean*trust) / (c.samples + trust)
}

// slowness returns the time that the server takes for its requests as a multiple of the
// usual one.
func (e *workEstimate) slowness(s *server) float64 {
	if s.answers < minSlownessSamples {
		return 1
	}
	return s.slowness / e.norm
}

// observe learns from an answered request.
func (e *workEstimate) observe(now time.Time, class Class, s *server, took time.Duration, meanLatency float64) {
	expected := e.seconds(class, meanLatency)
	slowness := e.slowness(s)
	e.shape.observe(took.Seconds() / (expected * slowness))
	ratio := min(took.Seconds()/expected*e.norm, maxSlownessStep*max(e.norm, s.slowness))
	s.slowness += slownessWeight * (ratio - s.slowness)
	s.answers++
	work := took.Seconds() / slowness
	if e.mean == 0 {
		e.mean = work
	}
	e.mean += meanWeight * (work - e.mean)
	c := e.classes[class]
	if c == nil {
		c = e.add(class)
	}
	c.observe(now, work)
}

// observe adds the work of one request.
func (c *classEstimate) observe(now time.Time, work float64) {
	c.samples = min(classSamples, c.samples+1)
	c.mean += max(meanWeight, 1/c.samples) * (work - c.mean)
	c.compared.observe(work)
	c.recent, c.updated = c.recentAt(now)+1, now
}

// compared holds the mean and the spread of a class over maxCompared answers.
type compared struct{ mean, square, samples float64 }

func (c *compared) observe(work float64) {
	c.samples = min(maxCompared, c.samples+1)
	c.mean += (work - c.mean) / c.samples
	c.square += (work*work - c.square) / c.samples
}

// standardError returns the standard error of the mean.
func (c *compared) standardError() float64 {
	return math.Sqrt(max(0, c.square-c.mean*c.mean) / max(1, c.samples))
}

// recentAt returns the number of recent answers at a time.
func (c *classEstimate) recentAt(now time.Time) float64 {
	return c.recent * math.Exp(-now.Sub(c.updated).Seconds()/recentTime.Seconds())
}

// add adds a class, and drops the one without answers for the longest time if there are too many.
func (e *workEstimate) add(class Class) *classEstimate {
	if len(e.classes) >= maxClasses {
		oldest := slices.MinFunc(e.sorted(), func(x, y Class) int { return e.classes[x].updated.Compare(e.classes[y].updated) })
		delete(e.classes, oldest)
	}
	c := &classEstimate{}
	e.classes[class] = c
	return c
}

// sorted returns the classes in a fixed order.
func (e *workEstimate) sorted() []Class {
	classes := make([]Class, 0, len(e.classes))
	for class := range e.classes {
		classes = append(classes, class)
	}
	slices.SortFunc(classes, func(x, y Class) int {
		return cmp.Or(cmp.Compare(x.Route, y.Route), cmp.Compare(x.Step, y.Step))
	})
	return classes
}

// update decides whether the estimate is in force, and normalizes the slowness of the servers.
func (e *workEstimate) update(now time.Time, servers []*server) {
	lowest, highest := math.Inf(1), 0.0 // the upper bound of the cheapest class, and the lower bound of the dearest
	for _, c := range e.classes {
		if c.compared.samples >= minCompared && now.Sub(c.updated) <= classExpiry {
			margin := standardErrors * c.compared.standardError()
			lowest, highest = min(lowest, c.compared.mean+margin), max(highest, c.compared.mean-margin)
		}
	}
	threshold := differingFrom
	if e.inForce {
		threshold = differingUntil
	}
	e.inForce = highest > threshold*lowest
	sum, n := 0.0, 0
	for _, s := range servers {
		if s.answers >= minSlownessSamples {
			sum += s.slowness
			n++
		}
	}
	e.norm = 1
	if n > 0 {
		e.norm = max(0.01, sum/float64(n))
	}
	e.shape.update()
}

// workOf returns the expected work of a request on a server of usual speed: the mean latency
// unless the classes of the service differ.
func (b *Broker) workOf(r *Request) time.Duration {
	if !b.work.inForce {
		return b.latencyEstimate.meanLatency()
	}
	return time.Duration(b.work.seconds(r.class(), b.latencyEstimate.mean) * float64(time.Second))
}

// expectedTime returns the expected time until the server answers a request with the given work.
func (b *Broker) expectedTime(now time.Time, s *server, work time.Duration) time.Duration {
	slowness := b.work.slowness(s)
	if now.Before(s.warmupUntil) {
		slowness /= coldShare
	}
	return time.Duration(float64(work) * slowness)
}

// workLoad returns the load of the server if it gets another request, as a share of its slots.
// Running requests count by the work that they have left, relative to a usual running request.
// It is computed anew when a request has begun or ended, and each loadPeriod.
func (b *Broker) workLoad(now time.Time, s *server) float64 {
	if s.load.requests == len(s.running) && now.Sub(s.load.at) < loadPeriod && !s.load.at.IsZero() {
		return s.load.value
	}
	s.load = workLoad{value: b.currentWorkLoad(now, s), requests: len(s.running), at: now}
	return s.load.value
}

// workLoad is the load of a server at some time.
type workLoad struct {
	value    float64
	requests int
	at       time.Time
}

func (b *Broker) currentWorkLoad(now time.Time, s *server) float64 {
	usual := b.work.shape.usualLeft() * cmp.Or(b.work.mean, b.latencyEstimate.mean) * float64(time.Second)
	var left time.Duration // whole numbers, whose sum does not depend on the order
	for _, g := range s.running {
		if g.expected > 0 {
			left += b.workLeft(now, g)
		}
	}
	return min(maxLoad, (1+float64(left)/max(1, usual))/float64(s.Slots))
}

// workLeft returns the expected time until a running request ends. It has more left the longer it
// has exceeded its estimate.
func (b *Broker) workLeft(now time.Time, g *grant) time.Duration {
	return time.Duration(g.expected * b.work.shape.left(now.Sub(g.startedAt).Seconds()/g.expected) * float64(time.Second))
}

// assignClass records the class of a grant and the time that its request is expected to take.
func (b *Broker) assignClass(g *grant, class Class) {
	g.class = class
	g.expected = b.work.seconds(class, b.latencyEstimate.mean) * b.work.slowness(g.server)
}

// lateness returns the cost of the time that a server is expected to take for a request.
func lateness(r *Request, expected time.Duration) float64 {
	limit := r.Target
	if limit <= 0 {
		limit = r.Left
	}
	if limit <= 0 {
		return lateCost
	}
	share := min(1, expected.Seconds()/limit.Seconds())
	return lateCost * share * share
}

// queueWork returns the work of the queued requests relative to that of as many usual ones.
func (b *Broker) queueWork() float64 {
	if !b.work.inForce || len(b.queue) == 0 {
		return 1
	}
	sum := 0.0
	for _, r := range b.queue {
		sum += b.work.seconds(r.class(), b.latencyEstimate.mean)
	}
	return sum / (float64(len(b.queue)) * cmp.Or(b.work.mean, b.latencyEstimate.mean))
}

// Work returns what the Broker has learned about the classes of the service, those with the most
// recent answers first. It returns nothing while the classes cost the same.
func (b *Broker) Work(now time.Time) []ClassWork {
	if !b.work.inForce {
		return nil
	}
	var list []ClassWork
	for _, class := range b.work.sorted() {
		c := b.work.classes[class]
		list = append(list, ClassWork{Class: class, Mean: time.Duration(c.mean * float64(time.Second)), Samples: int(c.samples), Recent: int(math.Ceil(c.recentAt(now)))})
	}
	slices.SortStableFunc(list, func(x, y ClassWork) int { return cmp.Compare(y.Recent, x.Recent) })
	return list
}

// LearnWork adopts what other VMs have learned, in proportion to their answers. Classes of
// which this Broker has answers enough keep its own estimate.
func (b *Broker) LearnWork(now time.Time, list []ClassWork) {
	for _, said := range list {
		samples := min(classSamples, float64(said.Samples))
		if samples <= 0 || said.Mean <= 0 || said.Mean > time.Hour {
			continue
		}
		c := b.work.classes[said.Class]
		if c == nil {
			c = b.work.add(said.Class)
		}
		c.recent += float64(min(maxRecent, max(0, said.Recent)))
		if c.samples >= classSamples {
			continue
		}
		mean := said.Mean.Seconds()
		c.mean = (c.mean*c.samples + mean*samples) / (c.samples + samples)
		if known := float64(said.Recent); known > c.compared.samples {
			c.compared = compared{mean: mean, square: 2 * mean * mean, samples: min(maxCompared, known)} // a usual spread; reports do not contain it
		}
		c.samples, c.updated = min(classSamples, c.samples+samples), now
	}
	if b.work.mean == 0 {
		sum, recent := 0.0, 0.0
		for _, class := range b.work.sorted() {
			c := b.work.classes[class]
			sum, recent = sum+c.mean*c.recent, recent+c.recent
		}
		if recent > 0 {
			b.work.mean = sum / recent
			b.latencyEstimate.mean = b.work.mean
		}
	}
	b.work.update(now, b.serversByID)
}
