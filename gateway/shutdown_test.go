package gateway

import (
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

// Load: callers with open connections send requests while the VM stops and none is in
// progress. They get an answer, which says that the request has not run.
func TestShutdownAnswersRequestsOfOpenConnections(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	v.schedule.Load().accept = 100 * time.Millisecond
	const callers = 8
	var connections []*platformtest.Caller
	for range callers {
		c, err := platformtest.Dial(v.callers, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		connections = append(connections, c)
	}
	call := func(id string) platformtest.Call {
		return platformtest.Call{ID: id, Method: http.MethodPost, Path: "/r/", Key: "k1", Deadline: 2 * time.Second}
	}
	for i, c := range connections {
		if reply, err := c.Do(call("before-" + string(rune('a'+i)))); err != nil || reply.Status != http.StatusOK {
			t.Fatalf("%+v, %v", reply, err)
		}
	}
	v.stop()
	f.waitFor("the VM refuses requests", func() bool { return !v.accepts(time.Now()) })
	for i, c := range connections {
		time.Sleep(quietTime / 4)
		reply, err := c.Do(call("after-" + string(rune('a'+i))))
		if err != nil || reply.Status != http.StatusServiceUnavailable || !reply.Closing {
			t.Errorf("request %d after the start of the shutdown: %+v, %v", i, reply, err)
		}
	}
	<-v.done
}

// Load: the store does not answer, and a request runs until the end of the grace period.
// The process ends before it is killed.
func TestShutdownEndsWithinTheGracePeriodWithoutTheStore(t *testing.T) {
	f := newFleet(t, 1)
	v := f.startWithTimeout("20s")
	f.setBehavior(func(*platformtest.Server, string) platformtest.Behavior { return platformtest.Hang })
	connection, err := platformtest.Dial(v.callers, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	go func() {
		_, _ = connection.Do(platformtest.Call{ID: "hangs", Method: http.MethodPost, Path: "/r/", Key: "k1", Deadline: 20 * time.Second}) // ends with the VM
	}()
	f.waitFor("the request is in progress", func() bool { return v.active.Load() == 1 })
	f.store.SetFaults(platformtest.StoreFaults{Silent: true})
	defer f.store.SetFaults(platformtest.StoreFaults{})
	began := time.Now()
	v.stop()
	<-v.done
	if took, limit := time.Since(began), v.settings.Bounds.GracePeriod; took > limit {
		t.Errorf("the shutdown took %v, the grace period is %v", took, limit)
	}
}

// serveOn serves callers on another listener. The returned function shuts the VM down and
// closes the connections that are left, as the end of the process does.
func (v *vm) serveOn(listener net.Listener) (shutDown func()) {
	server := daemon.NewCallerServer(v.newServer(), listener, quietTime)
	go func() { _ = server.Serve() }()
	v.callers = listener.Addr().String()
	return func() {
		v.shutDown(server, func() {})
		_ = server.Close()
	}
}

// listen opens a listener for callers.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener.(*net.TCPListener)
}

// slowListener accepts connections whose writes take a while, as over a link whose window is full.
type slowListener struct {
	net.Listener
	delay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn, l.delay}, err
}

type slowConn struct {
	net.Conn
	delay time.Duration
}

func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(p)
}

// Load: the last request of a VM that stops is answered over a slow link.
func TestShutdownDoesNotCutOffAnAnswerThatIsBeingWritten(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	f.servers[0].SetProcessingTime(2 * quietTime)
	shutDown := v.serveOn(slowListener{listen(t), quietTime})
	replies := make(chan callerReply, 1)
	go func() { replies <- f.call(v, http.MethodPost, "/r/", "k1", "order", nil) }()
	f.waitFor("the server runs the request", func() bool { return len(f.servers[0].Runs()) == 1 })
	shutDown()
	if r := <-replies; r.err != nil || r.status != http.StatusOK {
		t.Errorf("the answer that is being written ends with %+v", r)
	}
}

// Load: a request that one server refused waits for a slot of the other, which are taken
// for longer than a stopping VM may run.
func TestShutdownRefusesRetriesThatStillWaitForAServer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	v := f.startWithTimeout("20s")
	busy, other := f.servers[0], f.servers[1]
	other.SetProcessingTime(300 * time.Millisecond) // so that the first requests are spread over both
	f.setBehavior(func(s *platformtest.Server, id string) platformtest.Behavior {
		switch {
		case s == busy:
			return platformtest.Hang
		case strings.HasPrefix(id, "waits"):
			return platformtest.AddressReused
		}
		return platformtest.Respond
	})
	call := func(id string) platformtest.Call {
		return platformtest.Call{ID: id, Method: http.MethodPost, Path: "/r/", Key: "k1", Deadline: 20 * time.Second}
	}
	const slots = 6
	for i := range 2 * slots {
		go func() { _, _ = v.do(call("first-" + strconv.Itoa(i))) }() // ends with the VM
	}
	f.waitFor("all slots of one server are taken", func() bool { return len(busy.Runs()) == slots && v.active.Load() == slots })
	replies := make(chan platformtest.Reply, 1)
	go func() {
		reply, err := v.do(call("waits"))
		if err != nil {
			t.Errorf("the waiting request ends without an answer: %v", err)
		}
		replies <- reply
	}()
	f.waitFor("the request waits", func() bool { return len(other.Arrivals()) == slots && v.active.Load() == slots+1 })
	time.Sleep(resendInterval) // until the other server has refused it
	began := time.Now()
	v.stop()
	if reply := <-replies; reply.Status != http.StatusServiceUnavailable || reply.RetryAfter == "" || !reply.Closing {
		t.Errorf("the waiting request ends with %+v", reply)
	}
	if took, limit := time.Since(began), v.settings.Bounds.GracePeriod*5/6; took > limit {
		t.Errorf("it was refused after %v, want %v at most", took, limit)
	}
	if f.countRuns("waits") > 0 {
		t.Error("it ran")
	}
	<-v.done
}

// Load: a server does not answer until the end of the grace period.
func TestShutdownAnswersTheRequestsThatItGivesUp(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	v := f.startWithTimeout("20s")
	f.setBehavior(func(*platformtest.Server, string) platformtest.Behavior { return platformtest.Hang })
	replies := make(chan platformtest.Reply, 1)
	go func() {
		reply, err := v.do(platformtest.Call{ID: "hangs", Method: http.MethodPost, Path: "/r/", Key: "k1", Deadline: 20 * time.Second})
		if err != nil {
			t.Errorf("the request ends without an answer: %v", err)
		}
		replies <- reply
	}()
	f.waitFor("the server runs the request", func() bool { return len(f.servers[0].Runs()) == 1 })
	v.stop()
	if reply := <-replies; reply.Status != http.StatusGatewayTimeout {
		t.Errorf("the request ends with %+v", reply)
	}
	<-v.done
}

// Load: a caller sends an upload slowly. It gets an answer, and may go on sending for a
// moment, since it may not have read the answer yet.
func TestShutdownRefusesUploadsThatDoNotEnd(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	v := f.startWithTimeout("20s")
	u := v.dial(t)
	u.send(uploadHead("/r/", 1000, "") + "half")
	f.waitFor("the upload is read", func() bool { return v.active.Load() == 1 })
	v.stop()
	u.wantRefusal()
	for range 5 {
		u.send("more")
		time.Sleep(50 * time.Millisecond)
	}
	<-v.done
}

// Load: requests of 1.6 s arrive from the start of a grace period of 4 s until 2.75 s.
func TestShutdownFinishesLongRequestsThatItAccepts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	v := f.startWithTimeout("3s")
	v.schedule.Store(newShutdownSchedule(v.settings.Bounds.GracePeriod))
	for _, s := range f.servers {
		s.SetProcessingTime(1600 * time.Millisecond)
	}
	const requests = 12
	var calls sync.WaitGroup
	v.stop()
	for i := range requests {
		calls.Go(func() {
			time.Sleep(v.settings.Bounds.GracePeriod * time.Duration(i) / (requests + 4))
			id := "arrives-" + strconv.Itoa(i)
			reply, err := v.do(platformtest.Call{ID: id, Method: http.MethodPost, Path: "/r/", Key: "k1", Deadline: 3 * time.Second})
			if ran := f.countRuns(id) == 1; err != nil || ran != (reply.Status == http.StatusOK) {
				t.Errorf("request %d ends with %+v, %v, ran %v", i, reply, err, ran)
			}
		})
	}
	calls.Wait()
}

// Load: a VM whose processor stands still notices late that it no longer accepts requests.
func TestLateShutdownAcceptsNoRequestThatCannotEnd(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	begins, upload := v.dial(t), v.dial(t)
	upload.send(uploadHead("/r/", 2, "") + "1")
	f.waitFor("the upload is read", func() bool { return v.active.Load() == 1 })
	v.shutdown.Store((&shutdownSchedule{exit: time.Second}).beginAt(time.Now())) // shutDown has not run any further
	begins.send(uploadHead("/r/", 0, ""))
	upload.send("2")
	for _, u := range []*rawCaller{begins, upload} {
		if status := u.receive().StatusCode; status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", status)
		}
	}
	if runs := len(f.servers[0].Runs()); runs > 0 {
		t.Errorf("%d requests ran", runs)
	}
}

// Load: requests that arrive during the whole grace period. Operators count each one that is
// accepted and not served, unless it was sent within 3 s and its server still works in the
// last sixth of the grace period.
func TestShutdownScheduleLeavesTimeForWhatItAccepts(t *testing.T) {
	const excusable = 3 * time.Second
	for _, grace := range []time.Duration{200 * time.Millisecond, time.Second, 4 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		s := newShutdownSchedule(grace)
		if s.accept <= 0 || s.accept >= min(excusable, grace/2) || s.place <= s.accept || s.serve <= s.place || s.serve < grace*5/6 || s.exit <= s.serve || s.exit >= grace {
			t.Errorf("grace period %v: %+v", grace, s)
		}
	}
}

// Load: the operators change the grace period of a VM that runs.
func TestReloadedGracePeriodIsKept(t *testing.T) {
	g := fuzzGateway(t)
	g.Reload(platform.Settings{Bounds: platform.Bounds{GracePeriod: 2 * time.Second}}, nil)
	if exit := g.schedule.Load().exit; exit <= time.Second || exit >= 2*time.Second {
		t.Errorf("the process ends after %v", exit)
	}
}

// Load: a VM with a grace period of 1 s stops while the store does not answer.
func TestShutdownDoesNotWaitForTheStoreBeyondAShortGracePeriod(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	f.waitFor("the VM is registered", func() bool { _, ok := f.store.Get(vmsPrefix + "vm-1"); return ok })
	const grace = time.Second
	v.schedule.Store(newShutdownSchedule(grace))
	f.store.SetFaults(platformtest.StoreFaults{Silent: true})
	defer f.store.SetFaults(platformtest.StoreFaults{})
	began := time.Now()
	v.stop()
	<-v.done
	if took := time.Since(began); took > grace {
		t.Errorf("the shutdown took %v", took)
	}
}

// Load: a server fails a read shortly before a stopping VM gives its requests up. No other
// server gets it for a time in which it cannot answer.
func TestShutdownSendsNoRequestThatCannotEnd(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	parameters := defaultParameters
	parameters.kind = "safe"
	f.configure(parameters)
	v := f.startReady("vm-1")
	f.setBehavior(func(*platformtest.Server, string) platformtest.Behavior { return platformtest.Fail })
	for _, s := range f.servers {
		s.SetProcessingTime(500 * time.Millisecond)
	}
	replies := make(chan platformtest.Reply, 1)
	go func() {
		reply, err := v.do(platformtest.Call{ID: "fails", Method: http.MethodGet, Path: "/r/", Key: "k1", Deadline: 3 * time.Second})
		if err != nil {
			t.Error(err)
		}
		replies <- reply
	}()
	f.waitFor("a server runs the request", func() bool { return f.countRuns("fails") == 1 })
	v.shutdown.Store((&shutdownSchedule{place: time.Second, serve: 500*time.Millisecond + minServerTime/2, exit: time.Second}).beginAt(time.Now()))
	<-replies
	if runs := f.countRuns("fails"); runs != 1 {
		t.Errorf("%d servers got the request", runs)
	}
}

// Load: a server works on a request when the shutdown gives it up.
func TestGivenUpRequestIsNoFailureOfItsServer(t *testing.T) {
	serving := newPhase()
	serving.end()
	x := &exchange{err: os.ErrDeadlineExceeded}
	if x.classify(serving); x.outcome != placement.Unused {
		t.Errorf("outcome %v", x.outcome)
	}
}
