// Command standin plays one case of the review: it stands in for the platform, the servers and
// the clients, and starts the project's own program as separate processes.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// env is what a case needs.
type env struct {
	rec     *record
	root    string // of the repository
	dir     string // for temporary files
	base    string // first three bytes of the loopback addresses
	store   *store
	log     *runLog
	trouble bool

	endMu  sync.Mutex
	ending []func() // ends what the case has started
}

// onEnd has f called when the case ends, also if it fails or is interrupted.
func (e *env) onEnd(f func()) {
	e.endMu.Lock()
	defer e.endMu.Unlock()
	e.ending = append(e.ending, f)
}

// end ends what the case has started.
func (e *env) end() {
	e.endMu.Lock()
	defer e.endMu.Unlock()
	for _, f := range e.ending {
		f()
	}
}

func main() {
	cases := map[string]func(*env) (int, error){"copies": playCopies, "hot": playHot, "leaver": playLeaver, "stop": playStop, "freeze": playFreeze}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(playCase func(*env) (int, error), root, recordPath string) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "case not run:", err)
		return notRun
	}
	root, err := filepath.Abs(root)
	if err != nil {
		return fail(err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return fail(err)
	}
	defer rec.close()
	e := &env{rec: rec, root: root, dir: dir, base: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)), log: &runLog{}, trouble: os.Getenv("TROUBLE") != "0"}
	e.store = newStore(rec, e.base+".1")
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer e.end()
	go func() {
		<-interrupted
		rec.log("interrupted")
		e.end()
		rec.close()
		os.RemoveAll(dir)
		os.Exit(notRun)
	}()
	rec.log("trouble=%v", e.trouble)
	result, err := playCase(e)
	if err != nil {
		return fail(err)
	}
	rec.log("result %d", result)
	return result
}

// say prints a line and records it.
func (e *env) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	e.rec.log(format, args...)
}

const (
	tenantKey  = "xd9dnn2ctnfzs989anu6"
	tenantName = "yefi830"
	otherKey   = "k2jfmm3wqpd0zz71hhab"
	otherName  = "roki117"
)

type tenant struct {
	name, key   string
	rate, burst float64
}

type route struct {
	name, prefix, kind, timeout string
	service                     string
}

// configure writes the first configuration.
func (e *env) configure(routes []route, tenants []tenant) {
	config := map[string]any{"version": "00000007", "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}}
	routeTable, services, tenantTable := map[string]any{}, map[string]any{}, map[string]any{}
	for _, r := range routes {
		entry := map[string]any{"hostname": "hulo84.example", "pathPrefix": r.prefix, "routeType": r.kind, "targetLatency": "1500ms", "priority": 1, "service": r.service, "maxAttempts": 2, "public": false}
		if r.timeout != "" {
			entry["timeout"] = r.timeout
		}
		routeTable[r.name] = entry
		services[r.service] = map[string]any{"healthCheckPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": false}
	}
	for _, t := range tenants {
		tenantTable[t.name] = map[string]any{"apiKeys": []string{t.key}, "priority": 0, "ratePerS": t.rate, "burst": t.burst}
	}
	config["routes"], config["services"], config["tenants"] = routeTable, services, tenantTable
	e.store.put("op/config", config)
}

// addServers starts n servers of a service.
func (e *env) addServers(service string, n int, work time.Duration) ([]*server, error) {
	var servers []*server
	for i := range n {
		v, err := newServer(e.store, e.rec, e.log, e.base+".2", fmt.Sprintf("i-%s-%02d", service, i), service, work)
		if err != nil {
			return nil, err
		}
		servers = append(servers, v)
	}
	return servers, nil
}

// sendAll starts clients that together send rate requests a second until the time, and returns
// their answers. Each client keeps one channel; number spreads the clients over the machines.
func (e *env) sendAll(f *fleet, clients int, rate float64, until time.Time, next func(client int) request) func() []answer {
	var mu sync.Mutex
	var answers []answer
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			c := &client{rec: e.rec, address: func() string { return f.pick(i) }}
			defer c.close()
			pause := time.Duration(float64(clients) / rate * float64(time.Second))
			for at := time.Now().Add(time.Duration(rand.Float64() * float64(pause))); at.Before(until); {
				time.Sleep(time.Until(at))
				at = at.Add(time.Duration((0.5 + rand.Float64()) * float64(pause)))
				a := c.send(next(i))
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	return func() []answer {
		running.Wait()
		return answers
	}
}

// statuses counts the answers by status.
func statuses(answers []answer) map[int]int {
	counts := map[int]int{}
	for _, a := range answers {
		counts[a.status]++
	}
	return counts
}
