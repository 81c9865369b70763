package main

import "time"

const (
	stopPlay      = 50 * time.Second
	stopGap       = 13 * time.Second // roll_term, gap_s
	grace         = 6 * time.Second
	stopUploads   = 8.0       // per second
	stopBytes     = 300 << 10 // the sheet's longest upload has 360 kB
	manuscriptMin = 560 * time.Millisecond
	manuscriptMax = 3400 * time.Millisecond // the sheet's longest work
	stopBudget    = 12 * time.Second
)

// playStop sends uploads while the machines are stopped and started in turn. The servers work on an
// upload before they have read all of it.
func playStop(e *env) (int, error) {
	servers, err := e.addServers("inkwell", 6, manuscriptMin)
	if err != nil {
		return notRun, err
	}
	for _, v := range servers {
		v.lateBody, v.maxWork = true, manuscriptMax
	}
	e.configure([]route{{"r-manuscript", "/manuscript/", "upload", "", "inkwell"}}, []tenant{{tenantName, tenantKey, 100, 100}})
	f, err := startFleet(e, "edge-jeonju-1", "edge-gwangju-1", "edge-mokpo-1")
	if err != nil {
		return notRun, err
	}
	begin := time.Now().Add(time.Second)
	answers := e.sendAll(f, 60, stopUploads, begin.Add(stopPlay), func(int) request {
		return request{method: "POST", host: "hulo84.example", path: "/manuscript/2f", key: tenantKey, budget: stopBudget, body: stopBytes}
	})
	stopped := map[string]time.Time{}
	for i, m := range f.machines {
		time.Sleep(time.Until(begin.Add(4*time.Second + time.Duration(i)*stopGap)))
		if e.trouble {
			stopped[m.front] = time.Now()
			m.terminate(grace)
		}
	}
	all := answers()
	runs := e.log.byID()
	lost, failed, excused := 0, 0, 0
	for _, a := range all {
		answered := a.sentAt.Add(a.took)
		brokenOff := (a.status == 0 || a.status == 502 || a.status == 504) && len(runs[a.id]) > 0 && a.took < stopBudget
		if !brokenOff {
			continue
		}
		failed++
		at, ok := stopped[a.to]
		if !ok || answered.Before(at) || answered.After(at.Add(grace+time.Second)) {
			continue // not around a SIGTERM of its machine
		}
		if runs[a.id][0].workUntil.After(at.Add(grace - grace/6)) {
			excused++ // still at work in the last sixth of grace
			continue
		}
		lost++
		e.say("LOST: upload %s, at which %s was at work, was broken off with %d %.2f s after the SIGTERM, %.2f s after it was sent", a.id, runs[a.id][0].server, a.status, answered.Sub(at).Seconds(), a.took.Seconds())
	}
	e.say("%d uploads, statuses %v; %d were broken off while their server was at work, %d of them around a SIGTERM, and %d more that would have been at work in the last sixth of grace, which is excused", len(all), statuses(all), failed, lost, excused)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
