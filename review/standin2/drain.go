package main

import (
	"fmt"
	"time"
)

const (
	drainBound  = 2 * time.Second
	lateAfter   = 5200 * time.Millisecond // a write without an answer is executed 1 to 6 s later
	leaveAfter  = 3100 * time.Millisecond // later than stableWindow after the lost answer
	leavingTime = 2900 * time.Millisecond // how long a leaving server goes on serving: drain and a little longer
	serverWork  = 400 * time.Millisecond  // of a request
	settleTime  = 4 * time.Second         // of the callers at the end
	leavers     = 3
)

// entry is the server's entry in the store.
func (s *server) entry(state string, sequence int) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":%d,"state":%q,"coldRemaining":"0ms","sequence":%d,"born":%d}`,
		s.service, s.address, serverSlots, state, sequence, s.born)
}

// leave plays the last seconds of a server that leaves as planned. If lost is set, one of its
// heartbeats before that gets no answer and is executed late. It returns when the store has
// accepted that the server is draining.
func (s *server) leave(f *fleet, sequence int, lost bool) (acknowledged time.Time) {
	key := "servers/" + s.id
	began := time.Now()
	late := s.entry("ready", sequence)
	if lost {
		number := sequence
		f.say("%s: heartbeat %d (ready) gets no answer", s.id, number)
		time.AfterFunc(lateAfter, func() {
			f.store.put(key, late)
			f.say("%s: the store executes heartbeat %d (ready)", s.id, number)
		})
	} else {
		f.store.put(key, late)
	}
	for next := began.Add(heartbeatPeriod); next.Before(began.Add(leaveAfter)); next = next.Add(heartbeatPeriod) {
		time.Sleep(time.Until(next))
		sequence++
		f.store.put(key, s.entry("ready", sequence))
	}
	time.Sleep(time.Until(began.Add(leaveAfter)))
	sequence++
	f.store.put(key, s.entry("draining", sequence))
	acknowledged = time.Now()
	f.say("%s: the store accepts heartbeat %d (draining)", s.id, sequence)
	go func() {
		for next := acknowledged.Add(heartbeatPeriod); next.Before(acknowledged.Add(leavingTime)); next = next.Add(heartbeatPeriod) {
			time.Sleep(time.Until(next))
			sequence++
			f.store.put(key, s.entry("draining", sequence))
			f.note("%s: heartbeat %d (draining)", s.id, sequence)
		}
		time.Sleep(time.Until(acknowledged.Add(leavingTime)))
		f.store.remove(key)
		s.exit()
		f.say("%s: entry removed, the server has ended", s.id)
	}()
	return acknowledged
}

// drainLateBeat: servers leave as planned. The store has lost the answer to an earlier
// heartbeat of theirs and executes it after it has accepted that they are draining.
func drainLateBeat(f *fleet, played trouble) (int, error) {
	f.store.put("op/config", []byte(configuration))
	if err := f.addServers("ledger", 6, serverWork); err != nil {
		return failed, err
	}
	var leaving []*server
	stops := make([]chan int, leavers)
	for i := range leavers {
		s, err := startServer(f.net+".240", fmt.Sprintf("i-leaving-%d", i), "ledger", serverWork)
		if err != nil {
			return failed, err
		}
		leaving = append(leaving, s)
		stops[i] = make(chan int)
		go func() {
			for sequence := 1; ; sequence++ {
				f.store.put("servers/"+s.id, s.entry("ready", sequence))
				select {
				case <-time.After(heartbeatPeriod):
				case stops[i] <- sequence + 1:
					return
				}
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	if err := f.addGateways(4, 284, 4100); err != nil {
		return failed, err
	}
	l := startLoad(f, "c", 60, 500*time.Millisecond)
	time.Sleep(8 * time.Second)
	acknowledged := make([]time.Time, leavers)
	for i, s := range leaving {
		acknowledged[i] = s.leave(f, <-stops[i], played == all)
		time.Sleep(leavingTime)
	}
	time.Sleep(settleTime)
	l.stop.Store(true)
	l.done.Wait()
	f.say("answers by status (0: none): %v", l.statuses)
	result := held
	for i, s := range leaving {
		s.mu.Lock()
		before, after := 0, 0
		for _, a := range s.arrivals {
			if since := a.at.Sub(acknowledged[i]); since > drainBound {
				after++
				f.say("%s reaches %s %d ms after the store accepted that it is draining", a.id, s.id, since.Milliseconds())
				result = broken
			} else {
				before++
			}
		}
		lost := 0
		for id := range s.runs {
			if !s.answered[id] {
				lost++
				f.say("%s was running at %s when it ended", id, s.id)
			}
		}
		s.mu.Unlock()
		f.say("%s: %d requests before, %d later than drain after it was acknowledged; %d running at its end", s.id, before, after, lost)
	}
	if result == broken {
		f.say("DRAIN broken")
	}
	return result, nil
}
