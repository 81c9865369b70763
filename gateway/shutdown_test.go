package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/platform/platformtest"
)

// Load: callers with open connections send requests while the VM stops and none is in
// progress. They get an answer, which says that the request has not run.
func TestShutdownAnswersRequestsOfOpenConnections(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	v.schedule.refuse = 100 * time.Millisecond
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
	f.waitFor("the VM refuses requests", v.refusing.Load)
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
	parameters := defaultParameters
	parameters.timeout = "20s"
	f.configure(parameters)
	v := f.startReady("vm-1")
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
	parameters := defaultParameters
	parameters.timeout = "20s"
	f.configure(parameters)
	v := f.startReady("vm-1")
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
	parameters := defaultParameters
	parameters.timeout = "20s"
	f.configure(parameters)
	v := f.startReady("vm-1")
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

// Load: a caller sends half of an upload and waits.
func TestShutdownRefusesUploadsThatDoNotEnd(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	parameters := defaultParameters
	parameters.timeout = "20s"
	f.configure(parameters)
	v := f.startReady("vm-1")
	conn, err := net.Dial("tcp", v.callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /r/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: upload\r\nKey: k1\r\nContent-Length: 1000\r\n\r\nhalf")
	if err != nil {
		t.Fatal(err)
	}
	f.waitFor("the upload is read", func() bool { return v.active.Load() == 1 })
	v.stop()
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("the upload ends without an answer: %v", err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" || !answer.Close {
		t.Errorf("the upload ends with %d, %v", answer.StatusCode, answer.Header)
	}
	<-v.done
}

// Load: requests of 1.6 s arrive from the start of a grace period of 4 s until 2.75 s.
func TestShutdownFinishesLongRequestsThatItAccepts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	parameters := defaultParameters
	parameters.timeout = "3s"
	f.configure(parameters)
	v := f.startReady("vm-1")
	v.schedule = newShutdownSchedule(v.settings.Bounds.GracePeriod)
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
