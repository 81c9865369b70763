package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"lacewingmount.dev/balance"
)

// End says how an attempt at a backend server ended.
type End string

// Ends of attempts.
const (
	EndAnswered     End = "answered"
	EndShed         End = "shed"          // the server said that it did not run the request
	EndTimedOut     End = "timed-out"     // no whole answer before the deadline
	EndCancelled    End = "cancelled"     // the caller went away, or a hedge was not needed
	EndNotConnected End = "not-connected" // no connection, nothing sent
	EndBroken       End = "broken"        // the connection broke after the request was sent
)

// Observation is what an attempt tells about its backend server.
type Observation struct {
	End    End
	Status int // of an answer, 0 otherwise
	Took   time.Duration
	Reused bool // over a connection that had served before; a time-out may be the connection's fault
}

// Picker chooses backend servers and learns from every attempt.
type Picker interface {
	// Pick returns a server of the exchange's service that was not tried yet, or nil.
	Pick(exchange *Exchange, tried map[*Server]bool) *Server
	// Report says how an attempt ended.
	Report(exchange *Exchange, server *Server, observed Observation)
}

// RandomPicker takes the less loaded of two random servers.
type RandomPicker struct {
	zone   string
	mu     sync.Mutex
	random *rand.Rand
}

// NewRandomPicker returns a picker that prefers servers of zone among equals.
func NewRandomPicker(zone string, seed uint64) *RandomPicker {
	return &RandomPicker{zone: zone, random: rand.New(rand.NewPCG(seed, seed))}
}

// Pick implements Picker.
func (p *RandomPicker) Pick(x *Exchange, tried map[*Server]bool) *Server {
	var candidates []balance.Candidate
	for i, server := range x.Service.Servers {
		if tried[server] {
			continue
		}
		candidates = append(candidates, balance.Candidate{
			Index: i, InFlight: int(server.InFlight.Load()),
			Slots: x.Service.Config.Slots, SameZone: server.Config.Zone == p.zone,
		})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	index, ok := balance.Pick(candidates, p.random)
	if !ok {
		return nil
	}
	return x.Service.Servers[index]
}

// Report implements Picker.
func (p *RandomPicker) Report(*Exchange, *Server, Observation) {}
