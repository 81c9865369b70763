package main

import (
	"os"
	"sort"
	"syscall"
	"time"
)

const (
	quotaRate    = 45.0 // ratePerS and burst of the tenant, as on the wire
	quotaBurst   = 45.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	usualRate    = quotaRate / 1.6 // quota_x
	heatFactor   = 8               // hot_tenant, x
	heatTime     = 9 * time.Second
	heatRounds   = 4
	heatPeriod   = 18 * time.Second
	freezeTime   = 700 * time.Millisecond // node_freeze: at most 4 s
	freezeGap    = 1100 * time.Millisecond
	frozen       = "edge-gwangju-1" // by rendezvous the owner of the tenant's tokens
)

// playFreeze lets a tenant send many times its usual, while one machine freezes for a moment again
// and again.
func playFreeze(e *env) (int, error) {
	if _, err := e.addServers("bookshelf", 12, 40*time.Millisecond); err != nil {
		return notRun, err
	}
	e.configure([]route{{"r-shelf", "/shelf/", "safe", "4000ms", "bookshelf"}}, []tenant{{tenantName, tenantKey, quotaRate, quotaBurst}})
	f, err := startFleet(e, "edge-jeonju-1", "edge-gwangju-1", "edge-mokpo-1", "edge-mokpo-2")
	if err != nil {
		return notRun, err
	}
	begin := time.Now().Add(4 * time.Second)
	next := func(int) request {
		return request{method: "GET", host: "hulo84.example", path: "/shelf/2f", key: tenantKey, budget: 8 * time.Second}
	}
	answers := []func() []answer{e.sendAll(f, 20, usualRate, begin.Add(heatRounds*heatPeriod), next)}
	for round := range heatRounds {
		at := begin.Add(time.Duration(round) * heatPeriod)
		time.Sleep(time.Until(at))
		if !e.trouble {
			continue
		}
		e.rec.log("disruption begins: the tenant sends %d times its usual for %v", heatFactor, heatTime)
		answers = append(answers, e.sendAll(f, 140, usualRate*(heatFactor-1), at.Add(heatTime), next))
		if os.Getenv("TROUBLE") == "hot" {
			continue // a control: the tenant alone
		}
		for pause := at.Add(time.Second); pause.Before(at.Add(heatTime)); pause = pause.Add(freezeGap) {
			time.Sleep(time.Until(pause))
			for _, m := range f.machines {
				if m.name == frozen {
					e.rec.log("machine %s freezes for %v", m.name, freezeTime)
					m.process.Process.Signal(syscall.SIGSTOP)
					time.Sleep(freezeTime)
					m.process.Process.Signal(syscall.SIGCONT)
				}
			}
		}
	}
	sent := map[string]time.Time{}
	var all []answer
	for _, wait := range answers {
		all = append(all, wait()...)
	}
	for _, a := range all {
		sent[a.id] = a.sentAt
	}
	type span struct{ sent, arrived time.Time }
	var spans []span
	for id, runs := range e.log.byID() {
		spans = append(spans, span{sent[id], runs[0].at})
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].sent.Before(spans[j].sent) })
	allowed := int((quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage)) + quotaSlack
	worst, worstAt, windows := 0, time.Time{}, 0
	for i, first := range spans {
		count := 0
		for _, s := range spans[i:] {
			if s.sent.Sub(first.sent) > quotaWindow {
				break
			}
			if s.arrived.Sub(first.sent) <= quotaWindow {
				count++
			}
		}
		if count > allowed {
			windows++
		}
		if count > worst {
			worst, worstAt = count, first.sent
		}
	}
	e.say("%d requests, statuses %v; at most %d in 5 s (from %.1f s), %d allowed; QUOTA broken in %d windows", len(all), statuses(all), worst, worstAt.Sub(e.rec.start).Seconds(), allowed, windows)
	if windows > 0 {
		return broken, nil
	}
	return held, nil
}
