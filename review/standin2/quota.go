package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	quotaRate    = 45 // requests per second, and burst
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	usualRate    = 28.0 // requests per second that the tenant sends; its rate is 1.6 times that
	hotFactor    = 7.5
	hotTime      = 6500 * time.Millisecond
	quotaClients = 120

	graceTime    = 6 * time.Second
	lateWrite    = 5 * time.Second // a write without an answer is executed 1 to 6 s later
	leaseTime    = 36 * time.Second
	betweenStops = 2 * time.Second
)

// restart stops the machine as planned and starts it again.
func (f *fleet) restart(g *gateway) error {
	f.say("%s gets SIGTERM", g.name)
	g.signal(syscall.SIGTERM)
	g.wait(graceTime)
	if err := f.start(g, false); err != nil {
		return err
	}
	for deadline := time.Now().Add(5 * time.Second); !f.isReady(g); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is not ready", g.name)
		}
	}
	f.say("%s is ready again", g.name)
	return nil
}

// quotaLostRegistration: the store loses the answer to one write of a machine that has just
// started, and executes it late. Later the other machines are restarted in turn, and a
// tenant sends many times its usual.
func quotaLostRegistration(f *fleet, played trouble) (int, error) {
	f.store.put("op/config", []byte(strings.Replace(configuration, `"ratePerS":0,"burst":0`, fmt.Sprintf(`"ratePerS":%d,"burst":%d`, quotaRate, quotaRate), 1)))
	if err := f.addServers("ledger", 10, 60*time.Millisecond); err != nil {
		return failed, err
	}
	time.Sleep(100 * time.Millisecond)
	if err := f.addGateways(3, 284, 4100); err != nil {
		return failed, err
	}
	second := float64(time.Second)
	usual := startLoad(f, "c", quotaClients/4, time.Duration(quotaClients/4/usualRate*second))
	time.Sleep(3 * time.Second)
	if played == all {
		f.store.loseNextWrite(lateWrite, func(text string) { f.say("%s", text) })
	}
	if err := f.restart(f.gateways[0]); err != nil {
		return failed, err
	}
	time.Sleep(leaseTime)
	for _, g := range f.gateways[1:] {
		if err := f.restart(g); err != nil {
			return failed, err
		}
		time.Sleep(betweenStops)
	}
	time.Sleep(6 * time.Second)
	hot := &load{}
	if played != none {
		f.say("the tenant sends %.1f times its usual", hotFactor)
		hot = startLoad(f, "hot", quotaClients, time.Duration(quotaClients/(usualRate*(hotFactor-1))*second))
	}
	time.Sleep(hotTime)
	hot.stop.Store(true)
	hot.done.Wait()
	usual.stop.Store(true)
	usual.done.Wait()
	f.say("answers by status (0: none): %v, hot %v", usual.statuses, hot.statuses)
	return checkQuota(f, append(usual.sent, hot.sent...)), nil
}

// checkQuota checks the rule QUOTA in every window that begins with the sending of a request.
func checkQuota(f *fleet, sent []sentRequest) int {
	ranAt := map[string]time.Time{}
	for _, s := range f.servers {
		s.mu.Lock()
		for _, a := range s.arrivals {
			if a.ran {
				ranAt[a.id] = a.at
			}
		}
		s.mu.Unlock()
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaRate)*(1+quotaOverage) + quotaSlack
	worst, worstFrom := 0, time.Time{}
	for _, first := range sent {
		ends, n := first.at.Add(quotaWindow), 0
		for _, r := range sent {
			if at, ran := ranAt[r.id]; ran && !r.at.Before(first.at) && !at.Before(r.at) && at.Before(ends) {
				n++
			}
		}
		if n > worst {
			worst, worstFrom = n, first.at
		}
	}
	f.say("most requests sent and run in 5 s: %d, from %.3f s; allowed %.0f", worst, worstFrom.Sub(f.began).Seconds(), allowed)
	if float64(worst) > allowed {
		f.say("QUOTA broken")
		return broken
	}
	return held
}
