package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"lacewingmount.dev/health"
	"lacewingmount.dev/health/probe"
	"lacewingmount.dev/wire"
)

// exchange sends a report to the service's home, through the agent, and takes
// over its verdict.
func (p *serverPicker) exchange(ctx context.Context, service *pickedService, sent time.Time, report *wire.HealthReport) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var verdict wire.HealthVerdict
	err := p.agent.Call(ctx, wire.MethodHealth, report, &verdict)
	service.mu.Lock()
	defer service.mu.Unlock()
	if err != nil {
		service.view.ReportLost()
		return
	}
	service.view.AcceptVerdict(time.Now(), sent, report.Sequence, verdict)
}

// check asks a server over a fresh connection, after a request got no answer
// over one that had been used before.
func (s *pickedService) check(ctx context.Context, server *Server, path string) {
	result := probe.Get(ctx, server.Config.Address, path)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.RecordCheck(server.Config.Name, result.Answered)
}

// status describes all services, for the admin endpoint.
func (p *serverPicker) status() []health.ServiceStatus {
	var list []health.ServiceStatus
	for _, service := range p.snapshot() {
		service.mu.Lock()
		list = append(list, service.view.Status(time.Now()))
		service.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b health.ServiceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
