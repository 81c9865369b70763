package gateway

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

// configureService writes a configuration and the servers' records for a service of any name.
func (f *fleet) configureService(service string) {
	f.version++
	for _, s := range f.servers {
		f.store.Put(platform.ServersPrefix+s.ID, s.Record(service, "ready", 2))
	}
	f.store.Put(platform.ConfigKey, platformtest.Configuration{
		Version: f.version, Routes: []platformtest.Route{{Name: "r", Prefix: "/r/", Kind: "unsafe", Timeout: "2000ms", Service: service, MaxAttempts: 2, Public: true}},
	}.Encode())
}

// Load: requests to a service whose name has characters that end a metrics label.
func TestNameOfServiceDoesNotCloseConnections(t *testing.T) {
	f := newFleet(t, 1)
	f.configureService(`orders "eu"\`)
	v := f.startReady("vm-1")
	if r := f.call(v, http.MethodPost, "/r/", "", "order", nil); r.err != nil || r.status != http.StatusOK {
		t.Errorf("status %d, error %v, ran %d times", r.status, r.err, f.countRuns(r.id))
	}
}

// Load: a request whose processing panics before a server is chosen, and then another one.
func TestPanicBeforeASlotIsAnswered(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	sound := v.table.Load()
	noTarget := &platform.Route{Name: "r", Host: platformtest.Host, PathPrefix: "/r/"}
	v.table.Store(&table{config: sound.config, hosts: map[string][]*platform.Route{platformtest.Host: {noTarget}}})
	before := requestPanics.Get()
	client := &http.Client{Transport: &http.Transport{}}
	if r := f.call(v, http.MethodPost, "/r/", "k1", "order", client); r.err != nil || r.status != http.StatusInternalServerError {
		t.Errorf("status %d, error %v; want 500", r.status, r.err)
	}
	if n := requestPanics.Get() - before; n != 1 {
		t.Errorf("%d panics counted, want 1", n)
	}
	v.table.Store(sound)
	if r := f.call(v, http.MethodPost, "/r/", "k1", "order", client); r.status != http.StatusOK || v.active.Load() != 0 {
		t.Errorf("the next request: status %d, error %v, %d requests in progress", r.status, r.err, v.active.Load())
	}
}

// Load: a request whose processing panics after a server has got it. Its answer promises
// nothing, and its slot becomes free.
func TestPanicAfterTheRequestWasSentIsAnswered(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	server := f.servers[0]
	conn, err := net.Dial("tcp", server.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	faulty := &backendConn{Conn: conn, reader: bufio.NewReader(conn), idleUntil: time.Now().Add(time.Minute)} // has no limiter
	v.backend.pool.put(server.ID+"@"+server.Address, faulty)
	r := f.call(v, http.MethodPost, "/r/", "k1", "order", nil)
	if r.err != nil || r.status != http.StatusBadGateway {
		t.Errorf("status %d, error %v; want 502", r.status, r.err)
	}
	f.waitFor("the server has run it", func() bool { return f.countRuns(r.id) == 1 })
	if running := v.running.report(func(string) bool { return true }); len(running) > 0 {
		t.Errorf("still in flight: %v", running)
	}
}

// Load: a panic after the answer was written. The caller gets the answer.
func TestPanicAfterTheAnswerKeepsIt(t *testing.T) {
	const service = "counted-otherwise"
	metrics.GetOrCreateGauge(`lacewing_gateway_requests_total{service="`+service+`",status="200"}`, nil)
	f := newFleet(t, 1)
	f.configureService(service)
	v := f.startReady("vm-1")
	if r := f.call(v, http.MethodPost, "/r/", "", "order", nil); r.err != nil || r.status != http.StatusOK || r.body != "body of "+r.id {
		t.Errorf("status %d, body %q, error %v", r.status, r.body, r.err)
	}
}
