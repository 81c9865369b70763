package limit

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision measures a request whose cache holds a token.
func BenchmarkDecision(b *testing.B) {
	c := NewCache(DefaultTiming, 1)
	c.batch = &batch{free: b.N, expires: epoch.Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		c.batch.free++
		c.RecordArrival(epoch)
		permit, ok := c.Reserve(epoch)
		if !ok || !c.Spend(permit, epoch) {
			b.Fatal("no token")
		}
	}
}

// BenchmarkOwner measures how an owner handles one exchange with one token request.
func BenchmarkOwner(b *testing.B) {
	for _, vms := range []int{48, 890} {
		b.Run(fmt.Sprintf("%d VMs", vms), func(b *testing.B) {
			owner, exchanges := loadedOwner(vms, 16)
			now := epoch
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				m := &exchanges[i%len(exchanges)]
				m.Timestamp = now.Add(-ExchangePeriod).UnixNano()
				m.TokenRequests[0].Seq++
				owner.Handle(*m, now)
			}
		})
	}
}

// loadedOwner returns an owner with the given number of accounts, and an exchange from each VM.
func loadedOwner(vms, accounts int) (*Owner, []Exchange) {
	owner := NewOwner(DefaultTiming, 1)
	quotas := map[string]Quota{}
	var names []string
	for i := 0; len(names) < accounts; i++ {
		if name := fmt.Sprintf("account-%d", i); GroupOf(name) == 0 {
			names = append(names, name)
			quotas[name] = Quota{Rate: 100, Burst: 50}
		}
	}
	owner.SetQuotas(quotas, epoch)
	var exchanges []Exchange
	for i := range vms {
		vm := VM{Name: fmt.Sprintf("vm-%d", i), Incarnation: uint64(epoch.UnixMilli())}
		exchanges = append(exchanges, Exchange{
			From: vm, Owner: 1, Timing: DefaultTiming,
			Leases:        []Lease{{Holder: vm, Shares: 1, Total: max(vms, InitialShares), Ledger: 12345}},
			TokenRequests: []TokenRequest{{Account: names[i%accounts], Session: 1 << 62, Seq: 1, Spent: 1234, Waiting: 1}},
		})
	}
	return owner, exchanges
}

// TestEncodedSizes logs the sizes of messages as JSON, without the frame, and limits them.
func TestEncodedSizes(t *testing.T) {
	owner, exchanges := loadedOwner(48, 16)
	m := exchanges[0]
	m.Owner, m.Timestamp = uint64(epoch.UnixMilli()), epoch.UnixNano()
	owner.incarnation = m.Owner
	size := func(message any) int {
		content, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		return len(content)
	}
	withTokenRequest, replyToTokenRequest := size(m), size(owner.Handle(m, epoch.Add(time.Millisecond)))
	m.TokenRequests = nil
	t.Logf("lease %d bytes, its reply %d; lease with a token request %d bytes, its reply %d",
		size(m), size(owner.Handle(m, epoch.Add(2*time.Millisecond))), withTokenRequest, replyToTokenRequest)
	if withTokenRequest > 600 || replyToTokenRequest > 300 {
		t.Error("a message is larger than docs/MEASUREMENTS.md assumes")
	}
}
