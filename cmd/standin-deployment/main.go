// Command standin-deployment simulates the surroundings of the gateways in a small
// deployment of the users' platform: the store, the backend servers and the callers.
// It writes the settings files of the gateways, waits until the gateways are ready,
// sends requests while one server fails for some time, and prints the results that
// the callers got.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

const (
	serviceName     = "reading"
	serverCount     = 6
	callerCount     = 12
	processingTime  = 40 * time.Millisecond
	callDeadline    = 3 * time.Second
	requestInterval = 50 * time.Millisecond // between two requests of a caller
	startTimeout    = 10 * time.Second      // for the gateways to become ready
	portsPerVM      = 3
)

type flags struct {
	Settings  string        `arg:"" help:"Existing folder to write the settings files to, one for each VM."`
	Listen    string        `required:"" help:"Address of the store." placeholder:"IP:PORT"`
	FirstPort int           `default:"7600" help:"First port of the VMs; each VM uses three."`
	VMs       int           `name:"vms" default:"3" help:"Number of VMs."`
	Duration  time.Duration `default:"6s" help:"How long to send requests."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("standin-deployment"), kong.Description("Simulates the store, the backend servers and the callers of a small deployment."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, f); err != nil {
		fmt.Fprintf(os.Stderr, "standin-deployment: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, f flags) error {
	store := platformtest.NewStore()
	if err := daemon.ServeHTTP(ctx, f.Listen, store.Handler()); err != nil {
		return err
	}
	store.Put(platform.ConfigKey, platformtest.Configuration{
		Version: 1,
		Routes: []platformtest.Route{
			{Name: "read", Prefix: "/read/", Kind: "safe", Timeout: "2s", Service: serviceName, MaxAttempts: 2},
			{Name: "order", Prefix: "/order/", Kind: "unsafe", Timeout: "2s", Service: serviceName, MaxAttempts: 2},
		},
		Accounts: []platformtest.Account{{Name: "readers", Keys: []string{"demo"}}},
	}.Encode())
	var started []*platformtest.Server
	for i := range serverCount {
		s, err := platformtest.StartServer(fmt.Sprintf("i-%d", i))
		if err != nil {
			return err
		}
		s.SetProcessingTime(processingTime)
		store.Put(platform.ServersPrefix+s.ID, s.Record(serviceName, "ready", 1))
		started = append(started, s)
	}
	vms, err := writeSettings(f)
	if err != nil {
		return err
	}
	if err := awaitReady(ctx, vms); err != nil {
		return err
	}
	return sendAll(ctx, f, vms, started)
}

// writeSettings writes the settings files of the gateways and returns their VMs.
func writeSettings(f flags) ([]platformtest.VM, error) {
	var vms []platformtest.VM
	for i := range f.VMs {
		port := f.FirstPort + i*portsPerVM
		vm := platformtest.VM{
			Name: fmt.Sprintf("vm-%d", i+1), IP: "127.0.0.1", CallerPort: port, ReadyPort: port + 1, FleetPort: port + 2, StoreAddress: f.Listen,
			Bounds: platformtest.Bounds{StableWindow: 3 * time.Second, Drain: 2 * time.Second, ConfigApply: 2 * time.Second, KeyWithdrawal: 5 * time.Second, GracePeriod: 6 * time.Second, RetryAllowance: 64, QuotaAllowance: 20},
		}
		if err := os.WriteFile(filepath.Join(f.Settings, vm.Name+".settings"), []byte(vm.Settings()), 0o600); err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "the settings file cannot be written", "pass a folder that exists")
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// awaitReady waits until all gateways are ready. It fails after startTimeout.
func awaitReady(ctx context.Context, vms []platformtest.VM) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startTimeout); ctx.Err() == nil && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, vm := range vms {
			response, err := client.Get(fmt.Sprintf("http://%s:%d%s", vm.IP, vm.ReadyPort, platform.ReadyPath))
			if err != nil {
				continue // not started yet
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(vms) {
			return nil
		}
	}
	return errs.New(errs.Unavailable, "the gateways did not become ready in time", "start one gateway for each settings file and look at their logs")
}

// report counts the results that the callers got.
type report struct {
	mu       sync.Mutex
	statuses map[string]int
	example  string // id of a request that got status 500 from the failing server
}

// sendAll sends requests through all VMs. One server fails in the middle third of the
// duration.
func sendAll(ctx context.Context, f flags, vms []platformtest.VM, started []*platformtest.Server) error {
	ctx, cancel := context.WithTimeout(ctx, f.Duration)
	defer cancel()
	time.AfterFunc(f.Duration/3, func() { started[0].SetBehavior(func(string) platformtest.Behavior { return platformtest.Fail }) })
	time.AfterFunc(2*f.Duration/3, func() { started[0].SetBehavior(func(string) platformtest.Behavior { return platformtest.Respond }) })
	r := report{statuses: map[string]int{}}
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Go(func() { r.sendRequests(ctx, i, vms[i%len(vms)]) })
	}
	wg.Wait()
	return r.print(started)
}

// sendRequests sends requests on one connection until ctx ends or the connection
// fails. Every third one is a read, the others are protected.
func (r *report) sendRequests(ctx context.Context, caller int, vm platformtest.VM) {
	connection, err := platformtest.Dial(net.JoinHostPort(vm.IP, fmt.Sprint(vm.CallerPort)), time.Second)
	if err != nil {
		r.count("no connection", "")
		return
	}
	defer connection.Close()
	for n := 0; ctx.Err() == nil; n++ {
		c := platformtest.Call{ID: fmt.Sprintf("c%d-%d", caller, n), Method: http.MethodPost, Path: "/order/", Key: "demo", Body: "order", Deadline: callDeadline}
		if n%3 == 0 {
			c.Method, c.Path, c.Body = http.MethodGet, "/read/", ""
		}
		reply, err := connection.Do(c)
		if err != nil {
			r.count("cut off", c.ID)
			return
		}
		r.count(fmt.Sprintf("status %d", reply.Status), c.ID)
		time.Sleep(requestInterval)
	}
}

// count adds one result; id is the id of the request, if there was one.
func (r *report) count(result, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[result]++
	if result == "status 500" {
		r.example = id
	}
}

// print prints the report. It fails if a protected request ran more than once or no
// request succeeded.
func (r *report) print(started []*platformtest.Server) error {
	runs, orders := 0, map[string]int{}
	for _, s := range started {
		for _, run := range s.Runs() {
			runs++
			if run.Method == http.MethodPost {
				orders[run.ID]++
			}
		}
	}
	duplicates := 0
	for _, n := range orders {
		if n > 1 {
			duplicates++
		}
	}
	for result, n := range r.statuses {
		fmt.Printf("%s: %d\n", result, n)
	}
	fmt.Printf("runs on servers: %d\nprotected requests that ran more than once: %d\n", runs, duplicates)
	if r.example != "" {
		fmt.Printf("example %s\n", r.example)
	}
	if duplicates > 0 || r.statuses["status 200"] == 0 {
		return errs.New(errs.Conflict, "a protected request ran more than once or no request got status 200", "look at the logs of the gateways")
	}
	return nil
}
