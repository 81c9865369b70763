package main

import "time"

const (
	hotPlay      = 50 * time.Second
	hotFactor    = 8 // hot_tenant, x
	hotTime      = 9 * time.Second
	uploadBytes  = 48 << 20        // maxBodyBytes is 64 MB
	uploadTime   = 9 * time.Second // a client's link of 45 Mbit/s
	uploadRate   = 0.4             // of the tenant, per second, usually; 0.2 a machine, as on the sheet
	uploadQuota  = 1.6 * uploadRate
	renewalRate  = 30.0
	lostRequests = 3 // LOST: more than three
)

// playHot sends renewals of one tenant and uploads of another, which for some seconds sends many
// times its usual.
func playHot(e *env) (int, error) {
	if _, err := e.addServers("ledger", 8, 470*time.Millisecond); err != nil {
		return notRun, err
	}
	if _, err := e.addServers("inkwell", 4, 560*time.Millisecond); err != nil {
		return notRun, err
	}
	e.configure([]route{
		{"r-renewal", "/renewal/", "unsafe", "5000ms", "ledger"},
		{"r-manuscript", "/manuscript/", "upload", "", "inkwell"},
	}, []tenant{{tenantName, tenantKey, 100, 100}, {otherName, otherKey, uploadQuota, 2}})
	f, err := startFleet(e, "edge-jeonju-1", "edge-gwangju-1")
	if err != nil {
		return notRun, err
	}
	begin := time.Now().Add(time.Second)
	end := begin.Add(hotPlay)
	renewals := e.sendAll(f, 40, renewalRate, end, func(int) request {
		return request{method: "POST", host: "hulo84.example", path: "/renewal/2f", key: tenantKey, budget: 10 * time.Second, body: 300}
	})
	upload := func(int) request {
		return request{method: "POST", host: "hulo84.example", path: "/manuscript/2f", key: otherKey, budget: 12 * time.Second, body: uploadBytes, upload: uploadTime}
	}
	uploads := e.sendAll(f, 4, uploadRate, end, upload)
	hotUploads := func() []answer { return nil }
	if e.trouble {
		time.Sleep(time.Until(begin.Add(12 * time.Second)))
		e.rec.log("disruption begins: the tenant sends %d times its usual for %v", hotFactor, hotTime)
		hotUploads = e.sendAll(f, 100, uploadRate*(hotFactor-1), time.Now().Add(hotTime), upload)
	}
	all := renewals()
	sent := append(uploads(), hotUploads()...)
	runs := e.log.byID()
	lost := 0
	for _, a := range all {
		if a.status == 0 && a.kept && a.took < 4500*time.Millisecond && len(runs[a.id]) > 0 {
			lost++
			e.say("LOST: renewal %s from a kept channel was passed on to %s, and its channel was closed without an answer after %.2f s", a.id, runs[a.id][0].server, a.took.Seconds())
		}
	}
	ends := 0
	for _, m := range f.machines {
		m.mu.Lock()
		ends += m.ends
		e.say("machine %s: at most %d of %d MB, ended %d times over it", m.name, m.peakMB, memoryMB, m.ends)
		m.mu.Unlock()
	}
	e.say("%d renewals, statuses %v; %d uploads, statuses %v; %d processes ended over their memory; %d renewals lost", len(all), statuses(all), len(sent), statuses(sent), ends, lost)
	if lost > lostRequests {
		return broken, nil
	}
	return held, nil
}
