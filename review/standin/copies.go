package main

import (
	"fmt"
	"sync"
	"time"
)

// The doses of the two disruptions, as in the site files.
const (
	copiesServices = 10
	copiesServers  = 5     // of each service
	copiesRate     = 120.0 // requests per second of all services together, as on the sheet
	copiesPlay     = 96 * time.Second
	refusePeriod   = 10 * time.Second
	refuseTime     = 8500 * time.Millisecond // srv_grey, how "shed all"
	refuseShare    = 0.55
	copyTime       = 5 * time.Second // garble, how "extra late"
	copyServers    = 0.6
	copyShare      = 0.03
)

// playCopies sends unsafe requests while servers refuse a part of their requests as not run, and a
// few answers come a second time, late, on the same channel.
func playCopies(e *env) (int, error) {
	var services [][]*server
	var routes []route
	for i := range copiesServices {
		service := fmt.Sprintf("ledger%d", i)
		servers, err := e.addServers(service, copiesServers, 470*time.Millisecond)
		if err != nil {
			return notRun, err
		}
		services = append(services, servers)
		routes = append(routes, route{"r-" + service, "/" + service + "/", "unsafe", "5000ms", service})
	}
	e.configure(routes, []tenant{{tenantName, tenantKey, 400, 400}})
	f, err := startFleet(e, "edge-jeonju-1", "edge-gwangju-1", "edge-mokpo-1")
	if err != nil {
		return notRun, err
	}
	begin := time.Now().Add(time.Second)
	end := begin.Add(copiesPlay)
	var mu sync.Mutex
	number := 0
	answers := e.sendAll(f, 200, copiesRate, end, func(int) request {
		mu.Lock()
		defer mu.Unlock()
		number++
		return request{method: "POST", host: "hulo84.example", path: fmt.Sprintf("/ledger%d/2f", number%copiesServices), key: tenantKey, budget: 10 * time.Second, body: 300}
	})
	go func() {
		for at := begin.Add(2 * time.Second); e.trouble && at.Before(end); at = at.Add(refusePeriod) {
			time.Sleep(time.Until(at))
			e.rec.log("disruption begins: the servers refuse a share of %.2f of the requests as not run for %v; %.1f of them send a second copy of a share of %.2f of their answers for %v", refuseShare, refuseTime, copyServers, copyShare, copyTime)
			setTrouble(services, refuseShare, copyShare)
			time.Sleep(copyTime)
			setTrouble(services, refuseShare, 0)
			e.rec.log("the second copies end")
			time.Sleep(refuseTime - copyTime)
			setTrouble(services, 0, 0)
			e.rec.log("disruption ends")
		}
	}()
	all := answers()
	time.Sleep(3 * time.Second) // a request may run after its answer
	runs := e.log.byID()
	twice, refused := 0, 0
	for id, r := range runs {
		if len(r) > 1 {
			twice++
			e.say("TWICE: request %s ran %d times: at %s and %s", id, len(r), r[0].server, r[1].server)
		}
	}
	for _, a := range all {
		if notRunStatus(a.status) && len(runs[a.id]) > 0 {
			refused++
			e.say("REFUSED: request %s was answered %d and ran at %s", a.id, a.status, runs[a.id][0].server)
		}
	}
	e.say("%d requests, statuses %v, %d ran; %d ran twice, %d were refused and ran", len(all), statuses(all), len(runs), twice, refused)
	if twice+refused > 0 {
		return broken, nil
	}
	return held, nil
}

// setTrouble sets the trouble of all servers; a share of them copies answers.
func setTrouble(services [][]*server, refuse, copies float64) {
	for _, servers := range services {
		for i, v := range servers {
			if i < int(copyServers*float64(len(servers))) {
				v.setTrouble(refuse, copies)
				continue
			}
			v.setTrouble(refuse, 0)
		}
	}
}

// notRunStatus reports whether the status promises that the request has not run.
func notRunStatus(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}
