package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	leaverServices = 8
	leaverServers  = 10 // of each service
	leaverGone     = 2  // of these leave in each round
	leaverRate     = 400.0
	leaverRounds   = 3
	roundTime      = 26 * time.Second
	calmTime       = 8 * time.Second         // from the return of the store to the kill; stableWindow is 3 s
	killTime       = 3500 * time.Millisecond // node_kill
	drain          = 2 * time.Second
)

// storeOutages are the lengths of the store's outages by round: platform_down, how "busy", for at
// most 4.5 s. They differ, because the order in which the machines find the store again depends on
// them.
var storeOutages = [leaverRounds]time.Duration{4500 * time.Millisecond, 4400 * time.Millisecond, 4200 * time.Millisecond}

// playLeaver lets the store be down for some seconds. Some time after that, the machine that reads
// the store is killed, and servers of each service leave without reporting draining. All that
// happens once a round.
func playLeaver(e *env) (int, error) {
	var routes []route
	var services [][]*server
	for i := range leaverServices {
		service := fmt.Sprintf("service%d", i)
		servers, err := e.addServers(service, leaverServers, 60*time.Millisecond)
		if err != nil {
			return notRun, err
		}
		services = append(services, servers)
		routes = append(routes, route{fmt.Sprintf("r-%d", i), fmt.Sprintf("/s%d/", i), "safe", "4000ms", service})
	}
	e.configure(routes, []tenant{{tenantName, tenantKey, 2000, 2000}})
	f, err := startFleet(e, "edge-jeonju-1", "edge-gwangju-1", "edge-mokpo-1", "edge-mokpo-2")
	if err != nil {
		return notRun, err
	}
	begin := time.Now().Add(6 * time.Second)
	var mu sync.Mutex
	number := 0
	answers := e.sendAll(f, 150, leaverRate, begin.Add(leaverRounds*roundTime), func(int) request {
		mu.Lock()
		defer mu.Unlock()
		number++
		return request{method: "GET", host: "hulo84.example", path: fmt.Sprintf("/s%d/2f", number%leaverServices), key: tenantKey, budget: 8 * time.Second}
	})
	gone := map[string]time.Time{}
	for round := range leaverRounds {
		time.Sleep(time.Until(begin.Add(time.Duration(round) * roundTime)))
		e.playRound(f, services, round, gone)
	}
	all := answers()
	late := 0
	for _, r := range e.log.all() {
		// The killed machine is back after killTime. Only requests before that are counted.
		if at, ok := gone[r.server]; ok && r.at.Sub(at) > drain && r.at.Sub(at) < killTime-200*time.Millisecond {
			late++
			e.say("DRAIN: request %s reached %s %.3f s after the store had acknowledged that it is gone", r.id, r.server, r.at.Sub(at).Seconds())
		}
	}
	e.say("%d requests, statuses %v; %d servers left; %d requests reached one of them too late", len(all), statuses(all), len(gone), late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// playRound plays one round and records when the store acknowledged that a server is gone.
func (e *env) playRound(f *fleet, services [][]*server, round int, gone map[string]time.Time) {
	storeOutage := storeOutages[round]
	if e.trouble {
		e.rec.log("disruption begins: the store answers 503 to every call for %v", storeOutage)
		e.store.setBusy(true)
		time.Sleep(storeOutage)
		e.store.setBusy(false)
		e.rec.log("disruption ends: the store answers again")
	} else {
		time.Sleep(storeOutage)
	}
	time.Sleep(calmTime)
	reader := e.store.lastReader()
	e.say("round %d: reads of the store in the last 3 s: %v", round+1, e.store.readersSince(time.Now().Add(-3*time.Second)))
	for _, m := range f.machines {
		if m.name == reader {
			e.rec.log("machine %s, which read the store last, is killed for %v", m.name, killTime)
			m.kill()
			time.AfterFunc(killTime, func() {
				if err := m.start(); err != nil {
					e.rec.log("machine %s not started: %v", m.name, err)
				}
			})
		}
	}
	time.Sleep(100 * time.Millisecond)
	for _, servers := range services {
		for _, v := range servers[round*leaverGone : (round+1)*leaverGone] {
			gone[v.id] = v.leave()
		}
	}
}
