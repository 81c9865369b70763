package main

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	budgetRatio  = 0.2
	budgetSlack  = 64
	budgetWindow = 10 * time.Second

	shedShare  = 0.55                    // of the arrivals that the servers reject, as on the users' days ("shed all")
	shedTime   = 8500 * time.Millisecond // how long they do
	freezeTime = 4 * time.Second         // of one machine
)

const configuration = `{"version":"00000001","routes":{"orders":{"hostname":"orders.example","pathPrefix":"/orders/","routeType":"unsafe","timeout":"5000ms","targetLatency":"1500ms","priority":1,"service":"ledger","maxAttempts":3,"public":false}},"services":{"ledger":{"healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"tenants":{"t1":{"apiKeys":["key-of-tenant-1"],"priority":1,"ratePerS":0,"burst":0}}}`

var homePattern = regexp.MustCompile(`:home=(edge-z1-\d+)`)

// sentRequest is a request that a client sent.
type sentRequest struct {
	id string
	at time.Time
}

// load sends requests until stopped.
type load struct {
	mu       sync.Mutex
	sent     []sentRequest
	statuses map[string]int
	stop     atomic.Bool
	done     sync.WaitGroup
}

// startLoad starts clients that each send a request per interval. prefix begins their ids.
func startLoad(f *fleet, prefix string, clients int, interval time.Duration) *load {
	l := &load{statuses: map[string]int{}}
	for i := range clients {
		l.done.Go(func() {
			c := &client{f: f, number: i}
			defer c.close()
			time.Sleep(time.Duration(i) * interval / time.Duration(clients))
			for n := 0; !l.stop.Load(); n++ {
				id := fmt.Sprintf("%s%d-%d", prefix, i, n)
				began := time.Now()
				l.mu.Lock()
				l.sent = append(l.sent, sentRequest{id, began})
				l.mu.Unlock()
				r := c.send("POST", "orders.example", "/orders/1", id, "key-of-tenant-1", 5*time.Second, "order")
				f.note("%s to %s: status %d after %d ms %v", id, c.at.name, r.status, time.Since(began).Milliseconds(), r.err)
				l.mu.Lock()
				l.statuses[fmt.Sprint(r.status)]++
				l.mu.Unlock()
				time.Sleep(interval - time.Since(began))
			}
		})
	}
	return l
}

// owner returns the machine that the others name as the owner of the service in their newest log
// lines.
func owner(f *fleet) *gateway {
	votes := map[string]int{}
	for _, g := range f.gateways {
		lines := logLines(g, "msg=request", ":home=")
		if len(lines) == 0 {
			continue
		}
		m := homePattern.FindStringSubmatch(lines[len(lines)-1])
		if m != nil {
			votes[m[1]]++
		}
	}
	var best *gateway
	for _, g := range f.gateways {
		if votes[g.name] > 0 && (best == nil || votes[g.name] > votes[best.name]) {
			best = g
		}
	}
	return best
}

// freeze stops the machine's process for freezeTime.
func freeze(f *fleet, g *gateway) {
	f.say("%s freezes", g.name)
	g.signal(syscall.SIGSTOP)
	time.Sleep(freezeTime)
	g.signal(syscall.SIGCONT)
	f.say("%s wakes", g.name)
}

// budgetReturningOwner: one machine, the owner of a service, freezes twice. The second time,
// the servers reject a part of what arrives.
func budgetReturningOwner(f *fleet, played trouble) (int, error) {
	f.store.put("op/config", []byte(configuration))
	if err := f.addServers("ledger", 8, 60*time.Millisecond); err != nil {
		return failed, err
	}
	time.Sleep(100 * time.Millisecond)
	if err := f.addGateways(4, 284, 4100); err != nil {
		return failed, err
	}
	l := startLoad(f, "c", 40, time.Second)
	time.Sleep(8 * time.Second)
	first := owner(f)
	if first == nil {
		return failed, fmt.Errorf("the owner is not known")
	}
	f.say("owner of the service: %s", first.name)
	if played == all {
		freeze(f, first)
	} else {
		time.Sleep(freezeTime)
	}
	time.Sleep(12 * time.Second)
	if played != none {
		f.say("servers reject %.0f in 100 arrivals", 100*shedShare)
		for _, s := range f.servers {
			s.setShed(func(string) bool { return rand.Float64() < shedShare })
		}
	}
	shedEnds := time.After(shedTime)
	time.Sleep(3 * time.Second)
	if played == all {
		if now := owner(f); now != nil {
			first = now
		}
		freeze(f, first)
	} else {
		time.Sleep(freezeTime)
	}
	<-shedEnds
	for _, s := range f.servers {
		s.setShed(nil)
	}
	f.say("servers reject nothing from here on")
	time.Sleep(6 * time.Second)
	l.stop.Store(true)
	l.done.Wait()
	f.say("answers by status (0: none): %v", l.statuses)
	return checkBudget(f, l), nil
}

// checkBudget checks the rule BUDGET in every window that begins with a repeat. The requests
// of a window are those that clients sent in it, in the one before or in the one half a window
// before, whichever has most.
func checkBudget(f *fleet, l *load) int {
	var repeats []time.Time
	all := map[string][]arrival{}
	for _, s := range f.servers {
		s.mu.Lock()
		for _, a := range s.arrivals {
			all[a.id] = append(all[a.id], a)
		}
		for id, n := range s.runs {
			if n > 1 {
				f.say("%s ran %d times at %s", id, n, s.id)
			}
		}
		s.mu.Unlock()
	}
	for _, arrivals := range all {
		sort.Slice(arrivals, func(a, b int) bool { return arrivals[a].at.Before(arrivals[b].at) })
		for _, a := range arrivals[1:] {
			repeats = append(repeats, a.at)
		}
	}
	sort.Slice(repeats, func(a, b int) bool { return repeats[a].Before(repeats[b]) })
	sentIn := func(from time.Time) int {
		n := 0
		for _, r := range l.sent {
			if !r.at.Before(from) && r.at.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	worst, report, isBroken := 0.0, "", false
	for i, from := range repeats {
		n := 0
		for _, at := range repeats[i:] {
			if at.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		requests := max(sentIn(from), sentIn(from.Add(-budgetWindow)), sentIn(from.Add(-budgetWindow/2)))
		allowed := budgetRatio*float64(requests) + budgetSlack
		if over := float64(n) / allowed; over > worst {
			worst = over
			report = fmt.Sprintf("%d repeats in 10 s from %.3f s, for %d requests; allowed %.0f", n, from.Sub(f.began).Seconds(), requests, allowed)
		}
		isBroken = isBroken || float64(n) > allowed
	}
	f.say("worst window: %s", report)
	if isBroken {
		f.say("BUDGET broken")
		return broken
	}
	return held
}
