package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const pickCount = 10_000

// pickShares returns the share of the picks that each candidate gets, by index.
func pickShares(candidates []Candidate, protected bool) map[int]float64 {
	random := rand.New(rand.NewPCG(6, 6))
	counts := map[int]float64{}
	for range pickCount {
		if index, ok := Pick(candidates, protected, random); ok {
			counts[index] += 1.0 / pickCount
		}
	}
	return counts
}

func TestPickShares(t *testing.T) {
	plain := Candidate{Slots: 6, Weight: 1, SameZone: true}
	with := func(change func(*Candidate)) Candidate {
		c := plain
		change(&c)
		return c
	}
	far := with(func(c *Candidate) { c.SameZone = false })
	for _, test := range []struct {
		name      string
		special   Candidate // picked from together with two plain candidates
		protected bool
		low, high float64 // bounds of the special candidate's share
	}{
		{"equal", plain, false, 0.30, 0.37},
		{"busy", with(func(c *Candidate) { c.InFlight = 2 }), false, 0, 0.01},
		{"slow", with(func(c *Candidate) { c.Latency = 1 }), false, 0.30, 0.37}, // the latency of the others is unknown
		{"starting slowly", with(func(c *Candidate) { c.Weight = 0.1 }), false, 0.001, 0.06},
		{"another zone", far, false, 0.10, 0.15},
		{"suspect, request may run twice", with(func(c *Candidate) { c.Suspect = true }), false, 0.2, 0.4},
		{"suspect, protected request", with(func(c *Candidate) { c.Suspect = true }), true, 0, 0},
		{"shedding", with(func(c *Candidate) { c.Shedding = true }), false, 0, 0},
	} {
		special := test.special
		special.Index = 2
		other := plain
		other.Index = 1
		if share := pickShares([]Candidate{plain, other, special}, test.protected)[2]; share < test.low || share > test.high {
			t.Errorf("%s: picked for %.3f of the requests, want %.3f to %.3f", test.name, share, test.low, test.high)
		}
	}
}

func TestPickSpillsToOtherZones(t *testing.T) {
	busy := Candidate{Index: 0, Slots: 6, Weight: 1, SameZone: true, InFlight: 6}
	free := Candidate{Index: 1, Slots: 6, Weight: 1}
	if share := pickShares([]Candidate{busy, free}, false)[1]; share < 0.99 {
		t.Errorf("the free server in another zone got %.2f of the requests, want at least 0.99", share)
	}
}

func TestConnectionsStayWithinServerLimit(t *testing.T) {
	const connections = 400
	for _, vms := range []int{1, 44, 48, 66, 67, 200, 890} {
		const servers = 57
		names := make([]string, servers)
		for i := range names {
			names[i] = fmt.Sprint("server-", i)
		}
		users := make([]int, servers)
		for vm := range vms {
			used := 0
			for i, uses := range Subset(fmt.Sprint("vm-", vm), names, connections, vms) {
				if uses {
					users[i]++
					used++
				}
			}
			if used < minSubsetSize {
				t.Errorf("%d VMs: one VM uses only %d servers", vms, used)
			}
		}
		for i, count := range users {
			if total := count * (InFlightLimit(connections, vms) + IdleConnections); total > connections && vms > 1 {
				t.Errorf("%d VMs: server %d may get %d connections, more than its limit", vms, i, total)
			}
		}
	}
}
