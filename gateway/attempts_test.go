package gateway

import (
	"slices"
	"testing"

	"lacewingmount.dev/placement"
)

// Load: a route of two servers per request, while servers refuse requests without
// running them. The request goes to two servers in all, and may return to these.
func TestRefusedRequestReturnsToTheSameServers(t *testing.T) {
	p := attemptPlan{maxServers: 2}
	all := func(string) bool { return true }
	p.record("a", placement.Shed)
	if tried, only := p.choices(all); !slices.Equal(tried, []string{"a"}) || only != nil {
		t.Errorf("after one refusal: tried %v, only %v, want any server but a", tried, only)
	}
	p.record("b", placement.Shed)
	if tried, only := p.choices(all); !slices.Equal(tried, []string{"b"}) || !slices.Equal(only, []string{"a", "b"}) {
		t.Errorf("after two refusals: tried %v, only %v, want a", tried, only)
	}
	if _, only := p.choices(func(server string) bool { return server == "b" }); only != nil {
		t.Errorf("after a has left: only %v, want any server", only)
	}
	p.record("a", placement.Failed)
	if tried, only := p.choices(all); !slices.Equal(tried, []string{"a"}) || !slices.Equal(only, []string{"b"}) {
		t.Errorf("after a has failed: tried %v, only %v, want b", tried, only)
	}
	if p.exhausted() {
		t.Error("b has refused the request and may get it again")
	}
	if p.record("b", placement.Misdirected); !p.exhausted() {
		t.Error("both servers are excluded, and there is no third one")
	}
}

// Load: a single server that refuses each attempt.
func TestRefusalsEndAtTheLimit(t *testing.T) {
	p := attemptPlan{maxServers: 1}
	for range maxArrivals - 1 {
		p.record("a", placement.Shed)
		if tried, only := p.choices(func(string) bool { return true }); p.exhausted() || len(tried) > 0 || !slices.Equal(only, []string{"a"}) {
			t.Fatalf("after %d refusals: tried %v, only %v", p.arrivals, tried, only)
		}
	}
	if p.record("a", placement.Shed); !p.exhausted() {
		t.Errorf("not exhausted after %d refusals", p.arrivals)
	}
}
