package healthbench

import (
	"fmt"
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/health"
)

// Pool describes a service, its servers and its load.
type Pool struct {
	Name       string
	Concern    config.Concern
	Servers    int
	Floor      int
	Zones      []string
	VMs        int
	Rate       float64       // requests per second of all callers
	Median     time.Duration // of the service time
	Spread     float64       // standard deviation of the logarithm of the service time
	Outliers   float64       // fraction of requests that take ten times as long
	Errors     float64       // fraction of requests that fail on a healthy server
	Idempotent float64       // fraction of requests that are idempotent
	Timeout    time.Duration
}

var (
	honam    = []string{"jeonju", "gwangju", "mokpo"}
	bulgaria = []string{"plovdiv-1", "plovdiv-2", "stara-zagora", "haskovo"}
)

// Pools lists the services of both partners at their current sizes. The rates are
// two thirds of the rate limits of the client accounts in the examples.
var Pools = []Pool{
	{Name: "bookshelf", Concern: config.ConcernFalseEjection, Servers: 12, Floor: 8, Zones: honam, VMs: 48, Rate: 180,
		Median: 30 * time.Millisecond, Spread: 0.5, Outliers: 0.005, Errors: 0.001, Idempotent: 1, Timeout: 2 * time.Second},
	{Name: "ledger", Concern: config.ConcernFalseEjection, Servers: 20, Floor: 14, Zones: honam, VMs: 48, Rate: 50,
		Median: 50 * time.Millisecond, Spread: 0.5, Outliers: 0.005, Errors: 0.001, Idempotent: 0.6, Timeout: 5 * time.Second},
	{Name: "inkwell", Concern: config.ConcernFalseEjection, Servers: 6, Floor: 4, Zones: honam, VMs: 48, Rate: 4,
		Median: 300 * time.Millisecond, Spread: 0.8, Outliers: 0.005, Errors: 0.001, Idempotent: 0, Timeout: 30 * time.Second},
	{Name: "catalogue", Concern: config.ConcernDetectionTime, Servers: 10, Floor: 6, Zones: bulgaria, VMs: 44, Rate: 160,
		Median: 20 * time.Millisecond, Spread: 0.5, Outliers: 0.005, Errors: 0.001, Idempotent: 1, Timeout: time.Second},
	{Name: "orders", Concern: config.ConcernDetectionTime, Servers: 20, Floor: 14, Zones: bulgaria, VMs: 44, Rate: 60,
		Median: 50 * time.Millisecond, Spread: 0.5, Outliers: 0.005, Errors: 0.001, Idempotent: 0.5, Timeout: 5 * time.Second},
	{Name: "evidence", Concern: config.ConcernDetectionTime, Servers: 8, Floor: 5, Zones: bulgaria, VMs: 44, Rate: 6,
		Median: 300 * time.Millisecond, Spread: 0.8, Outliers: 0.005, Errors: 0.001, Idempotent: 0, Timeout: 30 * time.Second},
}

const (
	slots       = 6 // per server
	connections = 400
)

// service returns the health.Service of the pool.
func (p *Pool) service(policy health.Policy) health.Service {
	service := health.Service{Name: p.Name, Floor: p.Floor, Policy: policy}
	for i := range p.Servers {
		service.Servers = append(service.Servers, health.Server{
			Name: fmt.Sprintf("%s-%d", p.Name, i+1), Zone: p.Zones[i%len(p.Zones)],
		})
	}
	return service
}

// accountShares holds the fraction of a pool's requests that each client account
// sends.
var accountShares = []float64{0.33, 0.33, 0.16, 0.06, 0.05, 0.03, 0.03, 0.01}
