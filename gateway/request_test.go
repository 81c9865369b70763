package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	f := newFleet(t, 2)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	r := f.call(v, http.MethodPost, "/r/a%2Fb?x=1&y=%20", "k1", "content", nil)
	if r.status != http.StatusOK || r.body != "body of "+r.id || r.signature != "sig-"+r.id {
		t.Fatalf("the caller gets %+v", r)
	}
	var run platformtest.Run
	for _, s := range f.servers {
		for _, one := range s.Runs() {
			run = one
		}
	}
	if run.URI != "/r/a%2Fb?x=1&y=%20" || run.Body != "content" || run.Method != http.MethodPost || run.Account != "acc" || run.Key != "" {
		t.Errorf("the server ran %+v", run)
	}
	if ms, err := strconv.Atoi(run.Deadline); err != nil || ms <= 0 || ms > 2000 {
		t.Errorf("the server may take %q ms; the route allows 2000", run.Deadline)
	}
}

func TestRequestsThatNoServerSees(t *testing.T) {
	f := newFleet(t, 1)
	v := f.start("vm-1")
	f.waitFor("the VM listens", func() bool { return f.call(v, http.MethodGet, "/r/", "k1", "", nil).err == nil })
	if r := f.call(v, http.MethodGet, "/r/", "k1", "", nil); r.status != http.StatusServiceUnavailable || r.retryAfter == "" {
		t.Errorf("without a configuration: %+v", r)
	}
	if v.isReady() {
		t.Error("the VM is ready without a configuration")
	}
	f.configure(defaultParameters)
	f.waitFor("the VM is ready", v.isReady)
	for _, c := range []struct {
		path, key string
		status    int
	}{
		{"/other/", "k1", http.StatusNotFound},
		{"/r/", "k2", http.StatusUnauthorized},
		{"/r/", "", http.StatusUnauthorized},
	} {
		if r := f.call(v, http.MethodPost, c.path, c.key, "", nil); r.status != c.status {
			t.Errorf("%s with key %q: %d, want %d", c.path, c.key, r.status, c.status)
		}
	}
	conn, err := net.Dial("tcp", v.callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST /r/ HTTP/1.1\r\nHost: h.example\r\nKey: k1\r\nContent-Length: 9000000\r\n\r\n")
	if answer, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || answer.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("a body that is too long: %+v, %v", answer, err)
	}
	if runs := f.servers[0].Runs(); len(runs) > 0 {
		t.Errorf("ran %+v", runs)
	}
}

// All VMs have restarted, so a request reaches a VM that has no configuration yet.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	f := newFleet(t, 2)
	v := f.start("vm-1")
	f.waitFor("the VM listens", func() bool {
		conn, err := net.Dial("tcp", v.callers)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	time.AfterFunc(configurationWait/4, func() { f.configure(defaultParameters) })
	if r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil); r.status != http.StatusOK {
		t.Errorf("%+v", r)
	}
}

// Whatever a server does with a request of a route that is not safe, the request runs
// once, and no answer says that it did not run.
func TestProtectedRequestRunsOnce(t *testing.T) {
	for _, behavior := range []platformtest.Behavior{
		platformtest.Fail, platformtest.Truncate, platformtest.Drop, platformtest.Unsigned,
		platformtest.Unavailable, platformtest.Hang, platformtest.MismatchedResponse, platformtest.TrailingData, platformtest.Respond,
	} {
		f := newFleet(t, 3)
		parameters := defaultParameters
		parameters.timeout = "700ms"
		f.configure(parameters)
		v := f.startReady("vm-1")
		f.setBehavior(func(*platformtest.Server, string) platformtest.Behavior { return behavior })
		client := &http.Client{Transport: &http.Transport{}}
		for range 6 {
			r := f.call(v, http.MethodPost, "/r/", "k1", "order", client)
			if runs := f.countRuns(r.id); runs > 1 {
				t.Fatalf("behavior %d: %s ran %d times", behavior, r.id, runs)
			}
			if f.countRuns(r.id) == 1 && statusMeansNotRun(r.status) {
				t.Errorf("behavior %d: it ran, but the caller gets %d", behavior, r.status)
			}
			if r.status == http.StatusOK && (r.body != "body of "+r.id || r.signature != "sig-"+r.id) {
				t.Errorf("behavior %d: the caller gets %+v", behavior, r)
			}
			if good := behavior == platformtest.MismatchedResponse || behavior == platformtest.TrailingData || behavior == platformtest.Respond; good && r.status != http.StatusOK {
				t.Errorf("behavior %d: the server answered, but the caller gets %+v", behavior, r)
			}
			if r.took > time.Second {
				t.Errorf("behavior %d: the final answer came after %v; the route allows 700ms", behavior, r.took)
			}
		}
	}
}

func TestSheddingAndMovedServersAreReplaced(t *testing.T) {
	for _, behavior := range []platformtest.Behavior{platformtest.Shed, platformtest.AddressReused} {
		f := newFleet(t, 2)
		f.configure(defaultParameters)
		v := f.startReady("vm-1")
		f.setBehavior(func(s *platformtest.Server, _ string) platformtest.Behavior {
			if s.ID == "i-0" {
				return behavior
			}
			return platformtest.Respond
		})
		for range 5 {
			if r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil); r.status != http.StatusOK || f.countRuns(r.id) != 1 {
				t.Errorf("behavior %d: %+v, ran %d times", behavior, r, f.countRuns(r.id))
			}
		}
		f.setBehavior(func(*platformtest.Server, string) platformtest.Behavior { return behavior })
		r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil)
		if r.status != http.StatusServiceUnavailable || r.retryAfter == "" || f.countRuns(r.id) != 0 {
			t.Errorf("behavior %d on all servers: %+v", behavior, r)
		}
	}
}

func TestReadIsRepeatedWithinItsAttempts(t *testing.T) {
	for _, behavior := range []platformtest.Behavior{platformtest.Fail, platformtest.Drop, platformtest.Truncate, platformtest.Unsigned} {
		f := newFleet(t, 3)
		parameters := defaultParameters
		parameters.kind = "safe"
		f.configure(parameters)
		v := f.startReady("vm-1")
		var failed sync.Map // ids of requests that failed once
		f.setBehavior(func(_ *platformtest.Server, id string) platformtest.Behavior {
			if _, again := failed.LoadOrStore(id, true); !again {
				return behavior
			}
			return platformtest.Respond
		})
		if r := f.call(v, http.MethodGet, "/r/", "k1", "", nil); r.status != http.StatusOK || f.countRuns(r.id) != 2 {
			t.Errorf("behavior %d once: %+v, ran %d times", behavior, r, f.countRuns(r.id))
		}
		f.setBehavior(func(*platformtest.Server, string) platformtest.Behavior { return behavior })
		if r := f.call(v, http.MethodGet, "/r/", "k1", "", nil); r.status < 500 || statusMeansNotRun(r.status) || f.countRuns(r.id) > 2 {
			t.Errorf("behavior %d always: %+v, ran %d times", behavior, r, f.countRuns(r.id))
		}
	}
}

// The answer of a server that failed is delivered if no other server gives a better one.
func TestServerFailureIsDeliveredIfRetryFails(t *testing.T) {
	f := newFleet(t, 2)
	parameters := defaultParameters
	parameters.kind = "safe"
	f.configure(parameters)
	v := f.startReady("vm-1")
	var failed sync.Map
	f.setBehavior(func(_ *platformtest.Server, id string) platformtest.Behavior {
		if _, again := failed.LoadOrStore(id, true); !again {
			return platformtest.Fail
		}
		return platformtest.Shed
	})
	r := f.call(v, http.MethodGet, "/r/", "k1", "", nil)
	if r.status != http.StatusInternalServerError || r.signature != "sig-"+r.id || f.countRuns(r.id) != 1 {
		t.Errorf("%+v, ran %d times", r, f.countRuns(r.id))
	}
}

func TestAnswerThatEndsWithItsConnectionIsWhole(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	f.setBehavior(func(*platformtest.Server, string) platformtest.Behavior { return platformtest.NoContentLength })
	if r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil); r.status != http.StatusOK || r.body != "body of "+r.id {
		t.Errorf("%+v", r)
	}
}

// After an early answer, the rest of the request body must not be taken for the next
// request, and the next request not for the rest of the body.
func TestConnectionIsNotReusedAfterAnEarlyAnswer(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	f.setBehavior(func(*platformtest.Server, string) platformtest.Behavior { return platformtest.EarlyResponse })
	long := strings.Repeat("GET / HTTP/1.1\r\n\r\n", 50000)
	if r := f.call(v, http.MethodPost, "/r/", "k1", long, nil); r.status != http.StatusOK || r.body != "early" {
		t.Fatalf("%+v", r)
	}
	f.setBehavior(func(*platformtest.Server, string) platformtest.Behavior { return platformtest.Respond })
	r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil)
	if r.status != http.StatusOK || r.body != "body of "+r.id || f.servers[0].Connections() != 2 {
		t.Errorf("%+v over %d connections", r, f.servers[0].Connections())
	}
}

func TestConnectionsAreReused(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	for range 8 {
		if r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil); r.status != http.StatusOK {
			t.Fatalf("%+v", r)
		}
	}
	if n := f.servers[0].Connections(); n != 1 {
		t.Errorf("%d connections for 8 requests in turn", n)
	}
}

func TestWorkEndsWhenTheCallerLeaves(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	f.setBehavior(func(*platformtest.Server, string) platformtest.Behavior { return platformtest.Hang })
	ctx, leave := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callers+"/r/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set("Request-Id", "left")
	request.Header.Set("Key", "k1")
	go func() { _, _ = http.DefaultClient.Do(request) }()
	f.waitFor("the server runs it", func() bool { return f.countRuns("left") == 1 })
	left := time.Now()
	leave()
	f.waitFor("the gateway has ended it", func() bool { return v.active.Load() == 0 })
	if took := time.Since(left); took > 500*time.Millisecond {
		t.Errorf("the request ends %v after its caller has left", took)
	}
}

// The account named by a caller never reaches a server, even on routes that need no key.
func TestForgedAccountIsDropped(t *testing.T) {
	f := newFleet(t, 1)
	parameters := defaultParameters
	parameters.public = true
	f.configure(parameters)
	v := f.startReady("vm-1")
	if r := f.call(v, http.MethodPost, "/r/", "", "order", nil); r.status != http.StatusOK {
		t.Fatalf("%+v", r)
	}
	if run := f.servers[0].Runs()[0]; run.Account != "" {
		t.Errorf("the server runs it for the account %q", run.Account)
	}
}

func TestAccountIsHeldToItsRate(t *testing.T) {
	f := newFleet(t, 2)
	parameters := defaultParameters
	parameters.rate = 5
	f.configure(parameters)
	v := f.startReady("vm-1")
	admitted, refused := 0, 0
	for range 40 {
		switch r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil); r.status {
		case http.StatusOK:
			admitted++
		case http.StatusTooManyRequests:
			refused++
			if r.retryAfter == "" || f.countRuns(r.id) != 0 {
				t.Errorf("%+v, ran %d times", r, f.countRuns(r.id))
			}
		}
	}
	if admitted < 1 || admitted > 12 || refused == 0 {
		t.Errorf("%d of 40 requests at once are admitted, %d refused, at a rate of 5", admitted, refused)
	}
}

// Any of the VMs may own the account or the service. All apply a new configuration.
func TestVMsShareHomesAndKnowledge(t *testing.T) {
	f := newFleet(t, 3)
	f.configure(defaultParameters)
	var vms []*vm
	for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
		vms = append(vms, f.startReady(name))
	}
	f.waitFor("all VMs know each other", func() bool {
		for _, v := range vms {
			if v.peers.count() != len(vms) {
				return false
			}
		}
		return true
	})
	before := localPlacements.Get()
	for i := range 30 {
		if r := f.call(vms[i%3], http.MethodPost, "/r/", "k1", "order", nil); r.status != http.StatusOK {
			t.Errorf("%+v", r)
		}
	}
	if n := localPlacements.Get() - before; n > 0 {
		t.Errorf("%d of 30 placements without the owner", n)
	}
	f.configure(configParameters{kind: "unsafe", timeout: "2000ms", key: "k2"})
	f.waitFor("the new key is in force on all VMs", func() bool {
		for _, v := range vms {
			if v.table.Load().config.Version != uint64(f.version) {
				return false
			}
		}
		return true
	})
}

// A VM that was paused suspects an owner whose messages all others still receive. The
// next VM in the order of owners reports this, and the owner places the request.
func TestWronglySuspectedOwnerIsRestored(t *testing.T) {
	f := newFleet(t, 2)
	f.configure(defaultParameters)
	var vms []*vm
	for i := range 3 {
		vms = append(vms, f.startReady("vm-"+strconv.Itoa(i)))
	}
	f.waitFor("the VMs know each other", func() bool {
		return vms[0].peers.count() == 3 && vms[1].peers.count() == 3 && vms[2].peers.count() == 3
	})
	owner := vms[0].peers.ownerOf("svc").Name
	var v *vm // neither the owner nor the next one in the order
	for _, one := range vms {
		one.peers.suspect(time.Now(), owner)
		if next := one.peers.ownerOf("svc").Name; one.self.Name != owner && one.self.Name != next {
			v = one
		}
		one.peers.clearSuspicion(owner)
	}
	time.Sleep(2 * syncPeriod) // time for the VMs to report to each other
	before := localPlacements.Get()
	v.peers.suspect(time.Now(), owner)
	if r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil); r.status != http.StatusOK {
		t.Errorf("%+v", r)
	}
	if n := localPlacements.Get() - before; n > 0 {
		t.Error("the request was placed without the owner")
	}
}

func TestWithdrawnKeyEndsOnOpenConnections(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	client := &http.Client{Transport: &http.Transport{}}
	if r := f.call(v, http.MethodPost, "/r/", "k1", "order", client); r.status != http.StatusOK {
		t.Fatalf("%+v", r)
	}
	f.configure(configParameters{kind: "unsafe", timeout: "2000ms", key: "k2"})
	f.waitFor("the key is refused", func() bool {
		return f.call(v, http.MethodPost, "/r/", "k1", "order", client).status == http.StatusUnauthorized
	})
	if r := f.call(v, http.MethodPost, "/r/", "k2", "order", client); r.status != http.StatusOK {
		t.Errorf("%+v", r)
	}
}

// Draining servers and removed ones get no requests, within the 2 s that the operators
// allow.
func TestLeavingServersGetNothing(t *testing.T) {
	f := newFleet(t, 3)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	f.store.Put(platform.ServersPrefix+"i-0", f.servers[0].Record("svc", "draining", 2))
	f.store.Remove(platform.ServersPrefix + "i-1")
	time.Sleep(1500 * time.Millisecond)
	before := len(f.servers[0].Runs()) + len(f.servers[1].Runs())
	for range 12 {
		if r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil); r.status != http.StatusOK {
			t.Errorf("%+v", r)
		}
	}
	if after := len(f.servers[0].Runs()) + len(f.servers[1].Runs()); after != before {
		t.Errorf("servers that leave got %d requests", after-before)
	}
}

// The store may be unavailable, and may drop its history while a VM waits for changes.
// The VM goes on with the contents it has, and catches up afterwards.
func TestStoreWithoutHistoryAndOutage(t *testing.T) {
	f := newFleet(t, 2)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	f.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	time.Sleep(300 * time.Millisecond)
	if r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil); r.status != http.StatusOK {
		t.Errorf("while the store is unavailable: %+v", r)
	}
	f.configure(configParameters{kind: "unsafe", timeout: "2000ms", key: "k2"})
	f.store.DropHistory()
	f.store.SetFaults(platformtest.StoreFaults{})
	f.waitFor("the new configuration is in force", func() bool { return v.table.Load().config.Version == uint64(f.version) })
}

// An owner that is stopping uses the VM that the others use as the new owner. Otherwise
// both admit requests of one account, beyond its rate: with seed 1044, a soak run
// admitted 153 requests in 5 s, and 152 were allowed.
func TestStoppingVMUsesTheNewOwner(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	vms := []*vm{f.startReady("vm-0"), f.startReady("vm-1")}
	f.waitFor("the VMs know each other", func() bool { return vms[0].peers.count() == 2 && vms[1].peers.count() == 2 })
	owner := vms[0].peers.ownerOf("acc").Name
	v := vms[0]
	if v.self.Name != owner {
		v = vms[1]
	}
	v.schedule.Load().accept = time.Second
	v.stop()
	f.waitFor("the VM stops", v.isStopping)
	f.waitFor("it has another owner", func() bool { return v.peers.ownerOf("acc").Name != owner })
	if r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil); r.status != http.StatusOK {
		t.Errorf("%+v", r)
	}
}

func TestShutdownFinishesWhatWasAccepted(t *testing.T) {
	f := newFleet(t, 2)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	v.schedule.Load().accept = 2 * time.Second
	for _, s := range f.servers {
		s.SetProcessingTime(500 * time.Millisecond)
	}
	replies := make(chan callerReply, 1)
	client := &http.Client{Transport: &http.Transport{}}
	go func() { replies <- f.call(v, http.MethodPost, "/r/", "k1", "order", client) }()
	f.waitFor("a request runs", func() bool { return v.active.Load() == 1 })
	v.stop()
	if r := <-replies; r.status != http.StatusOK || !r.closing {
		t.Errorf("the request in flight ends with %+v", r)
	}
	if v.isReady() {
		t.Error("a VM that is stopping is ready")
	}
	if r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil); r.status != http.StatusOK || !r.closing {
		t.Errorf("a request before the balancer has removed the VM ends with %+v", r)
	}
	<-v.done
	if _, ok := f.store.Get(vmsPrefix + "vm-1"); ok {
		t.Error("the VM is still registered")
	}
}
