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

// sendReport sends a report through the agent to the owner of the service and applies
// the verdict that the owner returns.
func (p *serverPicker) sendReport(ctx context.Context, service *serviceView, sent time.Time, report *wire.HealthReport) {
	ctx, cancel := context.WithTimeout(ctx, healthReportTimeout)
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

// checkServer probes a server over a new connection, after a request on a reused
// connection got no response.
func (s *serviceView) checkServer(ctx context.Context, server *Server, path string) {
	result := probe.Get(ctx, server.Config.Address, path)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.RecordCheck(server.Config.Name, result.Answered)
}

// status returns the status of all services, sorted by name, for the admin endpoint.
func (p *serverPicker) status() []health.ServiceStatus {
	var list []health.ServiceStatus
	for _, service := range p.servicesCopy() {
		service.mu.Lock()
		list = append(list, service.view.Status(time.Now()))
		service.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b health.ServiceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
