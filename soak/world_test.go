package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
	"lacewingmount.dev/standin"
)

const (
	serverCount  = 6
	workTime     = 120 * time.Millisecond // keeps half of the slots busy, so that every server is used
	beatPeriod   = 1500 * time.Millisecond
	recoveryTime = 4 * time.Second // longer than a learned spell of a failing server and a home's suspicion
	routeTimeout = 2 * time.Second
	attempts     = 2
	busyRate     = 20 // requests a second and burst of the account that sends too much
	service      = "svc"
)

// bounds are those of the users' first deployments.
var bounds = platformtest.Bounds{
	StableWindow: 3 * time.Second, Drain: 2 * time.Second, ConfigApply: 2 * time.Second, KeyWithdrawal: 5 * time.Second,
	GracePeriod: 6 * time.Second, RetryAllowance: 64, QuotaAllowance: 20,
}

// world is one run: a fleet, what it talks to, and what was seen.
type world struct {
	t      *testing.T
	dir    string
	random *rand.Rand // of the faults
	ctx    context.Context
	store  *platformtest.Store
	vms    []*vm

	mu        sync.Mutex
	servers   []*backend // also those that left
	versions  []change   // of the configuration, by version from 1
	disturbed map[string][]period
	calls     []*call
	events    *os.File
}

// backend is a backend server behind a link.
type backend struct {
	*platformtest.Server
	link     *standin.Link
	sequence int
	state    string
	leaving  time.Time // when the store took its draining record
}

// change is one version of the configuration.
type change struct {
	at  time.Time // when the store took it
	key string    // of the account "turning", valid in this version only
}

// period is a span in which something was disturbed; until is zero while it lasts.
type period struct{ from, until time.Time }

func newWorld(t *testing.T, seed int64) *world {
	t.Helper()
	w := &world{
		t: t, dir: t.TempDir(), random: rand.New(rand.NewPCG(uint64(seed), 1)), ctx: t.Context(),
		store: platformtest.NewStore(), disturbed: map[string][]period{},
	}
	var err error
	if w.events, err = os.Create(filepath.Join(w.dir, "events")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.events.Close() })
	store := httptest.NewServer(w.store.Handler())
	t.Cleanup(store.Close)
	w.configure()
	for range serverCount {
		w.addServer()
	}
	go w.beat()
	ports := platformtest.FreePorts(w.t, portsOfVM**size)
	for i := range *size {
		w.vms = append(w.vms, w.newVM(fmt.Sprintf("vm-%d", i+1), strings.TrimPrefix(store.URL, "http://"), ports[i*portsOfVM:]))
	}
	for _, v := range w.vms {
		v.start()
	}
	t.Cleanup(w.killVMs)
	return w
}

// note writes one line of what was done, for whoever traces a failure.
func (w *world) note(format string, args ...any) {
	_, _ = fmt.Fprintf(w.events, "ts=%s "+format+"\n", append([]any{time.Now().UTC().Format(time.RFC3339Nano)}, args...)...)
}

// link opens a link to the target and returns it with its address.
func (w *world) link(target string) (*standin.Link, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	l := standin.NewLink(target)
	go l.Serve(w.ctx, listener)
	return l, listener.Addr().String()
}

// addServer registers a new backend server.
func (w *world) addServer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := &backend{Server: platformtest.NewServer(w.t, fmt.Sprintf("i-%d", len(w.servers))), state: "ready"}
	b.SetProcessingTime(workTime)
	b.link, b.Address = w.link(b.Address)
	w.servers = append(w.servers, b)
	w.register(b)
}

// register writes the server's record; w.mu is held.
func (w *world) register(b *backend) {
	b.sequence++
	w.store.Put(platform.ServersPrefix+b.ID, b.Record(service, b.state, b.sequence))
}

// beat writes the servers' records again and again.
func (w *world) beat() {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		for _, b := range w.servers {
			if b.state != "gone" {
				w.register(b)
			}
		}
		w.mu.Unlock()
		time.Sleep(beatPeriod)
	}
}

// configure writes the next version, in which the account "turning" has another key.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	version := len(w.versions) + 1
	key := fmt.Sprintf("turning-%d", version)
	w.store.Put(platform.ConfigKey, platformtest.Configuration{
		Version: version,
		Routes: []platformtest.Route{
			{Name: "read", Prefix: "/read/", Kind: "safe", Timeout: routeTimeout.String(), Service: service, MaxAttempts: attempts},
			{Name: "order", Prefix: "/order/", Kind: "unsafe", Timeout: routeTimeout.String(), Service: service, MaxAttempts: attempts},
		},
		Accounts: []platformtest.Account{
			{Name: "steady", Keys: []string{"steady"}}, {Name: "turning", Keys: []string{key}},
			{Name: "busy", Keys: []string{"busy"}, Rate: busyRate, Burst: busyRate},
		},
	}.Encode())
	w.versions = append(w.versions, change{at: time.Now(), key: key})
	w.note("event=configured version=%d", version)
}

// vm is the gateway's process of one VM, with links from callers and to the store.
type vm struct {
	w              *world
	name           string
	settings       string
	ready          string
	front          string // address of the link for callers
	callers, store *standin.Link

	reading sync.Mutex // held while the settings file is broken, and while a process starts

	mu      sync.Mutex
	started time.Time
	process *exec.Cmd
	done    chan struct{}
	lives   int
	ending  bool // it was told to end
}

// portsOfVM are for callers, the balancer and the other VMs.
const portsOfVM = 3

func (w *world) newVM(name, store string, ports []int) *vm {
	v := &vm{w: w, name: name, settings: filepath.Join(w.dir, name+".settings")}
	var storeAddress string
	v.store, storeAddress = w.link(store)
	v.callers, v.front = w.link(fmt.Sprintf("127.0.0.1:%d", ports[0]))
	v.ready = fmt.Sprintf("http://127.0.0.1:%d%s", ports[1], platform.ReadyPath)
	text := platformtest.VM{Name: name, IP: "127.0.0.1", CallerPort: ports[0], ReadyPort: ports[1], FleetPort: ports[2], StoreAddress: storeAddress, Bounds: bounds}.Settings()
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return v
}

// start runs the process; what it writes is appended to the VM's log.
func (v *vm) start() {
	log, err := os.OpenFile(filepath.Join(v.w.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		v.w.t.Error(err)
		return
	}
	defer func() { _ = log.Close() }() // the process has its own copy
	v.reading.Lock()
	defer v.reading.Unlock()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.started = time.Now()
	v.process = exec.Command(program)
	v.process.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settings)
	v.process.Stdout, v.process.Stderr = log, log
	v.ending, v.done = false, make(chan struct{})
	v.lives++
	if err := v.process.Start(); err != nil {
		v.w.t.Error(err)
		return
	}
	v.w.note("event=started vm=%s", v.name)
	go v.wait(v.process, v.done)
}

// wait tells when a process ends that was not told to.
func (v *vm) wait(process *exec.Cmd, done chan struct{}) {
	err := process.Wait()
	v.mu.Lock()
	expected := v.ending
	v.mu.Unlock()
	v.w.note("event=ended vm=%s result=%q", v.name, fmt.Sprint(err))
	if !expected {
		v.w.t.Errorf("%s ended by itself: %v", v.name, err)
	}
	close(done)
}

func (v *vm) signal(s os.Signal, ends bool) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ending = v.ending || ends
	v.w.note("event=signal vm=%s signal=%q", v.name, s)
	_ = v.process.Process.Signal(s) // fails only if the process has ended, which wait reports
	return v.done
}

// life is the number of the VM's present start.
func (v *vm) life() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lives
}

func (v *vm) isReady() bool {
	answer, err := (&http.Client{Timeout: time.Second}).Get(v.ready)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (w *world) waitReady() {
	w.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range w.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(w.vms) {
			return
		}
	}
	w.t.Fatal("the VMs are not ready in time")
}

// disturb marks a span in which what is disturbed need not meet the bounds.
func (w *world) disturb(what string) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := len(w.disturbed[what])
	w.disturbed[what] = append(w.disturbed[what], period{from: time.Now()})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.disturbed[what][i].until = time.Now()
	}
}

// calm reports whether nothing of what is named was disturbed in the span or in
// the stable window before it.
func (w *world) calm(from, until time.Time, names ...string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	from = from.Add(-bounds.StableWindow)
	for _, name := range names {
		for _, p := range w.disturbed[name] {
			if p.from.Before(until) && (p.until.IsZero() || p.until.After(from)) {
				return false
			}
		}
	}
	return true
}
