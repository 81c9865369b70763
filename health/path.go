package health

import (
	"fmt"
	"time"

	"lacewingmount.dev/timeline"
)

// judgePaths runs the tests over the VM's own requests. A server that fails
// them is avoided by this VM alone, since the cause may be the path to it.
func (v *View) judgePaths(now time.Time) {
	for i, s := range v.servers {
		added := s.counts.since(&s.tested)
		if added.observations() > 0 {
			v.path.observe(now, i, part{}, &added)
			s.tested = s.counts
		}
	}
	v.path.advance(now)
	for i, s := range v.servers {
		v.judgePath(now, i, s)
	}
}

func (v *View) judgePath(now time.Time, i int, s *viewed) {
	if now.Before(s.avoidUntil) {
		return
	}
	if !s.avoidUntil.IsZero() && !s.back {
		s.back = true
		v.path.reset(i, headStart)
		v.event(timeline.KindPathBack, s, "this VM sends to it again")
	}
	s.suspect = v.path.level(i) >= suspectLevel
	found, ok := v.path.alarmed(i)
	if !ok || s.told.State.Removed() && now.Before(v.expires) {
		return
	}
	if now.Sub(s.avoidUntil) > returnsForgotten {
		s.returns = 0
	}
	duration := ejectionTime(s.returns)
	s.returns++
	s.avoidUntil, s.back, v.dirty = now.Add(duration), false, true
	v.event(timeline.KindPathAvoided, s, "%s, by this VM's own requests; for %s", found.text, duration)
}

func (v *View) event(kind timeline.Kind, s *viewed, format string, values ...any) {
	v.events = append(v.events, timeline.Event{Kind: kind, Server: s.Name, Reason: fmt.Sprintf(format, values...)})
}
