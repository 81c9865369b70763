package membership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// network runs views in virtual time and decides which messages arrive.
type network struct {
	now    time.Time
	random *rand.Rand
	list   []Member
	views  map[string]*View
	paused map[string]bool
	cut    func(from, to string) bool // messages from one VM to another are lost
	loss   float64                    // share of messages that are lost
	bytes  int
	most   int // bytes of the largest message
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

func (n *network) named(address string) string {
	for _, member := range n.list {
		if member.Address == address {
			return member.Name
		}
	}
	return ""
}

func (n *network) lost(from, to string) bool {
	return n.views[to] == nil || n.paused[to] || n.cut(from, to) || n.random.Float64() < n.loss
}

// run advances virtual time by d; each VM has its rounds at an offset of its own.
func (n *network) run(d time.Duration) {
	const step = Period / 10
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
		if to == "" { // a seed
			to = n.named(probe.To.Address)
		}
		n.count(probe.Message)
		if n.lost(name, to) {
			view.Missed(n.now, probe)
			continue
		}
		answer := n.views[to].Receive(n.now, probe.Message)
		n.count(answer)
		if n.lost(to, name) {
			view.Missed(n.now, probe)
			continue
		}
		view.Answered(n.now, probe, answer)
	}
}

func (n *network) count(message Message) {
	content, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	n.bytes += len(content)
	n.most = max(n.most, len(content))
}

// holding returns in how many running views other than its own the VM is.
func (n *network) holding(name string) int {
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

// complete fails unless every view holds every running VM.
func (n *network) complete(t *testing.T) {
	t.Helper()
	for name := range n.views {
		if got, want := n.holding(name), len(n.views)-1; got != want {
			t.Errorf("%s is in %d of %d views", name, got, want)
		}
	}
}

func TestViewsDropACrashedVMAndTakeItBack(t *testing.T) {
	n := newNetwork(48)
	n.run(5 * time.Second)
	n.complete(t)
	delete(n.views, "vm-007")
	n.run(SuspicionTimeout + 4*time.Second)
	if got := n.holding("vm-007"); got != 0 {
		t.Fatalf("a crashed VM is still in %d views", got)
	}
	before := n.views["vm-000"].records["vm-007"].update.Incarnation
	restarted := n.start(7)
	n.run(4 * time.Second)
	n.complete(t)
	if !n.views["vm-000"].Gone(n.now, "vm-007", before, time.Hour) || n.views["vm-000"].Gone(n.now, "vm-007", restarted.self.Incarnation, 0) {
		t.Error("only the first start of vm-007 is over")
	}
}

func TestViewsStayWholeUnderLossAndPauses(t *testing.T) {
	n := newNetwork(48)
	n.loss = 0.05
	for range 20 {
		n.run(time.Second)
		n.paused["vm-003"] = !n.paused["vm-003"]
	}
	n.run(SuspicionTimeout)
	n.paused["vm-004"] = true
	n.run(20 * time.Second)
	if got := n.holding("vm-004"); got > 1 {
		t.Errorf("a VM paused for 20 s is in %d views", got)
	}
	n.paused["vm-004"] = false
	n.run(50 * time.Millisecond)
	if got := len(n.views["vm-004"].Members(n.now)); got < 47 {
		t.Errorf("a VM that was paused dropped its peers at once: %d left", got)
	}
	n.loss = 0
	n.run(2*SuspicionTimeout + 4*time.Second)
	n.complete(t)
}

func TestOneWayCutIsLocalToThePath(t *testing.T) {
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
	if got := n.holding("vm-002"); got != 10 {
		t.Errorf("vm-002 is in %d views, want all 10 that reach it", got)
	}
	n.cut = func(string, string) bool { return false }
	n.run(10 * time.Second)
	n.complete(t)
}

func TestIsolatedVMLosesContactAndDoesNotTalkOthersOut(t *testing.T) {
	n := newNetwork(48)
	n.run(5 * time.Second)
	cutAt := n.now
	n.cut = func(_, to string) bool { return to == "vm-000" } // hears nothing, is heard by all
	n.run(4 * time.Second)
	if contact := n.views["vm-000"].Contact(); contact.After(cutAt) {
		t.Errorf("contact is claimed %v after the VM was cut off", contact.Sub(cutAt))
	}
	n.run(20 * time.Second)
	if held := n.holding("vm-020"); held < 46 {
		t.Errorf("vm-020 is in %d views; the VM that was cut off talked others out", held)
	}
	if n.now.Sub(n.views["vm-001"].Contact()) > contactWindow+Period {
		t.Error("the others lost contact too")
	}
	n.cut = func(string, string) bool { return false }
	n.run(15 * time.Second)
	n.complete(t)
}

func TestHalvesLoseContactAndHeal(t *testing.T) {
	n := newNetwork(20)
	n.run(3 * time.Second)
	n.cut = func(from, to string) bool { return (from < "vm-010") != (to < "vm-010") }
	n.run(15 * time.Second)
	for name, view := range n.views {
		if got := len(view.Members(n.now)); got != 10 {
			t.Errorf("%s sees %d VMs, want its half of 10", name, got)
		}
		if n.now.Sub(view.Contact()) < 4*time.Second {
			t.Errorf("%s claims contact with most peers", name)
		}
	}
	n.cut = func(string, string) bool { return false }
	n.run(20 * time.Second)
	n.complete(t)
}

func TestLeavingSpreadsAndAListWithoutItForgets(t *testing.T) {
	n := newNetwork(10)
	n.run(2 * time.Second)
	n.views["vm-001"].Leave(false)
	n.run(3 * time.Second)
	for name, view := range n.views {
		for _, member := range view.Members(n.now) {
			if member.Leaving != (member.Name == "vm-001") {
				t.Errorf("%s sees %s leaving=%t", name, member.Name, member.Leaving)
			}
		}
	}
	n.views["vm-001"].Leave(true)
	n.run(3 * time.Second)
	if got := n.holding("vm-001"); got != 0 {
		t.Errorf("a VM that said it stopped is in %d views", got)
	}
	delete(n.views, "vm-001")
	shorter := append(append([]Member(nil), n.list[:1]...), n.list[2:]...)
	for _, view := range n.views {
		view.SetList(n.now, shorter)
	}
	n.run(2 * forgetAfter)
	if _, known := n.views["vm-000"].records["vm-001"]; known {
		t.Error("a VM that left the list is never forgotten")
	}
}

func TestStartWithSeedsAloneLearnsTheFleet(t *testing.T) {
	n := newNetwork(12)
	n.run(2 * time.Second)
	late := NewView(Member{Name: "vm-new", Zone: "mokpo", Address: "10.0.9.9:7100", Incarnation: 5}, 3)
	if !late.Contact().IsZero() {
		t.Fatal("contact without peers and without a list")
	}
	late.AddSeeds([]string{n.list[0].Address, n.list[1].Address})
	n.views["vm-new"] = late
	n.list = append(n.list, Member{Name: "vm-new"})
	n.run(20 * time.Second)
	n.complete(t)
	if n.now.Sub(late.Contact()) > contactWindow+Period {
		t.Error("no contact with most peers")
	}
}

func TestClockSetBackStillGivesAHigherIncarnation(t *testing.T) {
	n := newNetwork(5)
	n.run(2 * time.Second)
	before := n.views["vm-002"].self.Incarnation
	n.list[2].Incarnation = 0
	n.views["vm-002"] = NewView(Member{Name: "vm-002", Address: n.list[2].Address, Incarnation: before - 1000}, 9)
	n.views["vm-002"].SetList(n.now, n.list)
	n.run(3 * time.Second)
	if got := n.views["vm-002"].self.Incarnation; got <= before {
		t.Errorf("incarnation %d after %d", got, before)
	}
	n.complete(t)
}

func TestMessagesStaySmallAtFullSize(t *testing.T) {
	const vms, seconds = 890, 10
	n := newNetwork(vms)
	n.run(2 * time.Second)
	for _, view := range n.views { // as long after the start of the fleet
		for _, r := range view.order {
			r.update, r.sends = n.views[r.update.Name].self, 1000
		}
	}
	n.bytes, n.most = 0, 0
	n.run(seconds * time.Second)
	steady := float64(n.bytes) / vms / seconds
	for i := range vms / 10 { // an availability zone fails
		delete(n.views, n.list[i].Name)
	}
	n.bytes = 0
	n.run(4 * SuspicionTimeout)
	failing := float64(n.bytes) / float64(len(n.views)) / (4 * SuspicionTimeout).Seconds()
	t.Logf("bytes sent per VM and second: steady %.0f, after the loss of a zone %.0f; largest message %d", steady, failing, n.most)
	const budget = 21_000 / 4 // bytes a second: a quarter of what a VM may spend on control
	if steady > budget || failing > budget {
		t.Error("the exchange takes more than its part of 21 KB/s per VM")
	}
	held := 0
	for _, view := range n.views {
		held += len(view.Members(n.now)) - len(n.views)
	}
	pairs := vms / 10 * len(n.views)
	t.Logf("%d of %d views of a lost VM still hold it", held, pairs)
	if held > pairs/1000 {
		t.Errorf("%v after a zone failed its VMs are still in views", 4*SuspicionTimeout)
	}
}
