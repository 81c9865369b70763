package gateway

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform/platformtest"
)

// Load: a route of two servers per request, while servers refuse requests without
// running them. The request goes to two servers in all, and may return to these.
func TestRefusedRequestReturnsToTheSameServers(t *testing.T) {
	p := attemptPlan{maxServers: 2}
	all := func(string) bool { return true }
	p.record("a", placement.Shed)
	if tried, only := p.choices(all); len(tried) > 0 || only != nil {
		t.Errorf("after one refusal: tried %v, only %v, want any server", tried, only)
	}
	p.record("b", placement.Shed)
	if tried, only := p.choices(all); len(tried) > 0 || !slices.Equal(only, []string{"a", "b"}) {
		t.Errorf("after two refusals: tried %v, only %v, want a and b only", tried, only)
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

// Load: the servers of a service refuse a request four times in a row without running
// it, while it has time left. It runs once and is answered, also when there are only as
// many servers as the route allows.
func TestRefusedRequestIsServedWhileItHasTime(t *testing.T) {
	for _, servers := range []int{1, 3} {
		f := newFleet(t, servers)
		f.configure(defaultParameters)
		v := f.startReady("vm-1")
		var refusals atomic.Int32
		f.setBehavior(func(*platformtest.Server, string) platformtest.Behavior {
			if refusals.Add(1) <= 4 {
				return platformtest.Shed
			}
			return platformtest.Respond
		})
		if r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil); r.status != http.StatusOK || f.countRuns(r.id) != 1 {
			t.Errorf("%d servers: %+v, ran %d times", servers, r, f.countRuns(r.id))
		}
	}
}

// Load: a server that refuses everything. The request is answered as not run by its
// deadline, and has not run.
func TestRequestThatIsAlwaysRefusedEndsInTime(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	f.setBehavior(func(*platformtest.Server, string) platformtest.Behavior { return platformtest.Shed })
	r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil)
	if r.status != http.StatusServiceUnavailable || f.countRuns(r.id) != 0 || r.took > 2500*time.Millisecond {
		t.Errorf("%+v, ran %d times", r, f.countRuns(r.id))
	}
}
