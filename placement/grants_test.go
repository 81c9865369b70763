package placement

import (
	"fmt"
	"testing"
	"time"
)

// Load: 1,600 requests in flight, spread over the VMs. A VM's report lists its own
// requests only, so its cost must not grow with the number of VMs.
func BenchmarkSync(b *testing.B) {
	for _, vms := range []int{100, 300, 900} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			const inFlight = 1600
			sim := newSimulation(300, 6)
			running := map[string][]Running{}
			for i := range inFlight {
				vm := fmt.Sprintf("vm-%d", i%vms)
				id := RequestID{VM: vm, Seq: uint64(i)}
				server := fmt.Sprintf("s%02d", i%300)
				sim.broker.RecordGrant(sim.now, id, server)
				running[vm] = append(running[vm], Running{Seq: id.Seq, Server: server})
			}
			now := sim.now.Add(time.Second)
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				vm := fmt.Sprintf("vm-%d", i%vms)
				sim.broker.Sync(now, vm, running[vm])
			}
			if sim.broker.InFlight() != inFlight {
				b.Fatalf("%d requests in flight, want %d", sim.broker.InFlight(), inFlight)
			}
		})
	}
}

// Load: two VMs with three requests each. Removing one VM's grants, also twice, leaves
// those of the other.
func TestGrantTableKeepsOtherVMs(t *testing.T) {
	table := newGrantTable()
	for seq := range uint64(3) {
		table.add(&grant{requestID: RequestID{"a", seq}})
		table.add(&grant{requestID: RequestID{"b", seq}})
		table.add(&grant{requestID: RequestID{"b", seq}})
	}
	for _, g := range table.ofVM("a") {
		table.remove(g.requestID)
		table.remove(g.requestID)
	}
	if table.count != 3 || len(table.ofVM("b")) != 3 || table.get(RequestID{"a", 1}) != nil || table.get(RequestID{"b", 1}) == nil {
		t.Errorf("%d grants are left, %d of VM b, want 3", table.count, len(table.ofVM("b")))
	}
}
