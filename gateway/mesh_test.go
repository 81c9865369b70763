package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"lacewingmount.dev/catalog"
	"lacewingmount.dev/membership"
)

func TestMessageCodecRoundTrip(t *testing.T) {
	long := &update{Revision: 7, Changes: []catalog.Change{{Key: "op/config", Config: []byte(strings.Repeat("{\"a\":1}", 2000))}}}
	for _, sent := range []*update{{Revision: 3, Digest: 1 << 63}, long} {
		content, err := encode("vm-1", kindUpdate, sent)
		if err != nil {
			t.Fatal(err)
		}
		head, body, err := decode(content)
		var got update
		if err != nil || head.Kind != kindUpdate || head.From != "vm-1" || body.Decode(&got) != nil {
			t.Fatalf("%+v, %v", head, err)
		}
		if got.Revision != sent.Revision || got.Digest != sent.Digest || len(got.Changes) != len(sent.Changes) {
			t.Errorf("sent %+v, got %+v", sent, got)
		}
	}
	if content, err := encode("vm-1", kindUpdate, long); err != nil || len(content) > 2000 {
		t.Errorf("16,000 bytes of text take %d bytes, %v", len(content), err)
	}
}

// Each VM gets an update once, and no VM sends it more than treeWidth times, for
// fleets of up to 890 VMs.
func TestTreeReachesAllMembersOnce(t *testing.T) {
	for _, n := range []int{1, 2, 7, 48, 115, 890} {
		var members []membership.Member
		for i := range n {
			members = append(members, membership.Member{Name: fmt.Sprintf("vm-%03d", (i*7919)%1000)})
		}
		origin := members[n/2].Name
		got := map[string]int{}
		reach := []string{origin}
		for len(reach) > 0 {
			below := children(append([]membership.Member(nil), members...), origin, reach[0])
			reach = reach[1:]
			if len(below) > treeWidth {
				t.Fatalf("a VM of %d sends to %d others", n, len(below))
			}
			for _, member := range below {
				got[member.Name]++
				reach = append(reach, member.Name)
			}
		}
		if len(got) != n-1 || got[origin] > 0 {
			t.Errorf("%d of %d VMs are reached", len(got), n)
		}
		for name, times := range got {
			if times > 1 {
				t.Errorf("%s of %d VMs gets the update %d times", name, n, times)
			}
		}
	}
}

// Load: updates to 98 VMs in three zones, one of which has lost the VM that would relay to
// it. Each VM that lives gets the update, and it crosses zones only twice for each zone.
func TestTreeCrossesZonesFewTimes(t *testing.T) {
	var members []membership.Member
	for i := range 98 {
		members = append(members, membership.Member{Name: fmt.Sprintf("vm-%02d", (i*37)%98), Zone: fmt.Sprintf("zone-%d", i%3)})
	}
	origin := members[40]
	for _, lost := range []string{"", "vm-00", "vm-37", "vm-74"} {
		got, crossed := map[string]bool{origin.Name: true}, 0
		for reach := []membership.Member{origin}; len(reach) > 0; reach = reach[1:] {
			for _, member := range children(slices.Clone(members), origin.Name, reach[0].Name) {
				if member.Zone != reach[0].Zone {
					crossed++
				}
				if member.Name != lost && !got[member.Name] {
					got[member.Name] = true
					reach = append(reach, member)
				}
			}
		}
		alive := len(members)
		if lost != "" {
			alive--
		}
		if len(got) != alive || crossed != 4 {
			t.Errorf("without %q, %d of %d VMs are reached, and the update crosses zones %d times", lost, len(got), alive, crossed)
		}
	}
}

// Load: an update that is longer than a datagram. It is not sent in part; the receivers
// notice the difference and fetch the contents.
func TestMessageLongerThanADatagramIsNotSent(t *testing.T) {
	g := fuzzGateway(t)
	receiver, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = receiver.Close() }()
	noise := make([]byte, 2*maxDatagram)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(noise) // never fails; does not compress
	failures := meshFailures.Get()
	g.mesh.send(receiver.LocalAddr().String(), kindUpdate, &update{Changes: []catalog.Change{{Config: noise}}})
	g.mesh.send(receiver.LocalAddr().String(), kindSyncAck, &syncAck{})
	buffer := make([]byte, 2*maxDatagram)
	n, _, err := receiver.ReadFromUDP(buffer)
	if err != nil {
		t.Fatal(err)
	}
	head, _, err := decode(buffer[:n])
	if err != nil || head.Kind != kindSyncAck || meshFailures.Get() != failures+1 {
		t.Errorf("received kind %d, %v; %d failures counted, want one", head.Kind, err, meshFailures.Get()-failures)
	}
}

// Load: messages of a few bytes that declare lists of four million entries.
func TestDeclaredLengthsTakeNoMemory(t *testing.T) {
	const (
		array32 = "\xdd\x00\x3d\x09\x00" // length 4,000,000
		map32   = "\xdf\x00\x3d\x09\x00"
	)
	g := fuzzGateway(t)
	for _, c := range []struct {
		name string
		kind kind
		body string
	}{
		{"changes", kindUpdate, "\x96\x00\x00\x00" + array32},
		{"services in flight", kindSync, "\x91" + map32},
		{"requests in flight", kindSync, "\x91\x81\xa3svc" + array32},
		{"services with limits", kindSync, "\x93\x80" + map32},
		{"groups", kindSync, "\x94\x80\x80\x00" + array32},
		{"limits", kindSyncAck, "\x92\x81\xa3svc" + array32},
		{"servers tried", kindPlacementRequest, "\x9b\xa3svc\x01\xc2\x00\x00\x00\x00" + array32},
	} {
		head, err := encodeBody(&envelope{Kind: c.kind, From: "vm-2"})
		if err != nil {
			t.Fatal(err)
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		failures := meshFailures.Get()
		g.mesh.process(append(head, c.body...), func(from string, k kind, body *msgpack.Decoder) error {
			return g.handleMessage(t.Context(), from, k, body)
		})
		runtime.ReadMemStats(&after)
		if used := after.TotalAlloc - before.TotalAlloc; used > 20<<20 || meshFailures.Get() == failures {
			t.Errorf("%s: %d MB were allocated, %d messages dropped", c.name, used>>20, meshFailures.Get()-failures)
		}
	}
}
