package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lacewingmount.dev/limit"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/platform"
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
	suspectAndWait := func() time.Duration { // returns how long the VM is suspected
		p.suspect(now, "vm-1")
		began := now
		for len(p.available) == 1 {
			now = now.Add(100 * time.Millisecond)
			p.expireSuspicions(now)
		}
		return now.Sub(began).Round(time.Second)
	}
	for _, want := range []time.Duration{2, 4, 8, 16, 16} {
		if got := suspectAndWait(); got != want*time.Second {
			t.Errorf("suspected for %v, want %v s", got, int(want))
		}
	}
	p.onMessage(now, "vm-1")
	if got := suspectAndWait(); got != suspicionTime {
		t.Errorf("suspected for %v after a message of the VM", got)
	}
}

// Load: the list of VMs at the start of a fleet, and the same list again. The owners are
// computed again only if the list has changed.
func TestUnchangedListKeepsOwners(t *testing.T) {
	p := newPeers(membership.Member{Name: "vm-0"})
	list := registeredVMs(300)
	p.setRegistered(time.Unix(1000, 0), list)
	owner := p.ownerOfGroup(0)
	p.setRegistered(time.Unix(1001, 0), list)
	if len(p.owners) == 0 {
		t.Error("an unchanged list cleared the owners")
	}
	p.setRegistered(time.Unix(1020, 0), list[:2])
	if len(p.owners) != 0 || p.count() != 2 {
		t.Errorf("%d VMs are known after 298 left the list, want 2; the owner was %s", p.count(), owner.Name)
	}
}

func registeredVMs(n int) []membership.Member {
	var list []membership.Member
	for i := range n {
		list = append(list, membership.Member{Name: fmt.Sprintf("vm-%d", i), Incarnation: 1, Capacity: 0.16})
	}
	return list
}

// Load: a VM that starts and gets the list of all VMs.
func BenchmarkSetRegistered(b *testing.B) {
	for _, vms := range []int{100, 300, 900} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			list := registeredVMs(vms)
			for b.Loop() {
				newPeers(membership.Member{Name: "vm-0"}).setRegistered(time.Unix(1000, 0), list)
			}
		})
	}
}

// Load: an account that sends five times its rate of 20 a second. Its owner serves it for
// 2 s; then all five VMs stop, 0.4 s after a restart of four of them, and the callers stay
// on their open connections. With no owner left, the VMs together must keep the limit.
func TestQuotaHoldsWhileAllVMsStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, window = 5, 5 * time.Second
		overage := limit.Overage{Window: window, Fraction: 0.1, Requests: 20}
		account := &platform.Account{Name: "account", Rate: 20, Burst: 20}
		newVM := func(self membership.Member) *Gateway {
			return &Gateway{self: self, peers: newPeers(self), quotas: newQuotas(overage), localQuotas: newQuotas(overage)}
		}
		members := registeredVMs(vms)
		owner := newVM(members[0])
		owner.peers.setRegistered(time.Now(), members)
		for _, m := range members { // the first VM of the list becomes the account's owner
			if m.Name == owner.peers.ownerOf(account.Name).Name {
				owner = newVM(m)
			}
		}
		owner.peers.setRegistered(time.Now(), members)
		fleet := []*Gateway{owner}
		lease := func() { // each VM owns a group, so each gets the reports of all
			for _, g := range fleet {
				for _, m := range members {
					g.quotas.recordLease(time.Now(), m.Name)
				}
			}
		}
		admitted := 0
		flood := func(span time.Duration) { // 100 requests a second
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				g := fleet[int(time.Now().UnixMilli()/10)%len(fleet)]
				if ok, _, _ := g.admit(t.Context(), account, 0); ok {
					admitted++
				}
			}
		}
		time.Sleep(2 * time.Second)
		lease()
		flood(1600 * time.Millisecond)
		for _, m := range members {
			if m.Name != owner.self.Name {
				g := newVM(m)
				g.peers.setRegistered(time.Now(), members)
				fleet = append(fleet, g)
			}
		}
		lease()
		all := fleet
		fleet = all[:1]
		flood(400 * time.Millisecond)
		fleet = all
		for _, g := range fleet {
			g.peers.markLeaving()
			for _, m := range members {
				m.Leaving = true
				g.peers.updateMember(m)
			}
		}
		flood(window - 2*time.Second)
		if allowed := int((account.Rate*window.Seconds()+account.Burst)*1.1) + 20; admitted > allowed {
			t.Errorf("%d requests in 5 s, %d are allowed", admitted, allowed)
		}
		if least := int(0.5 * account.Rate * window.Seconds()); admitted < least {
			t.Errorf("%d requests in 5 s at %v a second, want %d or more", admitted, account.Rate, least)
		}
	})
}

// Load: an account that has used up its bucket at its owner. The owner leaves, and the VM
// that owns the account next is asked 20 times at once.
func TestNewOwnerLearnsOfAnEmptyBucket(t *testing.T) {
	overage := limit.Overage{Window: 5 * time.Second, Fraction: 0.1, Requests: 20}
	account := &platform.Account{Name: "account", Rate: 20, Burst: 20}
	members := registeredVMs(2)
	g := &Gateway{self: members[0], peers: newPeers(members[0]), quotas: newQuotas(overage)}
	g.peers.setRegistered(time.Now(), members)
	g.quotas.recordReply(time.Now(), account.Name, members[1], 0.5)
	members[1].Leaving = true
	g.peers.updateMember(members[1])
	for _, m := range members {
		g.quotas.recordLease(time.Now(), m.Name)
	}
	admitted := 0
	for range 20 {
		if ok, _, _ := g.admit(t.Context(), account, 0); ok {
			admitted++
		}
	}
	if admitted > 2 {
		t.Errorf("%d requests are admitted at once, want 2 or fewer", admitted)
	}
	if seen := g.quotas.observation(time.Now(), account.Name, members[0]); seen != nil {
		t.Errorf("the owner's own reply is reported to it: %+v", seen)
	}
	members[0].Incarnation++
	if seen := g.quotas.observation(time.Now(), account.Name, members[0]); seen == nil {
		t.Error("nothing is reported to the owner after its restart")
	}
}
