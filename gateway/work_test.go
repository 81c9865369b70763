package gateway

import (
	"fmt"
	"testing"
	"time"

	"lacewingmount.dev/placement"
)

// The additional bytes of the estimate of work, on which docs/CAPACITY.md relies. A report of all
// classes that a VM may send must fit into a datagram beside the requests in flight.
func TestMessagesAboutWorkStayShort(t *testing.T) {
	size := func(k kind, body any) int {
		content, err := encode("edge-jeonju-12", k, body)
		if err != nil {
			t.Fatal(err)
		}
		return len(content)
	}
	request := size(kindPlacementRequest, &placementRequest{Route: 1 << 31}) - size(kindPlacementRequest, &placementRequest{})
	reply := size(kindPlacementReply, &placementReply{ExpectedMs: 1234}) - size(kindPlacementReply, &placementReply{})
	work := serviceWork{}
	for i := range maxWorkReported {
		service := fmt.Sprintf("service-%d", i%3)
		work[service] = append(work[service], workReport{Route: 1<<31 + uint32(i)*7919, Step: uint8(i % 9), Micros: 1<<20 + uint32(i), Samples: 50, Recent: 1000})
	}
	report := size(kindSync, &syncReport{Work: work}) - size(kindSync, &syncReport{})
	t.Logf("%d bytes more in a placement request, %d in a reply, %d in a report with %d classes", request, reply, report, maxWorkReported)
	if request > 4 || reply > 2 || report > 700 {
		t.Error("messages about work are longer than docs/CAPACITY.md says")
	}
}

// Load: a VM knows two classes of a service when the service gets a new owner. The owner must learn
// them from the reports of the first 2 s; later reports must not repeat them.
func TestNewOwnerIsToldTheWork(t *testing.T) {
	g := fuzzGateway(t)
	owner := g.peers.ownerOf("svc")
	teach := func(b *placement.Broker) []placement.Decision {
		for route, mean := range []time.Duration{100 * time.Millisecond, time.Second} {
			b.LearnWork(g.now(), []placement.ClassWork{{Class: placement.ClassOf(uint32(route), 0), Mean: mean, Samples: 50, Recent: 100}})
		}
		return nil
	}
	g.localBrokers.withBroker(g.now(), "svc", teach)
	work := g.workForOwner(owner)
	if len(work["svc"]) != 2 {
		t.Fatalf("a new owner is told %v", work)
	}
	g.learnWork(g.now(), serviceWork{"svc": append(work["svc"], make([]workReport, 1000)...)})
	var learned []placement.ClassWork
	g.owned.withBroker(g.now(), "svc", func(b *placement.Broker) []placement.Decision {
		learned = b.Work(g.now())
		return nil
	})
	if owner.Name == g.self.Name && (len(learned) != 2 || learned[0].Mean+learned[1].Mean != 1100*time.Millisecond) {
		t.Errorf("the new owner has learned %v", learned)
	}
	for group, since := range g.ownerChanges.groups {
		since.since = since.since.Add(-workReportTime)
		g.ownerChanges.groups[group] = since
	}
	if again := g.workForOwner(owner); again != nil {
		t.Errorf("an owner of long standing is told %v", again)
	}
}

// Load: 100 requests of each of two routes, whose slots another VM grants. This VM must know their work,
// for the time in which it decides alone and for the next owner.
func TestVMLearnsTheWorkOfItsOwnRequests(t *testing.T) {
	g := fuzzGateway(t)
	for i := range uint64(200) {
		route, id := uint32(i%2), placement.RequestID{VM: g.self.Name, Seq: 1000 + i}
		g.localBrokers.recordGrant(g.now(), "svc", id, "s", placement.ClassOf(route, 0))
		g.complete("svc", id.Seq, "vm-2", ending{server: "s", outcome: placement.Answered, took: 100*time.Millisecond + time.Duration(route)*time.Second})
	}
	_, _ = g.localBrokers.tick(g.now())
	work := g.localBrokers.work(g.now(), func(string) bool { return true })["svc"]
	if len(work) != 2 {
		t.Fatalf("the VM has learned %v", work)
	}
	for _, class := range work {
		low, high := uint32(50_000), uint32(200_000)
		if class.Route == 1 {
			low, high = 800_000, 1_400_000
		}
		if class.Micros < low || class.Micros > high {
			t.Errorf("route %d is expected to take %d us", class.Route, class.Micros)
		}
	}
}
