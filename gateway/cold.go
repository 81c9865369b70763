package gateway

import (
	"maps"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lacewingmount.dev/platform"
)

// setColdRates applies the rates of cold servers of a configuration to all Brokers. It reports
// whether they have changed.
func (g *Gateway) setColdRates(config *platform.Config) bool {
	rates := map[string]float64{}
	for name, service := range config.Services {
		if service.ColdPerS > 0 {
			rates[name] = service.ColdPerS
		}
	}
	now := g.now()
	g.owned.setColdRates(now, rates)
	return g.localBrokers.setColdRates(now, rates)
}

// setColdRates replaces the rates of cold servers by service, and reports whether they have
// changed.
func (b *brokers) setColdRates(now time.Time, rates map[string]float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if maps.Equal(b.coldPerS, rates) {
		return false
	}
	b.coldPerS = rates
	for service, broker := range b.services {
		broker.SetColdRate(now, rates[service])
	}
	return true
}

// countCold returns the number of servers that are paced because they are cold.
func (b *brokers) countCold(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, broker := range b.services {
		n += broker.ColdServers(now)
	}
	return n
}

// isPaced reports whether the server is of a service whose cold servers get fewer requests.
func (t *table) isPaced(server platform.Server) bool {
	return t != nil && t.config.Services[server.Service].ColdPerS > 0
}

var coldServers = metrics.GetOrCreateGauge("lacewing_gateway_cold_servers", nil)
