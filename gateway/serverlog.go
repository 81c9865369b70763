package gateway

import (
	"slices"

	"go.uber.org/zap"

	"lacewingmount.dev/platform"
)

// logServers logs how the registered servers changed. The VM that read the store logs
// each change; the others, which learn the same from it, log one line for each update.
// So the log grows with the changes, not with VMs times servers. The first servers
// after a start are logged as one line per service.
func (g *Gateway) logServers(before, after map[string]platform.Server, source string) {
	if len(before) == 0 {
		g.logFirstServers(after, source)
		return
	}
	detailed := source == sourceStore
	table := g.table.Load()
	added, changed, gone := 0, 0, 0
	for id, server := range after {
		old, known := before[id]
		switch {
		case !known:
			added++
		case old.Draining != server.Draining || old.Born != server.Born, (old.Cold > 0) != (server.Cold > 0) && table.isPaced(server):
			changed++
		default:
			continue
		}
		if detailed {
			g.log.Info("server", zap.String("server", id), zap.String("service", server.Service), zap.String("address", server.Address),
				zap.Bool("draining", server.Draining), zap.Int64("born", server.Born), zap.Duration("cold", server.Cold), zap.String("source", source))
		}
	}
	for id, server := range before {
		if _, known := after[id]; known {
			continue
		}
		gone++
		if detailed {
			g.log.Info("server gone", zap.String("server", id), zap.String("service", server.Service), zap.String("source", source))
		}
	}
	if !detailed && added+changed+gone > 0 {
		g.log.Info("servers changed", zap.Int("added", added), zap.Int("changed", changed), zap.Int("gone", gone),
			zap.Int("servers", len(after)), zap.String("source", source))
	}
}

// logFirstServers logs the number of servers of each service.
func (g *Gateway) logFirstServers(servers map[string]platform.Server, source string) {
	total, draining := map[string]int{}, map[string]int{}
	for _, server := range servers {
		total[server.Service]++
		if server.Draining {
			draining[server.Service]++
		}
	}
	var services []string
	for service := range total {
		services = append(services, service)
	}
	slices.Sort(services)
	for _, service := range services {
		g.log.Info("servers loaded", zap.String("service", service), zap.Int("servers", total[service]),
			zap.Int("draining", draining[service]), zap.String("source", source))
	}
}

// sourceStore is the source of changes that this VM has read from the store itself.
const sourceStore = "store"
