package gateway

import (
	"fmt"
	"testing"
	"time"

	"lacewingmount.dev/membership"
)

// Load: 138 VMs, ten of them with five times the processor time of the others.
// Homes and the first reader are among the ten; all VMs remain readers.
func TestStrongVMsAreHomesAndReaders(t *testing.T) {
	strong := map[string]bool{}
	p := newPeers(membership.Member{Name: "vm-0", Capacity: 0.16})
	for i := 1; i < 138; i++ {
		m := membership.Member{Name: fmt.Sprintf("vm-%d", i), Capacity: 0.16, Incarnation: 1}
		if i%14 == 0 || i == 1 {
			m.Capacity, strong[m.Name] = 0.8, true
		}
		p.learn(m)
	}
	if len(strong) != 10 {
		t.Fatalf("%d strong VMs", len(strong))
	}
	for group := range p.groups() {
		if home := p.homeOfGroup(group); !strong[home.Name] {
			t.Errorf("group %d has its home on the weak VM %s", group, home.Name)
		}
	}
	if readers := p.readers(); len(readers) != 138 || !strong[readers[0].Name] || !strong[readers[9].Name] {
		t.Errorf("%d readers, the first is %s", len(readers), readers[0].Name)
	}
	for name := range strong {
		p.suspect(time.Now(), name)
	}
	if home := p.homeOfGroup(0); strong[home.Name] {
		t.Errorf("the silent VM %s is still the home", home.Name)
	}
}

// A VM that lost power stays on the list for a while. It is tried less and less
// often, until it is heard.
func TestSilentHomeIsTriedLessOften(t *testing.T) {
	p := newPeers(membership.Member{Name: "vm-0"})
	p.learn(membership.Member{Name: "vm-1", Incarnation: 1})
	now := time.Unix(1000, 0)
	passedOver := func() time.Duration {
		p.suspect(now, "vm-1")
		began := now
		for len(p.list) == 1 {
			now = now.Add(100 * time.Millisecond)
			p.retry(now)
		}
		return now.Sub(began).Round(time.Second)
	}
	for _, want := range []time.Duration{2, 4, 8, 16, 16} {
		if got := passedOver(); got != want*time.Second {
			t.Errorf("passed over for %v, want %v s", got, int(want))
		}
	}
	p.heard(now, "vm-1")
	if got := passedOver(); got != suspectTime {
		t.Errorf("after it was heard: %v", got)
	}
}
