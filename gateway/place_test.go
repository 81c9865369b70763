package gateway

import (
	"testing"
	"time"

	"lacewingmount.dev/placement"
)

// A VM with a sixth of a core is paused for up to 65 ms at times. A reply of the owner
// that arrived during such a pause must be used, although replyTimeout is over.
func TestReplyThatArrivedDuringPauseCounts(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	slot := placement.Request{ID: placement.RequestID{VM: "vm-1", Seq: v.nextSeq()}, Left: time.Second, Target: time.Second}
	replies := v.addPending(slot.ID.Seq)
	defer v.removePending(slot.ID.Seq)
	time.AfterFunc(replyTimeout+5*time.Millisecond, func() {
		v.deliver(slot.ID.Seq, reply{from: "vm-2", slot: &placementReply{Verdict: placement.Granted, Server: "i-0"}})
	})
	if got, _ := v.awaitDecision(t.Context(), "svc", slot, func() {}, "vm-2", replies); got == nil || got.Owner != "vm-2" {
		t.Errorf("placed by %+v", got)
	}
}
