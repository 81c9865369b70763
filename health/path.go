package health

import (
	"fmt"
	"time"

	"lacewingmount.dev/timeline"
)

// evaluatePaths runs the tests over the VM's own requests. Only this VM avoids a
// server that fails them, since the cause may be the network path to it.
func (v *View) evaluatePaths(now time.Time) {
	for i, s := range v.servers {
		added := s.counts.since(&s.tested)
		if added.observations() > 0 {
			v.pathTests.observe(now, i, source{}, &added)
			s.tested = s.counts
		}
	}
	v.pathTests.advance(now)
	for i, s := range v.servers {
		v.evaluatePath(now, i, s)
	}
}

func (v *View) evaluatePath(now time.Time, i int, s *viewServer) {
	if now.Before(s.avoidUntil) {
		return
	}
	if !s.avoidUntil.IsZero() && !s.returnReported {
		s.returnReported = true
		v.pathTests.reset(i, initialSumShare)
		v.event(timeline.KindPathRestored, s, "this VM sends to it again")
	}
	s.suspect = v.pathTests.level(i) >= suspectLevel
	found, ok := v.pathTests.strongestAlarm(i)
	if !ok || s.ownerVerdict.State.Removed() && now.Before(v.expires) {
		return
	}
	if now.Sub(s.avoidUntil) > ejectionCountDecay {
		s.consecutiveAvoidances = 0
	}
	duration := ejectionTime(s.consecutiveAvoidances)
	s.consecutiveAvoidances++
	s.avoidUntil, s.returnReported, v.eligibilityStale = now.Add(duration), false, true
	v.event(timeline.KindPathAvoided, s, "%s, by this VM's own requests; for %s", found.text, duration)
}

func (v *View) event(kind timeline.Kind, s *viewServer, format string, values ...any) {
	v.events = append(v.events, timeline.Event{Kind: kind, Server: s.Name, Reason: fmt.Sprintf(format, values...)})
}
