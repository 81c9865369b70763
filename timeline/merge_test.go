package timeline

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// history is a random run of processes whose wall clocks differ. The processes send
// each other messages with or without stamps.
type history struct {
	rings         []*Ring
	happensBefore map[[2]string]bool // pairs of events of which the first may have caused the second
}

func newHistory(t *rapid.T, stamped bool) history {
	const processes, steps = 4, 60
	h := history{happensBefore: map[[2]string]bool{}}
	known := make([]map[string]bool, processes) // events that each process learned of
	for i := range processes {
		known[i] = map[string]bool{}
		offset := time.Duration(rapid.IntRange(-50, 50).Draw(t, "offset")) * time.Millisecond
		step := 0
		wall := func() time.Time {
			step++
			return time.Unix(1000, 0).Add(offset + time.Duration(step/3)*time.Millisecond)
		}
		h.rings = append(h.rings, NewRing(NewClock(wall), fmt.Sprint("vm-", i), "test"))
	}
	for step := range steps {
		i := rapid.IntRange(0, processes-1).Draw(t, "process")
		name := fmt.Sprint("event-", step)
		h.rings[i].Add(Event{Kind: KindStarted, Reason: name})
		for earlier := range known[i] {
			h.happensBefore[[2]string{earlier, name}] = true
		}
		known[i][name] = true
		if to := rapid.IntRange(0, processes-1).Draw(t, "receiver"); to != i {
			if stamped {
				h.rings[to].Clock().Observe(h.rings[i].Clock().Now())
			}
			maps.Copy(known[to], known[i])
		}
	}
	return h
}

// violations counts the pairs that are in the wrong order after a merge.
func (h history) violations() int {
	var lists [][]Event
	for _, ring := range h.rings {
		lists = append(lists, ring.Events())
	}
	position := map[string]int{}
	for i, event := range Merge(lists...) {
		position[event.Reason] = i
	}
	wrong := 0
	for pair := range h.happensBefore {
		if position[pair[0]] > position[pair[1]] {
			wrong++
		}
	}
	return wrong
}

func TestMergeKeepsCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t, true)
		if wrong := h.violations(); wrong > 0 {
			t.Fatalf("%d pairs in the wrong order", wrong)
		}
	})
}

// Control: with wall clocks alone, the same check finds effects before their causes.
func TestControlMergeByWallClockMisorders(t *testing.T) {
	wrong := 0
	rapid.Check(t, func(t *rapid.T) { wrong += newHistory(t, false).violations() })
	if wrong == 0 {
		t.Error("the check found no pair in the wrong order")
	}
}

func TestMergeDoesNotDependOnTheOrderOfProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lists [][]Event
		for _, ring := range newHistory(t, true).rings {
			lists = append(lists, ring.Events())
		}
		want := Merge(lists...)
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(lists), func(i, j int) { lists[i], lists[j] = lists[j], lists[i] })
		if !reflect.DeepEqual(Merge(lists...), want) {
			t.Fatal("the merged timeline depends on the order of the processes")
		}
	})
}

func TestRingKeepsTheNewest(t *testing.T) {
	ring := NewRing(NewClock(time.Now), "vm", "test")
	for i := range EventsPerKind + 10 {
		ring.Add(Event{Reason: fmt.Sprint(i)})
	}
	events := ring.Events()
	if len(events) != EventsPerKind || events[0].Reason != "10" || events[len(events)-1].Reason != fmt.Sprint(EventsPerKind+9) {
		t.Errorf("%d events from %s to %s", len(events), events[0].Reason, events[len(events)-1].Reason)
	}
}
