package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/health"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// serverPicker is a Picker that uses the results of this VM's requests and the verdicts
// of the owner of each service.
type serverPicker struct {
	vm, zone string
	started  time.Time
	agent    *wire.Client
	events   *timeline.Ring
	log      *zap.Logger

	mu       sync.Mutex
	services map[string]*serviceView
}

// serviceView is the state of the servers of one service.
type serviceView struct {
	mu        sync.Mutex
	view      *health.View
	servers   []*Server
	probePath string // URL path for probes
	attempts  map[attemptKey]*health.Attempt
	random    *rand.Rand
}

// attemptKey identifies an attempt from Pick to Report.
type attemptKey struct {
	exchange *Exchange
	server   *Server
}

func newServerPicker(settings Settings, agent *wire.Client, events *timeline.Ring, log *zap.Logger) *serverPicker {
	return &serverPicker{
		vm: settings.VM, zone: settings.Zone, started: time.Now(), agent: agent, events: events, log: log,
		services: map[string]*serviceView{},
	}
}

// setTable updates the services and their servers from a new table.
func (p *serverPicker) setTable(table *Table) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.services {
		if table.services[name] == nil {
			delete(p.services, name)
		}
	}
	for name, service := range table.services {
		known := p.services[name]
		if known == nil {
			known = &serviceView{
				view:     health.NewView(p.vm, p.zone, p.started),
				attempts: map[attemptKey]*health.Attempt{},
				random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			}
			p.services[name] = known
		}
		known.update(now, service, table.Members)
	}
}

func (s *serviceView) update(now time.Time, service *Service, members int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := health.Limits{Slots: service.Config.Slots, Connections: service.Config.Connections}
	s.view.SetService(now, health.ServiceFromConfig(&service.Config), limits, members)
	s.servers, s.probePath = service.Servers, service.Config.Probe
}

func (p *serverPicker) service(name string) *serviceView {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.services[name]
}

// Pick implements Picker.
func (p *serverPicker) Pick(x *Exchange, tried map[*Server]bool) *Server {
	service := p.service(x.Service.Config.Name)
	if service == nil {
		return nil
	}
	return service.pick(time.Now(), x, tried)
}

func (s *serviceView) pick(now time.Time, x *Exchange, tried map[*Server]bool) *Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := health.Request{Protected: x.Route.Protected, Idempotent: isSafeMethod(x.Request.Method)}
	index, ok := s.view.Pick(now, request, func(i int) bool { return tried[s.servers[i]] }, s.random)
	if !ok {
		return nil
	}
	server := s.servers[index]
	s.attempts[attemptKey{x, server}] = s.view.Begin(now, index)
	return server
}

// Report implements Picker.
func (p *serverPicker) Report(x *Exchange, server *Server, observed Observation) {
	if service := p.service(x.Service.Config.Name); service != nil {
		service.report(time.Now(), attemptKey{x, server}, observed)
	}
}

func (s *serviceView) report(now time.Time, key attemptKey, observed Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := health.Outcome{Completion: completionOf(observed), Draining: observed.Draining}
	if attempt := s.attempts[key]; attempt != nil {
		delete(s.attempts, key)
		s.view.Connected(attempt, observed.ReusedConn)
		s.view.End(now, attempt, outcome)
		return
	}
	for i, server := range s.servers { // a repeated attempt at the same server, for which Pick was not called
		if server == key.server {
			s.view.RecordAttempt(now, i, observed.Elapsed, observed.ReusedConn, outcome)
		}
	}
}

// completionOf converts an observation for package health. A complete response with a
// server error counts as a failure.
func completionOf(observed Observation) health.Completion {
	switch observed.Result {
	case ResultAnswered:
		return completionOfStatus(observed.Status)
	case ResultShed:
		return health.Shed
	case ResultCancelled:
		return health.Cancelled
	default:
		return health.Incomplete
	}
}

func completionOfStatus(status int) health.Completion {
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return health.Shed
	case status == http.StatusNotImplemented || status == http.StatusHTTPVersionNotSupported:
		return health.Answered // caused by the request, not by the server
	case status >= http.StatusInternalServerError:
		return health.Failed
	default:
		return health.Answered
	}
}

const (
	healthPeriod        = 100 * time.Millisecond // between two runs of tick for each service
	healthReportTimeout = time.Second
)

// run probes servers and exchanges reports and verdicts with the owners of the services
// until ctx ends.
func (p *serverPicker) run(ctx context.Context) {
	ticker := time.NewTicker(healthPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for name, service := range p.servicesCopy() {
				p.tick(ctx, name, service)
			}
		}
	}
}

func (p *serverPicker) servicesCopy() map[string]*serviceView {
	p.mu.Lock()
	defer p.mu.Unlock()
	services := make(map[string]*serviceView, len(p.services))
	for name, service := range p.services {
		services[name] = service
	}
	return services
}

func (p *serverPicker) tick(ctx context.Context, name string, service *serviceView) {
	now := time.Now()
	service.mu.Lock()
	events := service.view.Advance(now)
	path := service.probePath
	var checks []*Server
	for _, index := range service.view.ServersToCheck() {
		checks = append(checks, service.servers[index])
	}
	var report *wire.HealthReport
	if service.view.ReportDue(now) {
		report = service.view.Report(now)
	}
	service.mu.Unlock()
	p.recordEvents(name, events)
	for _, server := range checks {
		go service.checkServer(ctx, server, path)
	}
	if report != nil {
		go p.sendReport(ctx, service, now, report)
	}
}

func (p *serverPicker) recordEvents(service string, events []timeline.Event) {
	for _, event := range events {
		daemon.RecordServerChange(p.log, p.events, service, event)
	}
}
