package healthbench

import (
	"fmt"
	"testing"
	"time"

	"lacewingmount.dev/health"
	"lacewingmount.dev/timeline"
)

// Limits of detection. A failing server must be out of service on 90% of the VMs
// after at most this many requests, and no healthy server may be ejected.
const (
	settle         = time.Minute
	detectionLimit = 5 * time.Minute
	outageRequests = 40  // requests sent to the server until it is out of service
	slowRequests   = 80  // the same for a server that is 3 times slower
	errorsRequests = 150 // the same for a server that fails 10% of its requests
)

func poolByName(name string) Pool {
	for _, pool := range Pools {
		if pool.Name == name {
			return pool
		}
	}
	panic("no pool is named " + name)
}

func newBench(name string, seed uint64) *Bench {
	pool := poolByName(name)
	b := New(pool, health.PolicyFor(pool.Concern), ModeShared, seed)
	b.Run(settle)
	return b
}

// runUntilOut runs until at most 10% of the VMs use the server.
func runUntilOut(b *Bench, server int) (took time.Duration, ok bool) {
	const step = 250 * time.Millisecond
	for took < detectionLimit {
		b.Run(step)
		took += step
		if b.Usable(server) <= 0.1 {
			return took, true
		}
	}
	return took, false
}

// ejectionCounts returns how often each server was ejected by a detector.
func ejectionCounts(b *Bench) map[string]int {
	counts := map[string]int{}
	for _, event := range b.Result.Events {
		if event.Kind == timeline.KindEjected {
			counts[event.Server]++
		}
	}
	return counts
}

func TestFailingServersLeaveService(t *testing.T) {
	faults := []struct {
		name     string
		apply    func(*Backend)
		requests int
	}{
		{"errors on all", func(s *Backend) { s.Errors = 1 }, outageRequests},
		{"errors on a tenth", func(s *Backend) { s.Errors = 0.1 }, errorsRequests},
		{"never answers", func(s *Backend) { s.Hang = true }, outageRequests},
		{"never answers, healthy by its own account", func(s *Backend) { s.Hang, s.HealthCheckPasses = true, true }, outageRequests},
		{"30 times slower", func(s *Backend) { s.Slow = 30 }, outageRequests},
		{"3 times slower", func(s *Backend) { s.Slow = 3 }, slowRequests},
	}
	for _, pool := range Pools {
		for _, fault := range faults {
			t.Run(pool.Name+"/"+fault.name, func(t *testing.T) {
				t.Parallel()
				b := newBench(pool.Name, 11)
				failing := b.Backends[3]
				before := failing.Sent
				fault.apply(failing)
				took, ok := runUntilOut(b, 3)
				if sent := failing.Sent - before; !ok || sent > fault.requests {
					t.Errorf("out of service: %t after %s and %d requests, want true and at most %d requests", ok, took, sent, fault.requests)
				}
				for server, times := range ejectionCounts(b) {
					if server != b.service.Servers[3].Name {
						t.Errorf("healthy server %s was ejected %d times", server, times)
					}
				}
			})
		}
	}
}

// TestNoEjectionWithoutServerFault simulates causes of failure that are not the
// fault of a single server.
func TestNoEjectionWithoutServerFault(t *testing.T) {
	everyone := func(apply func(*Backend)) func(*Bench) {
		return func(b *Bench) {
			for _, server := range b.Backends {
				apply(server)
			}
		}
	}
	causes := map[string]func(*Bench){
		"all servers slow":   everyone(func(s *Backend) { s.Slow = 5 }),
		"all servers fail":   everyone(func(s *Backend) { s.Errors = 0.5 }),
		"all servers shed":   everyone(func(s *Backend) { s.Shed = true }),
		"half shed":          func(b *Bench) { everyone(func(s *Backend) { s.Shed = s.index%2 == 0 })(b) },
		"one VM cut off":     func(b *Bench) { b.Backends[3].Unreachable = func(vm *VM) bool { return vm.index == 5 } },
		"silent connections": func(b *Bench) { b.Backends[3].MinLiveGeneration++ },
		"a zone's VMs cut off from one server": func(b *Bench) {
			b.Backends[3].Unreachable = func(vm *VM) bool { return vm.zone == b.Pool.Zones[1] }
		},
	}
	for _, name := range []string{"bookshelf", "inkwell", "catalogue", "orders"} {
		for cause, provoke := range causes {
			t.Run(name+"/"+cause, func(t *testing.T) {
				t.Parallel()
				b := newBench(name, 12)
				provoke(b)
				b.Run(time.Minute)
				for server, times := range ejectionCounts(b) {
					t.Errorf("%s ejected %d times", server, times)
				}
				if t.Failed() {
					t.Log(eventLog(b))
				}
			})
		}
	}
}

func eventLog(b *Bench) string {
	text := ""
	for _, event := range b.Result.Events {
		text += fmt.Sprintf("%s %s %s: %s\n", event.At, event.Kind, event.Server, event.Reason)
	}
	return text
}
