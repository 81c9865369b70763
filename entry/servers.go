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

// serverPicker chooses backend servers by what this VM's requests met and by
// the verdicts of each service's home.
type serverPicker struct {
	vm, zone string
	started  time.Time
	agent    *wire.Client
	events   *timeline.Ring
	log      *zap.Logger

	mu       sync.Mutex
	services map[string]*pickedService
}

// pickedService is the view of one service.
type pickedService struct {
	mu       sync.Mutex
	view     *health.View
	servers  []*Server
	probe    string // path of probes
	attempts map[attemptKey]*health.Attempt
	random   *rand.Rand
}

// attemptKey identifies an attempt between Pick and Report.
type attemptKey struct {
	exchange *Exchange
	server   *Server
}

func newServerPicker(settings Settings, agent *wire.Client, events *timeline.Ring, log *zap.Logger) *serverPicker {
	return &serverPicker{
		vm: settings.VM, zone: settings.Zone, started: time.Now(), agent: agent, events: events, log: log,
		services: map[string]*pickedService{},
	}
}

// setTable takes over the services of a new table.
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
			known = &pickedService{
				view:     health.NewView(p.vm, p.zone, p.started),
				attempts: map[attemptKey]*health.Attempt{},
				random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			}
			p.services[name] = known
		}
		known.set(now, service, table.Members)
	}
}

func (s *pickedService) set(now time.Time, service *Service, members int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := health.Limits{Slots: service.Config.Slots, Connections: service.Config.Connections}
	s.view.SetService(now, health.ServiceFromConfig(&service.Config), limits, members)
	s.servers, s.probe = service.Servers, service.Config.Probe
}

func (p *serverPicker) service(name string) *pickedService {
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

func (s *pickedService) pick(now time.Time, x *Exchange, tried map[*Server]bool) *Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := health.Request{Protected: x.Route.Protected, Idempotent: isRead(x.Request.Method)}
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

func (s *pickedService) report(now time.Time, key attemptKey, observed Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := health.Outcome{Completion: endingOf(observed), Draining: observed.Draining}
	if attempt := s.attempts[key]; attempt != nil {
		delete(s.attempts, key)
		s.view.Connected(attempt, observed.Reused)
		s.view.End(now, attempt, outcome)
		return
	}
	for i, server := range s.servers { // another attempt at the same server
		if server == key.server {
			s.view.RecordAttempt(now, i, observed.Took, observed.Reused, outcome)
		}
	}
}

// endingOf maps an observation to what it tells about the server. An error of
// the server's own counts as a failure, even if it was answered whole.
func endingOf(observed Observation) health.Completion {
	switch observed.End {
	case EndAnswered:
		return endingOfStatus(observed.Status)
	case EndShed:
		return health.Shed
	case EndCancelled:
		return health.Cancelled
	default:
		return health.Incomplete
	}
}

func endingOfStatus(status int) health.Completion {
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return health.Shed
	case status == http.StatusNotImplemented || status == http.StatusHTTPVersionNotSupported:
		return health.Answered // about the request, not the server
	case status >= http.StatusInternalServerError:
		return health.Failed
	default:
		return health.Answered
	}
}

const (
	evidencePeriod  = 100 * time.Millisecond
	exchangeTimeout = time.Second
)

// run reports to the homes and follows their verdicts until ctx ends.
func (p *serverPicker) run(ctx context.Context) {
	ticker := time.NewTicker(evidencePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for name, service := range p.snapshot() {
				p.tick(ctx, name, service)
			}
		}
	}
}

func (p *serverPicker) snapshot() map[string]*pickedService {
	p.mu.Lock()
	defer p.mu.Unlock()
	services := make(map[string]*pickedService, len(p.services))
	for name, service := range p.services {
		services[name] = service
	}
	return services
}

func (p *serverPicker) tick(ctx context.Context, name string, service *pickedService) {
	now := time.Now()
	service.mu.Lock()
	events := service.view.Advance(now)
	path := service.probe
	var checks []*Server
	for _, index := range service.view.ServersToCheck() {
		checks = append(checks, service.servers[index])
	}
	var report *wire.HealthReport
	if service.view.ReportDue(now) {
		report = service.view.Report(now)
	}
	service.mu.Unlock()
	p.record(name, events)
	for _, server := range checks {
		go service.check(ctx, server, path)
	}
	if report != nil {
		go p.exchange(ctx, service, now, report)
	}
}

func (p *serverPicker) record(service string, events []timeline.Event) {
	for _, event := range events {
		daemon.RecordServerChange(p.log, p.events, service, event)
	}
}
