package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

// fleet runs a store, the backend servers of one service, and VMs in one process.
type fleet struct {
	t       *testing.T
	store   *platformtest.Store
	address string // of the store
	servers []*platformtest.Server
	version int // of the configuration
	seq     int // of the last request

	memoryMB float64 // of VMs that are started from then on; 0 for no limit
}

// configParameters are the parts of the configuration that tests vary.
type configParameters struct {
	kind    string // of the route at /r/
	timeout string
	key     string // of the only account
	rate    int
	public  bool
	cold    float64 // requests per second that a cold server can handle
}

var defaultParameters = configParameters{kind: "unsafe", timeout: "2000ms", key: "k1"}

func newFleet(t *testing.T, servers int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: platformtest.NewStore()}
	standin := httptest.NewServer(f.store.Handler())
	t.Cleanup(standin.Close)
	f.address = strings.TrimPrefix(standin.URL, "http://")
	for i := range servers {
		s := platformtest.NewServer(t, fmt.Sprintf("i-%d", i))
		f.servers = append(f.servers, s)
		f.store.Put(platform.ServersPrefix+s.ID, s.Record("svc", "ready", 1))
	}
	return f
}

// configure writes the next version of the configuration.
func (f *fleet) configure(parameters configParameters) {
	f.version++
	f.store.Put(platform.ConfigKey, platformtest.Configuration{
		Version:  f.version,
		ColdPerS: parameters.cold,
		Routes:   []platformtest.Route{{Name: "r", Prefix: "/r/", Kind: parameters.kind, Timeout: parameters.timeout, Service: "svc", MaxAttempts: 2, Public: parameters.public}},
		Accounts: []platformtest.Account{{Name: "acc", Keys: []string{parameters.key}, Rate: parameters.rate, Burst: parameters.rate}},
	}.Encode())
}

// vm is a running Gateway with its addresses.
type vm struct {
	*Gateway
	callers, ready string
	stop           func()
	done           chan struct{}
}

// start starts a VM, which runs until the test ends.
func (f *fleet) start(name string) *vm {
	f.t.Helper()
	bounds := platform.Bounds{
		GracePeriod: 4 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 64, MinServers: 0.7,
	}
	ports := platformtest.FreePorts(f.t, 3)
	address := func(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
	settings := platform.Settings{
		VM: name, Zone: "z1", IP: "127.0.0.1", CallerAddress: address(ports[0]), ReadyAddress: address(ports[1]),
		FleetPort: ports[2], Store: f.address, Bounds: bounds, MemoryMB: f.memoryMB,
	}
	g, err := New(settings, zap.NewNop())
	if err != nil {
		f.t.Fatal(err)
	}
	g.schedule.Load().accept = 0
	ctx, stop := context.WithCancel(context.Background())
	v := &vm{Gateway: g, callers: settings.CallerAddress, ready: "http://" + settings.ReadyAddress + platform.ReadyPath, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(v.done)
		if err := g.Run(ctx); err != nil {
			f.t.Errorf("%s: %v", name, err)
		}
	}()
	f.t.Cleanup(func() {
		stop()
		g.serving.end()
		<-v.done
	})
	return v
}

// startReady starts a VM and waits until it is ready.
func (f *fleet) startReady(name string) *vm {
	f.t.Helper()
	v := f.start(name)
	f.waitFor("the VM is ready", func() bool { return v.isReady() && len(*v.servers.Load()) == len(f.servers) })
	return v
}

// startWithTimeout starts a VM with the given timeout of the route and waits until it is
// ready.
func (f *fleet) startWithTimeout(timeout string) *vm {
	f.t.Helper()
	parameters := defaultParameters
	parameters.timeout = timeout
	f.configure(parameters)
	return f.startReady("vm-1")
}

func (v *vm) isReady() bool {
	answer, err := http.Get(v.ready)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// do sends one request over a connection of its own and returns the answer.
func (v *vm) do(call platformtest.Call) (platformtest.Reply, error) {
	c, err := platformtest.Dial(v.callers, time.Second)
	if err != nil {
		return platformtest.Reply{}, err
	}
	defer c.Close()
	return c.Do(call)
}

// waitFor waits up to 5 s for a condition, and fails the test if it does not hold.
func (f *fleet) waitFor(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("not within 5 s: %s", what)
}

// callerReply is the answer that a caller got.
type callerReply struct {
	id, body   string
	status     int
	signature  string
	retryAfter string
	closing    bool
	took       time.Duration
	err        error
}

// call sends one request with a unique ID and returns the answer.
func (f *fleet) call(v *vm, method, path, key, body string, client *http.Client) callerReply {
	f.t.Helper()
	f.seq++
	id := "req" + strconv.Itoa(f.seq)
	request, err := platformtest.Call{ID: id, Method: method, Path: path, Key: key, Body: body, Deadline: 3 * time.Second}.Request()
	if err != nil {
		f.t.Fatal(err)
	}
	request.URL.Host = v.callers
	if client == nil {
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	return send(client, request, id)
}

// send sends one request and reads the answer.
func send(client *http.Client, request *http.Request, id string) callerReply {
	started := time.Now()
	answer, err := client.Do(request)
	if err != nil {
		return callerReply{id: id, err: err, took: time.Since(started)}
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return callerReply{
		id: id, body: string(content), status: answer.StatusCode, signature: answer.Header.Get("Server-Signature"),
		retryAfter: answer.Header.Get("Retry-After"), closing: answer.Close, took: time.Since(started), err: err,
	}
}

// countRuns returns how often the servers ran the request.
func (f *fleet) countRuns(id string) int {
	n := 0
	for _, s := range f.servers {
		for _, run := range s.Runs() {
			if run.ID == id {
				n++
			}
		}
	}
	return n
}

func (f *fleet) setBehavior(behavior func(s *platformtest.Server, id string) platformtest.Behavior) {
	for _, s := range f.servers {
		s.SetBehavior(func(id string) platformtest.Behavior { return behavior(s, id) })
	}
}
