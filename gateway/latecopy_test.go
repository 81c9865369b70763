package gateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"lacewingmount.dev/platform/platformtest"
)

// lateCopyFleet is a VM with one server that answers the sendings of a request in the given
// order and sends the given number of copies of each answer when its next request arrives.
func lateCopyFleet(t *testing.T, kind string, copies int, behaviors ...platformtest.Behavior) (*fleet, *vm) {
	t.Helper()
	f := newFleet(t, 1)
	parameters := defaultParameters
	parameters.kind = kind
	f.configure(parameters)
	v := f.startReady("vm-1")
	var sendings atomic.Int32
	f.setBehavior(func(*platformtest.Server, string) platformtest.Behavior {
		n := int(sendings.Add(1))
		return behaviors[min(n, len(behaviors))-1]
	})
	f.servers[0].SetLateCopies(func(string) int { return copies })
	return f, v
}

// Guards against a late copy of a refusal that is taken for the answer to the next sending
// of the same request: the request runs twice, or is refused although it has run.
func TestLateCopyOfRefusalIsNotTakenForNextSending(t *testing.T) {
	t.Parallel()
	for _, refusal := range []platformtest.Behavior{platformtest.Shed, platformtest.ShedRate} {
		for _, copies := range []int{1, 2, 3} {
			f, v := lateCopyFleet(t, "unsafe", copies, refusal, platformtest.Respond)
			r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil)
			if r.status != http.StatusOK || r.body != "body of "+r.id || f.countRuns(r.id) != 1 {
				t.Errorf("behavior %d, %d copies: %+v, ran %d times", refusal, copies, r, f.countRuns(r.id))
			}
		}
	}
}

// Guards against a late copy of an answer that is taken for the answer to a caller's own
// repetition of the request under the same ID.
func TestLateCopyIsNotTakenForCallersRepetition(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		kind   string
		first  platformtest.Behavior
		second platformtest.Behavior
		want   int // status of the repetition
	}{
		{"safe", platformtest.Respond, platformtest.Fail, http.StatusInternalServerError},
		{"unsafe", platformtest.Respond, platformtest.Unavailable, http.StatusBadGateway},
		{"unsafe", platformtest.Respond, platformtest.Shed, http.StatusServiceUnavailable},
	} {
		_, v := lateCopyFleet(t, c.kind, 1, c.first, c.second)
		caller, err := platformtest.Dial(v.callers, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		call := platformtest.Call{ID: "repeated", Method: http.MethodPost, Path: "/r/", Key: "k1", Body: "order", Deadline: 3 * time.Second}
		if _, err := caller.Do(call); err != nil {
			t.Fatal(err)
		}
		if second, err := caller.Do(call); err != nil || second.Status != c.want {
			t.Errorf("%s, behavior %d, then %d: status %d, %v, want %d", c.kind, c.first, c.second, second.Status, err, c.want)
		}
	}
}

// Guards against a late answer without an ID that is taken for the answer to a request
// without an ID.
func TestLateCopyIsNotTakenForRequestWithoutID(t *testing.T) {
	t.Parallel()
	f, v := lateCopyFleet(t, "unsafe", 1, platformtest.Respond, platformtest.Fail)
	call := platformtest.Call{Method: http.MethodPost, Path: "/r/", Key: "k1", Body: "order", Deadline: 3 * time.Second}
	for _, want := range []int{http.StatusOK, http.StatusInternalServerError} {
		if r, err := v.do(call); err != nil || r.Status != want {
			t.Errorf("status %d, %v, want %d", r.Status, err, want)
		}
	}
	if n := f.servers[0].Connections(); n != 2 {
		t.Errorf("%d connections for 2 requests without an ID", n)
	}
}

// A late copy of another request's answer costs neither a request nor a wrong answer, and
// the connections of other requests stay in use: the load is one caller, 200 requests.
func TestLateCopiesOfOtherAnswersAreSkipped(t *testing.T) {
	t.Parallel()
	f, v := lateCopyFleet(t, "unsafe", 0, platformtest.Respond)
	f.servers[0].SetLateCopies(func(id string) int {
		if n, err := strconv.Atoi(id[len("req"):]); err == nil && n%10 == 0 {
			return 1
		}
		return 0
	})
	const requests = 200
	for range requests {
		if r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil); r.status != http.StatusOK || r.body != "body of "+r.id {
			t.Fatalf("%+v", r)
		}
	}
	if n, most := f.servers[0].Connections(), requests/10+1; n > most {
		t.Errorf("%d connections, at most %d are needed", n, most)
	}
}

// Load: connections that carry maxSendings requests. Their memory ends there, and no request
// is sent on a connection twice.
func TestConnectionRemembersItsRequests(t *testing.T) {
	var sent sentIDs
	for i := range maxSendings {
		if id := strconv.Itoa(i); !sent.accepts(id) || sent.full() {
			t.Fatalf("request %d is not accepted", i)
		}
		sent.add(strconv.Itoa(i))
		if sent.accepts(strconv.Itoa(i/2)) || sent.accepts("") {
			t.Fatalf("a repetition is accepted after %d requests", i+1)
		}
	}
	if !sent.full() {
		t.Errorf("%d requests do not fill a connection", maxSendings)
	}
}
