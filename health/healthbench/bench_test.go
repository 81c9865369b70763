package healthbench

import (
	"fmt"
	"testing"
	"time"

	"lacewingmount.dev/health"
	"lacewingmount.dev/timeline"
)

// Targets of detection. A server that most requests fail at is out of service
// on nine VMs in ten after few requests; none that is well is ejected.
const (
	settle         = time.Minute
	detectionLimit = 5 * time.Minute
	outageRequests = 40  // sent to a server before it is out
	slowRequests   = 80  // likewise, for answers three times as slow
	errorsRequests = 150 // likewise, for errors on a tenth of the requests
)

func poolNamed(name string) Pool {
	for _, pool := range Pools {
		if pool.Name == name {
			return pool
		}
	}
	panic("no pool " + name)
}

func newBench(name string, seed uint64) *Bench {
	pool := poolNamed(name)
	b := New(pool, health.PolicyFor(pool.Concern), ModeShared, seed)
	b.Run(settle)
	return b
}

// awaitOut runs until nine VMs in ten no longer use the server.
func awaitOut(b *Bench, server int) (took time.Duration, ok bool) {
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

// ejected returns the servers that a judge ejected, and how often.
func ejected(b *Bench) map[string]int {
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
		{"never answers, healthy by its own account", func(s *Backend) { s.Hang, s.Lying = true, true }, outageRequests},
		{"30 times slower", func(s *Backend) { s.Slow = 30 }, outageRequests},
		{"3 times slower", func(s *Backend) { s.Slow = 3 }, slowRequests},
	}
	for _, pool := range Pools {
		for _, fault := range faults {
			t.Run(pool.Name+"/"+fault.name, func(t *testing.T) {
				t.Parallel()
				b := newBench(pool.Name, 11)
				sick := b.Backends[3]
				before := sick.Sent
				fault.apply(sick)
				took, ok := awaitOut(b, 3)
				if sent := sick.Sent - before; !ok || sent > fault.requests {
					t.Errorf("out: %t after %s and %d requests, want at most %d", ok, took, sent, fault.requests)
				}
				for server, times := range ejected(b) {
					if server != b.service.Servers[3].Name {
						t.Errorf("%s was well and ejected %d times", server, times)
					}
				}
			})
		}
	}
}

// TestNobodyIsEjected provokes what is no fault of a server.
func TestNobodyIsEjected(t *testing.T) {
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
		"one VM cut off":     func(b *Bench) { b.Backends[3].Cut = func(vm *VM) bool { return vm.index == 5 } },
		"silent connections": func(b *Bench) { b.Backends[3].Silent++ },
		"a zone's VMs cut off from one server": func(b *Bench) {
			b.Backends[3].Cut = func(vm *VM) bool { return vm.zone == b.Pool.Zones[1] }
		},
	}
	for _, name := range []string{"bookshelf", "inkwell", "catalogue", "orders"} {
		for cause, provoke := range causes {
			t.Run(name+"/"+cause, func(t *testing.T) {
				t.Parallel()
				b := newBench(name, 12)
				provoke(b)
				b.Run(time.Minute)
				for server, times := range ejected(b) {
					t.Errorf("%s ejected %d times", server, times)
				}
				if t.Failed() {
					t.Log(reasons(b))
				}
			})
		}
	}
}

func reasons(b *Bench) string {
	text := ""
	for _, event := range b.Result.Events {
		text += fmt.Sprintf("%s %s %s: %s\n", event.At, event.Kind, event.Server, event.Reason)
	}
	return text
}
