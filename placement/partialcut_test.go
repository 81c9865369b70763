package placement

import (
	"testing"
	"time"
)

// Load: twice as many requests as the slots can serve. Two of ten VMs cannot reach half
// of the servers. The other VMs go on using those servers: a cut path is no reason to
// take a server out of use for everybody.
func TestServerThatSomeVMsCannotReachStaysInUse(t *testing.T) {
	sim := newSimulation(20, 4)
	sim.unreachable = func(vm, server string) bool { return (vm == "vm0" || vm == "vm1") && server < "s10" }
	sim.run(10*time.Second, 2*20*4/0.47, nil)
	busy := map[bool]int{} // running requests, by whether some VMs cannot reach their server
	for _, r := range sim.running {
		if r.result == Answered {
			busy[r.server < "s10"]++
		}
	}
	if partlyCut, reachable := float64(busy[true]), float64(busy[false]); partlyCut < 0.85*reachable {
		t.Errorf("%v requests run at the servers that eight of ten VMs reach, %v at as many others", partlyCut, reachable)
	}
}

// Load: 20 requests a second at 4 servers, one of which has crashed, so that no VM can
// connect to it. After two failed connections the others do not try it for a while.
func TestServerThatNobodyReachesIsDown(t *testing.T) {
	sim := newSimulation(4, 4)
	sim.run(3*time.Second, 20, nil)
	sim.unreachable = func(_, server string) bool { return server == "s02" }
	sim.run(5*time.Second, 20, nil)
	if failed := sim.ended[Unreachable]; failed > 10 {
		t.Errorf("%d connections to a crashed server were tried in 5s", failed)
	}
}
