package entry

import (
	"context"
	"time"

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
		service.view.Lost()
		return
	}
	service.view.Accept(time.Now(), sent, report.Sequence, verdict)
}

// check asks a server over a fresh connection, after a request got no answer
// over one that had been used before.
func (s *pickedService) check(ctx context.Context, server *Server) {
	result := probe.Get(ctx, server.Config.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Checked(server.Config.Name, result.Answered)
}
