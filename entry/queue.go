package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lacewingmount.dev/limit"
	"lacewingmount.dev/wire"
)

// maxQueueWait is the maximum time in the queue of a request without a deadline.
const maxQueueWait = 30 * time.Second

// queueStage limits the requests that this entry has in flight at each service and shares
// the slots fairly among the client accounts.
type queueStage struct {
	settler *settler
	mu      sync.Mutex
	queues  map[string]*serviceQueue // by service
	waits   *metrics.Histogram
}

// serviceQueue is the queue and the concurrency limit of one service.
type serviceQueue struct {
	mu          sync.Mutex
	concurrency limit.ConcurrencyLimit
	queue       *limit.FairQueue[*queuedRequest]
}

// queuedRequest is a request in the queue; decision is closed when it was granted a slot
// or rejected.
type queuedRequest struct {
	decision chan struct{}
	granted  bool
}

// slot is the concurrency slot that a request holds at a service, from the queue stage to
// the end of the request.
type slot struct {
	queue   *serviceQueue
	account string
	since   time.Time
}

func newQueueStage(settler *settler) *queueStage {
	return &queueStage{
		settler: settler, queues: map[string]*serviceQueue{},
		waits: metrics.GetOrCreateHistogram("lacewing_queue_wait_seconds"),
	}
}

func (*queueStage) Name() string { return "queue" }

func (s *queueStage) Serve(x *Exchange) *Refusal {
	due, _ := x.Deadline()
	now := time.Now()
	q := s.queueFor(x)
	request := &queuedRequest{decision: make(chan struct{})}
	decision := q.enqueue(x.AccountName(), request, due, now)
	if decision.Admission == limit.AdmissionWait {
		decision.Admission = q.wait(x, request, decision.LatestStart, now)
		s.waits.Update(time.Since(now).Seconds())
	}
	if decision.Admission != limit.AdmissionStart {
		return s.refuse(x, decision.ExpectedWait)
	}
	x.slot = &slot{queue: q, account: x.AccountName(), since: time.Now()}
	return nil
}

// queueFor returns the queue of the exchange's service after setting its number of slots
// according to the exchange's table.
func (s *queueStage) queueFor(x *Exchange) *serviceQueue {
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

// refuse returns the refusal of a request that was not sent, and releases its claim.
func (s *queueStage) refuse(x *Exchange, wait time.Duration) *Refusal {
	if x.Claim != nil {
		s.settler.settle(wire.SettleRequest{Claim: *x.Claim, NotRun: true})
	}
	return refuseNotRun(http.StatusServiceUnavailable, ReasonBusy, "the service has no free slot in time").retryAfter(max(wait, time.Second))
}

func (q *serviceQueue) setSlots(slots, entries int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.concurrency.SetSlots(slots, entries)
	q.notify(q.queue.SetLimit(q.concurrency.Limit(), time.Now()))
}

func (q *serviceQueue) enqueue(account string, request *queuedRequest, due, now time.Time) limit.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Admit(account, request, due, now)
}

// wait blocks until the request is granted a slot or rejected, can no longer finish before
// its deadline, or is cancelled by the caller.
func (q *serviceQueue) wait(x *Exchange, request *queuedRequest, latestStart, now time.Time) limit.Admission {
	maxWait := maxQueueWait
	if !latestStart.IsZero() {
		maxWait = latestStart.Sub(now)
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-request.decision:
	case <-timer.C:
	case <-x.Request.Context().Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queue.Cancel(x.AccountName(), request) || !request.granted {
		return limit.AdmissionReject
	}
	return limit.AdmissionStart
}

// notify wakes the requests that the queue has granted a slot or rejected as too late.
func (q *serviceQueue) notify(granted, late []*queuedRequest) {
	for _, request := range granted {
		request.granted = true
		close(request.decision)
	}
	for _, request := range late {
		close(request.decision)
	}
}

// leave returns the slot at the end of the request.
func (s *slot) leave() {
	if s == nil {
		return
	}
	q, now := s.queue, time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.concurrency.RecordSuccess(q.queue.Held() >= q.concurrency.Limit())
	q.notify(q.queue.SetLimit(q.concurrency.Limit(), now))
	q.notify(q.queue.Release(s.account, now.Sub(s.since), now))
}

// recordShed records that a backend server rejected the request because it had no free
// slot.
func (s *slot) recordShed() {
	if s == nil {
		return
	}
	q, now := s.queue, time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.concurrency.RecordRejection(q.queue.Held(), now)
	q.notify(q.queue.SetLimit(q.concurrency.Limit(), now))
}

// shedRecorder is a Picker that also reports shed requests to the queue of their service.
type shedRecorder struct {
	Picker
}

// Report implements Picker.
func (p shedRecorder) Report(x *Exchange, server *Server, observed Observation) {
	if observed.Result == ResultShed {
		x.slot.recordShed()
	}
	p.Picker.Report(x, server, observed)
}
