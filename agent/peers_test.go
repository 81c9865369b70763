package agent

import (
	"testing"
	"time"

	"lacewingmount.dev/membership"
	"lacewingmount.dev/metastore"
	"lacewingmount.dev/timeline"
)

func TestOwnerIsNotLeavingAndAddressesAreOverridden(t *testing.T) {
	p := newPeers(membership.Member{Name: "vm-1", Address: "127.0.0.1:7100"}, map[string]string{"vm-2": "127.0.0.9:7100"}, timeline.NewClock(time.Now), time.Now)
	vms := []metastore.VM{
		{Name: "vm-1", Zone: "a", Address: "127.0.0.1:7100", Leaving: true},
		{Name: "vm-2", Zone: "b", Address: "127.0.0.2:7100"},
	}
	if !p.update(vms) || p.update(vms) {
		t.Fatal("update must report a change exactly once")
	}
	owner, self, ok := p.owner("reader")
	if !ok || self || owner.Name != "vm-2" || owner.Address != "127.0.0.9:7100" {
		t.Fatalf("owner = %+v, self %t, ok %t; want vm-2 at its replaced address", owner, self, ok)
	}
	first, second := p.client(owner), p.client(owner)
	if first != second {
		t.Fatal("two clients were created for one address")
	}
	p.avoid(owner)
	if _, _, ok := p.owner("reader"); ok {
		t.Fatal("an avoided member must not be an owner")
	}
	if p.incarnationEnded("vm-1", p.incarnation(), 0) || p.incarnationEnded("vm-2", 0, time.Hour) {
		t.Fatal("an incarnation was reported as ended without evidence")
	}
}
