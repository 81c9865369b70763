package healthbench

import (
	"testing"
	"time"
)

// TestMessageFaults loses, duplicates and delays reports and verdicts.
func TestMessageFaults(t *testing.T) {
	for _, name := range []string{"bookshelf", "orders"} {
		for _, fault := range []int{1, 3} {
			t.Run(name+"/"+Faults[fault].Name, func(t *testing.T) {
				t.Parallel()
				b := newBench(name, 21)
				b.MessageFaults = MessageFaults{Lost: 0.1, Duplicated: 0.1, Delayed: 0.1}
				b.Run(settle)
				Faults[fault].Apply(b.Backends[3])
				expectOut(t, b, 3)
				expectOnlyEjected(t, b, 3)
			})
		}
	}
}

// expectOut runs the bench until the server is out of service on 90% of the VMs.
func expectOut(t *testing.T, b *Bench, index int) {
	t.Helper()
	if took, ok := runUntilOut(b, index); !ok {
		t.Fatalf("the server is still in service after %s", took)
	}
}

// TestOwnerStops stops the owner after it ejected a server. The next owner learns
// of the ejection from the reports of the VMs, before it has detected the failure
// itself.
func TestOwnerStops(t *testing.T) {
	b := newBench("bookshelf", 22)
	b.Backends[3].Errors = 1
	expectOut(t, b, 3)
	b.stopped[0] = true
	b.Run(3 * time.Second)
	if b.detectors[1] == nil || b.Usable(3) > 0.1 {
		t.Errorf("%.0f%% of the VMs use the failing server again", 100*b.Usable(3))
	}
	b.Run(time.Minute)
	expectOnlyEjected(t, b, 3)
}

// TestTwoOwners lets half of the VMs report to one owner and half to another.
func TestTwoOwners(t *testing.T) {
	b := newBench("bookshelf", 23)
	b.candidateOwners = func(vm *VM) []int { return []int{vm.index % 2, 2} }
	b.Run(settle)
	b.Backends[3].Hang = true
	expectOut(t, b, 3)
	expectOnlyEjected(t, b, 3)
}

// TestNoOwnerReachable stops all owners: the verdicts expire and the VMs use the
// server again, since no owner renews its ejection.
func TestNoOwnerReachable(t *testing.T) {
	b := newBench("bookshelf", 24)
	b.Backends[3].Errors = 1
	expectOut(t, b, 3)
	b.stopped[0], b.stopped[1] = true, true
	b.Backends[3].Errors = 0
	b.Run(10 * time.Second)
	if b.Usable(3) < 0.9 {
		t.Errorf("only %.0f%% of the VMs use the server although its verdict expired", 100*b.Usable(3))
	}
}

// TestTwoFailuresAtOnce makes two servers fail in different ways.
func TestTwoFailuresAtOnce(t *testing.T) {
	for _, name := range []string{"bookshelf", "catalogue", "evidence"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(name, 25)
			b.Backends[1].Slow = 30
			b.Backends[2].Errors = 1
			for _, server := range []int{1, 2} {
				if took, ok := runUntilOut(b, server); !ok {
					t.Errorf("server %d still in service after %s", server, took)
				}
			}
			expectOnlyEjected(t, b, 1, 2)
		})
	}
}

// TestZoneToZonePartition loses the requests of one zone's VMs to the servers of another.
func TestZoneToZonePartition(t *testing.T) {
	b := newBench("bookshelf", 26)
	for _, server := range b.Backends {
		if server.zone == b.Pool.Zones[0] {
			server.Unreachable = func(vm *VM) bool { return vm.zone == b.Pool.Zones[1] }
		}
	}
	failed, requests := b.Result.Failed, b.Result.Requests
	b.Run(time.Minute)
	expectOnlyEjected(t, b)
	if share := float64(b.Result.Failed-failed) / float64(b.Result.Requests-requests); share > 0.01 {
		t.Errorf("%.1f%% of the callers' requests failed", 100*share)
	}
}

// TestOneVMAvoidsItsPath loses the requests of one VM to one server.
func TestOneVMAvoidsItsPath(t *testing.T) {
	const atMost = 0.05 // fraction of the VM's requests that it may still send over the lost path
	b := newBench("catalogue", 27)
	lost := 0
	b.Backends[3].Unreachable = func(vm *VM) bool {
		if vm.index == 3 {
			lost++
		}
		return vm.index == 3
	}
	b.Run(20 * time.Second)
	lost = 0
	b.Run(time.Minute)
	if requests := b.Pool.Rate * 60 / float64(b.Pool.VMs); float64(lost) > atMost*requests {
		t.Errorf("the VM sent %d of about %.0f requests over the lost path", lost, requests)
	}
	if b.Usable(3) < 0.9 {
		t.Errorf("only %.0f%% of the VMs use the server", 100*b.Usable(3))
	}
	expectOnlyEjected(t, b)
}

// TestFlappingBacksOff expects the ejections of a flapping server to get longer.
func TestFlappingBacksOff(t *testing.T) {
	b := newBench("bookshelf", 28)
	startFlapping(b.Backends[3])
	b.Run(5 * time.Minute)
	using := 0
	for range 120 {
		b.Run(time.Second)
		if b.Usable(3) > 0.5 {
			using++
		}
	}
	if using > 24 {
		t.Errorf("in service for %d of 120 s although it flaps", using)
	}
}

// TestOverload makes half of the servers shed. The retry budget must bound the
// requests that servers receive, and no server may be ejected. Few callers' requests
// should fail; their fraction is logged but not checked.
func TestOverload(t *testing.T) {
	for _, pool := range Pools {
		t.Run(pool.Name, func(t *testing.T) {
			t.Parallel()
			b := newBench(pool.Name, 29)
			for _, server := range b.Backends {
				server.Shed = server.index%2 == 0
			}
			before := b.Result
			b.Run(settle)
			requests := float64(b.Result.Requests - before.Requests)
			sent := float64(b.Result.Sent-before.Sent) / requests
			refused := float64(b.Result.Failed-before.Failed) / requests
			bound := 1 + budgetShare + budgetRefill*float64(pool.VMs)/pool.Rate
			t.Logf("%.2f requests sent to servers per caller's request (bound %.2f), %.2f%% failed", sent, min(bound, maxAttempts), 100*refused)
			if sent > min(bound, maxAttempts) {
				t.Errorf("%.2f requests sent to servers per caller's request, the retry budget allows %.2f", sent, bound)
			}
			expectOnlyEjected(t, b)
		})
	}
}

// expectOnlyEjected fails the test if a server other than those given was ejected.
func expectOnlyEjected(t *testing.T, b *Bench, servers ...int) {
	t.Helper()
	allowed := map[string]bool{}
	for _, i := range servers {
		allowed[b.service.Servers[i].Name] = true
	}
	for server, times := range ejectionCounts(b) {
		if !allowed[server] {
			t.Errorf("healthy server %s was ejected %d times\n%s", server, times, eventLog(b))
		}
	}
}
