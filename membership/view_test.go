package membership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// network simulates VMs and the messages between them in virtual time.
type network struct {
	now      time.Time
	random   *rand.Rand
	list     []Member
	views    map[string]*View
	paused   map[string]bool
	cut      func(from, to string) bool // whether all messages from one VM to another are lost
	loss     float64                    // fraction of messages that are lost
	bytes    int
	maxBytes int // bytes of the largest message
}

func newNetwork(vms int) *network {
	n := &network{
		now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(7, 7)), views: map[string]*View{},
		paused: map[string]bool{}, cut: func(string, string) bool { return false },
	}
	for i := range vms {
		n.list = append(n.list, Member{Name: fmt.Sprintf("vm-%03d", i), Zone: "jeonju", Address: fmt.Sprintf("10.0.%d.%d:7100", i/200, i%200)})
	}
	for i := range n.list {
		n.start(i)
	}
	return n
}

func (n *network) start(i int) *View {
	self := n.list[i]
	self.Incarnation = uint64(n.now.UnixMilli())
	view := NewView(self, uint64(i)+self.Incarnation)
	view.SetList(n.now, n.list)
	n.views[self.Name] = view
	return view
}

func (n *network) nameAt(address string) string {
	for _, member := range n.list {
		if member.Address == address {
			return member.Name
		}
	}
	return ""
}

func (n *network) isLost(from, to string) bool {
	return n.views[to] == nil || n.paused[to] || n.cut(from, to) || n.random.Float64() < n.loss
}

// run advances virtual time by d. The rounds of the VMs are staggered over an
// ExchangeInterval.
func (n *network) run(d time.Duration) {
	const step = ExchangeInterval / 10
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(step) {
		slot := int(n.now.UnixNano()/int64(step)) % 10
		for i, member := range n.list {
			if view := n.views[member.Name]; view != nil && !n.paused[member.Name] && i%10 == slot {
				n.round(member.Name, view)
			}
		}
	}
}

func (n *network) round(name string, view *View) {
	for _, probe := range view.Round(n.now) {
		to := probe.To.Name
		if to == "" { // a seed, known by its address only
			to = n.nameAt(probe.To.Address)
		}
		n.countBytes(probe.Message)
		if n.isLost(name, to) {
			view.Missed(n.now, probe)
			continue
		}
		answer := n.views[to].Receive(n.now, probe.Message)
		n.countBytes(answer)
		if n.isLost(to, name) {
			view.Missed(n.now, probe)
			continue
		}
		view.Answered(n.now, probe, answer)
	}
}

func (n *network) countBytes(message Message) {
	content, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	n.bytes += len(content)
	n.maxBytes = max(n.maxBytes, len(content))
}

// viewsContaining returns the number of views that contain the VM, not counting its own view.
func (n *network) viewsContaining(name string) int {
	count := 0
	for owner, view := range n.views {
		for _, member := range view.Members(n.now) {
			if owner != name && member.Name == name {
				count++
			}
		}
	}
	return count
}

// expectCompleteViews fails the test unless every view contains every running VM.
func (n *network) expectCompleteViews(t *testing.T) {
	t.Helper()
	for name := range n.views {
		if got, want := n.viewsContaining(name), len(n.views)-1; got != want {
			t.Errorf("%s is in %d of %d views", name, got, want)
		}
	}
}

func TestCrashedVMIsRemovedAndReturnsAfterRestart(t *testing.T) {
	n := newNetwork(48)
	n.run(5 * time.Second)
	n.expectCompleteViews(t)
	delete(n.views, "vm-007")
	n.run(SuspicionTimeout + 4*time.Second)
	if got := n.viewsContaining("vm-007"); got != 0 {
		t.Fatalf("a crashed VM is still in %d views", got)
	}
	before := n.views["vm-000"].records["vm-007"].update.Incarnation
	restarted := n.start(7)
	n.run(4 * time.Second)
	n.expectCompleteViews(t)
	if !n.views["vm-000"].IncarnationEnded(n.now, "vm-007", before, time.Hour) || n.views["vm-000"].IncarnationEnded(n.now, "vm-007", restarted.self.Incarnation, 0) {
		t.Error("IncarnationEnded must be true for the first incarnation of vm-007 only")
	}
}

func TestViewsRecoverFromMessageLossAndPauses(t *testing.T) {
	n := newNetwork(48)
	n.loss = 0.05
	for range 20 {
		n.run(time.Second)
		n.paused["vm-003"] = !n.paused["vm-003"]
	}
	n.run(SuspicionTimeout)
	n.paused["vm-004"] = true
	n.run(20 * time.Second)
	if got := n.viewsContaining("vm-004"); got > 1 {
		t.Errorf("a VM paused for 20 s is in %d views", got)
	}
	n.paused["vm-004"] = false
	n.run(50 * time.Millisecond)
	if got := len(n.views["vm-004"].Members(n.now)); got < 47 {
		t.Errorf("a VM removed its peers when it resumed after a pause: %d members left", got)
	}
	n.loss = 0
	n.run(2*SuspicionTimeout + 4*time.Second)
	n.expectCompleteViews(t)
}

func TestOneWayPartitionAffectsOnlyItsPath(t *testing.T) {
	n := newNetwork(12)
	n.cut = func(from, to string) bool { return from == "vm-001" && to == "vm-002" }
	n.run(20 * time.Second)
	for _, pair := range [][2]string{{"vm-001", "vm-002"}, {"vm-002", "vm-001"}} {
		for _, member := range n.views[pair[0]].Members(n.now) {
			if member.Name == pair[1] {
				t.Errorf("%s keeps %s in its view although the path is cut one way", pair[0], pair[1])
			}
		}
	}
	if got := n.viewsContaining("vm-002"); got != 10 {
		t.Errorf("vm-002 is in %d views, want the 10 that reach it", got)
	}
	n.cut = func(string, string) bool { return false }
	n.run(10 * time.Second)
	n.expectCompleteViews(t)
}

func TestIsolatedVMLosesContactAndMakesNoPeerRemoved(t *testing.T) {
	n := newNetwork(48)
	n.run(5 * time.Second)
	cutAt := n.now
	n.cut = func(_, to string) bool { return to == "vm-000" } // vm-000 can send, but receives nothing
	n.run(4 * time.Second)
	if contact := n.views["vm-000"].LastQuorumContact(); contact.After(cutAt) {
		t.Errorf("LastQuorumContact is %v after the VM was cut off, want no later than the cut", contact.Sub(cutAt))
	}
	n.run(20 * time.Second)
	if held := n.viewsContaining("vm-020"); held < 46 {
		t.Errorf("vm-020 is in %d views, want at least 46: the isolated VM made others remove it", held)
	}
	if n.now.Sub(n.views["vm-001"].LastQuorumContact()) > exchangeWindow+ExchangeInterval {
		t.Error("vm-001 lost contact with the majority although only vm-000 was cut off")
	}
	n.cut = func(string, string) bool { return false }
	n.run(15 * time.Second)
	n.expectCompleteViews(t)
}

func TestEvenPartitionLosesContactAndRecovers(t *testing.T) {
	n := newNetwork(20)
	n.run(3 * time.Second)
	n.cut = func(from, to string) bool { return (from < "vm-010") != (to < "vm-010") }
	n.run(15 * time.Second)
	for name, view := range n.views {
		if got := len(view.Members(n.now)); got != 10 {
			t.Errorf("%s has %d VMs in its view, want the 10 of its half", name, got)
		}
		if n.now.Sub(view.LastQuorumContact()) < 4*time.Second {
			t.Errorf("%s reports contact with a majority of peers during an even partition", name)
		}
	}
	n.cut = func(string, string) bool { return false }
	n.run(20 * time.Second)
	n.expectCompleteViews(t)
}

func TestLeavingSpreadsAndUnlistedVMIsDeleted(t *testing.T) {
	n := newNetwork(10)
	n.run(2 * time.Second)
	n.views["vm-001"].Leave(false)
	n.run(3 * time.Second)
	for name, view := range n.views {
		for _, member := range view.Members(n.now) {
			if member.Leaving != (member.Name == "vm-001") {
				t.Errorf("in the view of %s, %s has leaving=%t", name, member.Name, member.Leaving)
			}
		}
	}
	n.views["vm-001"].Leave(true)
	n.run(3 * time.Second)
	if got := n.viewsContaining("vm-001"); got != 0 {
		t.Errorf("a VM that announced that it stopped is in %d views", got)
	}
	delete(n.views, "vm-001")
	shorter := append(append([]Member(nil), n.list[:1]...), n.list[2:]...)
	for _, view := range n.views {
		view.SetList(n.now, shorter)
	}
	n.run(2 * removeAfter)
	if _, known := n.views["vm-000"].records["vm-001"]; known {
		t.Error("the record of a VM that stopped and left the list was not deleted")
	}
}

func TestStartFromSeedsDiscoversAllVMs(t *testing.T) {
	n := newNetwork(12)
	n.run(2 * time.Second)
	late := NewView(Member{Name: "vm-new", Zone: "mokpo", Address: "10.0.9.9:7100", Incarnation: 5}, 3)
	if !late.LastQuorumContact().IsZero() {
		t.Fatal("LastQuorumContact is set although there are no peers and no list")
	}
	late.AddSeeds([]string{n.list[0].Address, n.list[1].Address})
	n.views["vm-new"] = late
	n.list = append(n.list, Member{Name: "vm-new"})
	n.run(20 * time.Second)
	n.expectCompleteViews(t)
	if n.now.Sub(late.LastQuorumContact()) > exchangeWindow+ExchangeInterval {
		t.Error("no recent contact with a majority of peers")
	}
}

func TestRestartWithClockSetBackRaisesIncarnation(t *testing.T) {
	n := newNetwork(5)
	n.run(2 * time.Second)
	before := n.views["vm-002"].self.Incarnation
	n.list[2].Incarnation = 0
	n.views["vm-002"] = NewView(Member{Name: "vm-002", Address: n.list[2].Address, Incarnation: before - 1000}, 9)
	n.views["vm-002"].SetList(n.now, n.list)
	n.run(3 * time.Second)
	if got := n.views["vm-002"].self.Incarnation; got <= before {
		t.Errorf("incarnation %d after the restart, want more than %d", got, before)
	}
	n.expectCompleteViews(t)
}

func TestMessageBytesStayWithinBudgetAtFullSize(t *testing.T) {
	const vms, seconds = 890, 10
	n := newNetwork(vms)
	n.run(2 * time.Second)
	for _, view := range n.views { // the state long after the start: all updates are known and sent
		for _, r := range view.byName {
			r.update, r.sends = n.views[r.update.Name].self, 1000
		}
	}
	n.bytes, n.maxBytes = 0, 0
	n.run(seconds * time.Second)
	steady := float64(n.bytes) / vms / seconds
	for i := range vms / 10 { // an availability zone fails
		delete(n.views, n.list[i].Name)
	}
	n.bytes = 0
	n.run(4 * SuspicionTimeout)
	failing := float64(n.bytes) / float64(len(n.views)) / (4 * SuspicionTimeout).Seconds()
	t.Logf("bytes sent per VM and second: steady %.0f, after an availability zone failed %.0f; largest message %d", steady, failing, n.maxBytes)
	const budget = 21_000 / 4 // bytes/s: a quarter of the 21 KB/s that a VM may send as control traffic
	if steady > budget || failing > budget {
		t.Error("the exchanges exceed a quarter of the 21 KB/s of control traffic per VM")
	}
	remaining := 0
	for _, view := range n.views {
		remaining += len(view.Members(n.now)) - len(n.views)
	}
	pairs := vms / 10 * len(n.views)
	t.Logf("%d of %d pairs of a failed VM and a view that still contains it", remaining, pairs)
	if remaining > pairs/1000 {
		t.Errorf("%v after an availability zone failed, views still contain more than 0.1%% of its VMs", 4*SuspicionTimeout)
	}
}
