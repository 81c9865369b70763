package gateway

import (
	"testing"
	"time"

	"lacewingmount.dev/placement"
)

// Load: a VM that gets a sixth of a core stands still for 65 ms now and then. The
// home's answer that came meanwhile counts.
func TestAnswerThatCameWhileTheVMStoodStill(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(usual)
	v := f.serving("vm-1")
	ask := placement.Request{ID: placement.RequestID{VM: "vm-1", Seq: v.nextSeq()}, Left: time.Second, Target: time.Second}
	replies := v.expect(ask.ID.Seq)
	defer v.unexpect(ask.ID.Seq)
	time.AfterFunc(askTimeout+5*time.Millisecond, func() {
		v.deliver(ask.ID.Seq, reply{from: "vm-2", ask: &answer{Verdict: placement.Granted, Server: "i-0"}})
	})
	if got, _ := v.await(t.Context(), "svc", ask, func() {}, "vm-2", replies); got == nil || got.Home != "vm-2" {
		t.Errorf("placed by %+v", got)
	}
}
