package gateway

import (
	"fmt"
	"testing"
	"time"

	"lacewingmount.dev/membership"
)

// Of 138 VMs, ten have five times the processor time of the others. The owners and the
// first readers are among these ten; all VMs remain readers.
func TestHighCapacityVMsAreOwnersAndReaders(t *testing.T) {
	strong := map[string]bool{}
	p := newPeers(membership.Member{Name: "vm-0", Capacity: 0.16})
	for i := 1; i < 138; i++ {
		m := membership.Member{Name: fmt.Sprintf("vm-%d", i), Capacity: 0.16, Incarnation: 1}
		if i%14 == 0 || i == 1 {
			m.Capacity, strong[m.Name] = 0.8, true
		}
		p.updateMember(m)
	}
	if len(strong) != 10 {
		t.Fatalf("%d VMs of high capacity, want 10", len(strong))
	}
	for group := range p.groups() {
		if owner := p.ownerOfGroup(group); !strong[owner.Name] {
			t.Errorf("group %d is owned by %s, a VM of low capacity", group, owner.Name)
		}
	}
	if readers := p.readers(); len(readers) != 138 || !strong[readers[0].Name] || !strong[readers[9].Name] {
		t.Errorf("%d readers, the first is %s", len(readers), readers[0].Name)
	}
	for name := range strong {
		p.suspect(time.Now(), name)
	}
	if owner := p.ownerOfGroup(0); strong[owner.Name] {
		t.Errorf("the silent VM %s is still the owner", owner.Name)
	}
}

// A VM that lost power stays registered for a while. Each suspicion lasts longer than
// the one before, up to a limit, until the VM sends a message.
func TestSuspicionOfSilentOwnerBacksOff(t *testing.T) {
	p := newPeers(membership.Member{Name: "vm-0"})
	p.updateMember(membership.Member{Name: "vm-1", Incarnation: 1})
	now := time.Unix(1000, 0)
	passedOver := func() time.Duration {
		p.suspect(now, "vm-1")
		began := now
		for len(p.available) == 1 {
			now = now.Add(100 * time.Millisecond)
			p.expireSuspicions(now)
		}
		return now.Sub(began).Round(time.Second)
	}
	for _, want := range []time.Duration{2, 4, 8, 16, 16} {
		if got := passedOver(); got != want*time.Second {
			t.Errorf("suspected for %v, want %v s", got, int(want))
		}
	}
	p.onMessage(now, "vm-1")
	if got := passedOver(); got != suspicionTime {
		t.Errorf("suspected for %v after a message of the VM", got)
	}
}
