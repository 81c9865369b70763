package gateway

import (
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lacewingmount.dev/platform"
)

// maxEvacuatedExclusions limits the servers of evacuated zones that a request for a slot names,
// so that it fits into a datagram. An owner that does not know of the evacuation learns of it
// within a second.
const maxEvacuatedExclusions = 200

// errEvacuated is the error of an attempt that was not made because the server's zone has been
// evacuated since the grant.
var errEvacuated = errors.New("the server's zone is evacuated")

// isEvacuation reports whether the store key requests the evacuation of a zone.
func isEvacuation(key string) bool {
	zone, ok := strings.CutPrefix(key, platform.EvacuatePrefix)
	return ok && zone != ""
}

// setEvacuated puts the list of evacuated zones into force.
func (g *Gateway) setEvacuated(zones []string, source string) {
	before := *g.evacuated.Swap(&zones)
	evacuatedZones.Set(float64(len(zones)))
	for _, zone := range zones {
		if !slices.Contains(before, zone) {
			g.log.Info("zone evacuated", zap.String("zone", zone), zap.String("source", source))
		}
	}
	for _, zone := range before {
		if !slices.Contains(zones, zone) {
			g.log.Info("evacuation ended", zap.String("zone", zone), zap.String("source", source))
		}
	}
}

// isEvacuated reports whether the zone gets no requests.
func (g *Gateway) isEvacuated(zone string) bool { return slices.Contains(*g.evacuated.Load(), zone) }

// evacuatedServers returns servers of the service that are in evacuated zones, the given one
// first and up to maxEvacuatedExclusions.
func (g *Gateway) evacuatedServers(service, first string) []string {
	list := []string{first}
	for id, server := range *g.servers.Load() {
		if len(list) == maxEvacuatedExclusions {
			break
		}
		if server.Service == service && id != first && g.isEvacuated(server.Zone) {
			list = append(list, id)
		}
	}
	return list
}

// excludeEvacuated keeps the request from the servers of evacuated zones, after an owner that
// did not know of the evacuation granted one of them.
func (q *request) excludeEvacuated(plan *attemptPlan, granted string) {
	evacuatedGrants.Inc()
	for _, server := range q.g.evacuatedServers(q.service, granted) {
		plan.exclude(server)
	}
}

var (
	evacuatedZones  = metrics.GetOrCreateGauge("lacewing_gateway_evacuated_zones", nil)
	evacuatedGrants = metrics.GetOrCreateCounter("lacewing_gateway_evacuated_grants_total")
)
