package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lacewingmount.dev/limit"
	"lacewingmount.dev/wire"
)

// longestQueueWait bounds the wait of requests without a deadline.
const longestQueueWait = 30 * time.Second

// queueStage shares out what this entry may have in flight at a service among
// the client accounts.
type queueStage struct {
	claimer Claimer
	mu      sync.Mutex
	queues  map[string]*serviceQueue // by service
	waits   *metrics.Histogram
}

// serviceQueue is the queue of one service.
type serviceQueue struct {
	mu     sync.Mutex
	places limit.ConcurrencyLimit
	queue  *limit.FairQueue[*queuedRequest]
}

// queuedRequest waits until decided is closed.
type queuedRequest struct {
	decided chan struct{}
	start   bool
}

// place is a request's place at a service, from the queue to the end of the request.
type place struct {
	queue   *serviceQueue
	account string
	since   time.Time
}

func newQueueStage(claimer Claimer) *queueStage {
	return &queueStage{
		claimer: claimer, queues: map[string]*serviceQueue{},
		waits: metrics.GetOrCreateHistogram("lacewing_queue_wait_seconds"),
	}
}

func (*queueStage) Name() string { return "queue" }

func (s *queueStage) Serve(x *Exchange) *Refusal {
	due, _ := x.Deadline()
	now := time.Now()
	q := s.of(x)
	request := &queuedRequest{decided: make(chan struct{})}
	decided := q.enter(x.AccountName(), request, due, now)
	if decided.Admission == limit.AdmissionWait {
		decided.Admission = q.wait(x, request, decided.LatestStart, now)
		s.waits.Update(time.Since(now).Seconds())
	}
	if decided.Admission != limit.AdmissionStart {
		return s.refuse(x, decided.ExpectedWait)
	}
	x.place = &place{queue: q, account: x.AccountName(), since: time.Now()}
	return nil
}

// of returns the queue of the exchange's service, with the places of its table.
func (s *queueStage) of(x *Exchange) *serviceQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := x.Service
	slots := service.Config.Slots * len(service.Servers)
	q := s.queues[service.Config.Name]
	if q == nil {
		q = &serviceQueue{queue: limit.NewFairQueue[*queuedRequest](slots)}
		s.queues[service.Config.Name] = q
	}
	q.setSlots(slots, x.Table.Members)
	return q
}

// refuse turns a request away that was not sent, and gives back its claim.
func (s *queueStage) refuse(x *Exchange, wait time.Duration) *Refusal {
	if x.Claim != nil {
		settle(s.claimer, wire.SettleRequest{Claim: *x.Claim, NotRun: true})
	}
	return notRun(http.StatusServiceUnavailable, ReasonBusy, "the service has no free slot in time").after(max(wait, time.Second))
}

func (q *serviceQueue) setSlots(slots, entries int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.places.SetSlots(slots, entries)
	q.decide(q.queue.SetLimit(q.places.Limit(), time.Now()))
}

func (q *serviceQueue) enter(account string, request *queuedRequest, due, now time.Time) limit.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Admit(account, request, due, now)
}

// wait blocks until the request may start, is too late, or its caller leaves.
func (q *serviceQueue) wait(x *Exchange, request *queuedRequest, lastStart, now time.Time) limit.Admission {
	most := longestQueueWait
	if !lastStart.IsZero() {
		most = lastStart.Sub(now)
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-request.decided:
	case <-timer.C:
	case <-x.Request.Context().Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queue.Cancel(x.AccountName(), request) || !request.start {
		return limit.AdmissionReject
	}
	return limit.AdmissionStart
}

// decide wakes the requests that the queue has decided about.
func (q *serviceQueue) decide(start, late []*queuedRequest) {
	for _, request := range start {
		request.start = true
		close(request.decided)
	}
	for _, request := range late {
		close(request.decided)
	}
}

// leave gives back the place at the end of the request.
func (p *place) leave() {
	if p == nil {
		return
	}
	q, now := p.queue, time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.places.RecordSuccess(q.queue.Held() >= q.places.Limit())
	q.decide(q.queue.SetLimit(q.places.Limit(), now))
	q.decide(q.queue.Release(p.account, now.Sub(p.since), now))
}

// shed notes that a backend server had no slot for the request.
func (p *place) shed() {
	if p == nil {
		return
	}
	q, now := p.queue, time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.places.RecordRejection(q.queue.Held(), now)
	q.decide(q.queue.SetLimit(q.places.Limit(), now))
}

// shedPicker tells the queue which requests were shed.
type shedPicker struct {
	Picker
}

// Report implements Picker.
func (p shedPicker) Report(x *Exchange, server *Server, observed Observation) {
	if observed.End == EndShed {
		x.place.shed()
	}
	p.Picker.Report(x, server, observed)
}
