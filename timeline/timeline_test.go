package timeline

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRingKeepsRareEventsAmongManyOthers(t *testing.T) {
	ring := NewRing(NewClock(time.Now), "vm-1", "lacewing-entry")
	ring.Add(Event{Kind: KindConfigured, Revision: 7})
	for range 2 * EventsPerKind {
		ring.Add(Event{Kind: KindRefused})
	}
	ring.Add(Event{Kind: KindStopping})
	events := ring.Events()
	if len(events) != EventsPerKind+2 {
		t.Fatalf("kept %d events", len(events))
	}
	if first, last := events[0], events[len(events)-1]; first.Revision != 7 || first.VM != "vm-1" || last.Kind != KindStopping {
		t.Fatalf("first %+v, last %+v", first, last)
	}
	if !slices.IsSortedFunc(events, func(a, b Event) int { return a.At.Compare(b.At) }) {
		t.Fatal("events are not in order")
	}
}

// TestClockOrdersEventsAfterReceivedMessages lets processes with wrong wall clocks send
// messages. A stamp taken after a message was received must be later than the stamp
// of the message.
func TestClockOrdersEventsAfterReceivedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		walls := rapid.SliceOfN(rapid.Int64Range(0, 1000), 3, 3).Draw(t, "wall clocks")
		var clocks []*Clock
		for i := range walls {
			clocks = append(clocks, NewClock(func() time.Time { return time.Unix(walls[i], 0) }))
		}
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			walls[from] += rapid.Int64Range(-5, 5).Draw(t, "step of the wall clock")
			before := clocks[to].Now()
			sent := clocks[from].Now()
			clocks[to].Observe(sent)
			if after := clocks[to].Now(); !sent.Before(after) || !before.Before(after) {
				t.Fatalf("sent %v, before %v, after %v", sent, before, after)
			}
		}
	})
}
