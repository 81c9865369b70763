package config

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// largeSection returns a section of the size expected in two years for one of two
// partners.
func largeSection(t testing.TB) Section {
	const services, servers, routes, accounts = 105, 57, 4600, 32_500
	section := newSection(t, "one")
	section.Services, section.Routes, section.Accounts, section.Keys = nil, nil, nil, nil
	for i := range services {
		service := Service{Name: fmt.Sprintf("service-%d", i), Floor: 1, Slots: 6, Connections: 400, Concern: ConcernDetectionTime}
		for j := range servers {
			service.Servers = append(service.Servers, BackendServer{
				Name: fmt.Sprintf("service-%d-%d", i, j), Address: fmt.Sprintf("10.%d.%d.7:9000", i, j), Zone: "plovdiv-1",
			})
		}
		section.Services = append(section.Services, service)
	}
	for i := range routes {
		section.Routes = append(section.Routes, Route{
			Path: fmt.Sprintf("/service-%d/resource-%d", i%services, i), Methods: []string{"GET", "HEAD"},
			Service: fmt.Sprintf("service-%d", i%services), Timeout: 2 * time.Second,
		})
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%d", i)
		section.Accounts = append(section.Accounts, ClientAccount{Name: name, Rate: 10, Burst: 20})
		section.Keys = append(section.Keys, Key{Account: name, Hash: fmt.Sprintf("%064x", i)})
	}
	return section
}

func TestLargeDocumentIsSplitIntoChunks(t *testing.T) {
	document := &Document{Revision: 1, Sections: []Section{signSection(t, largeSection(t), "one")}}
	stored, err := document.Encode()
	if err != nil {
		t.Fatal(err)
	}
	total, largest := 0, len(stored.Root)
	for _, chunk := range stored.Chunks {
		total += len(chunk)
		largest = max(largest, len(chunk))
	}
	if largest > 1<<20 {
		t.Errorf("a value has %d bytes; the store accepts at most 1 MiB", largest)
	}
	first := document.decoded(t, nil)

	changed := first.Sections[0]
	changed.Accounts = append([]ClientAccount(nil), changed.Accounts...)
	changed.Accounts[17].Rate++
	changed.Revision = 2
	next := first.WithChange("change", "one").WithSection(signSection(t, changed, "one"))
	encoded, err := next.Encode()
	if err != nil {
		t.Fatal(err)
	}
	missing, err := MissingChunks(encoded.Root, first)
	if err != nil {
		t.Fatal(err)
	}
	bytes := 0
	for _, hash := range missing {
		bytes += len(encoded.Chunks[hash])
	}
	t.Logf("one partner: %d chunks, %d bytes, root %d bytes; a change of one account replaces %d chunk, %d bytes",
		len(stored.Chunks), total, len(stored.Root), len(missing), bytes)
	if len(missing) != 1 {
		t.Errorf("a change of one account replaces %d chunks, want 1", len(missing))
	}
	if err := Verify(first, next.decoded(t, first)); err != nil {
		t.Error(err)
	}
}

func TestDecodeRejectsDamagedInput(t *testing.T) {
	large := &Document{Revision: 1, Sections: []Section{signSection(t, largeSection(t), "one")}}
	stored, err := large.Encode()
	if err != nil {
		t.Fatal(err)
	}
	damaged := func(hash string) ([]byte, error) { return append([]byte(" "), stored.Chunks[hash]...), nil }
	if _, err := Decode(stored.Root, nil, damaged); err == nil {
		t.Error("a damaged chunk was accepted")
	}
	if _, err := Decode(stored.Root, nil, Stored{}.Fetch); err == nil {
		t.Error("a document without its chunks was accepted")
	}
	if _, err := Decode(stored.Root[:len(stored.Root)-1], nil, stored.Fetch); err == nil {
		t.Error("a truncated root was accepted")
	}
	decoded := large.decoded(t, nil)
	if reencoded := decoded.ToStored(stored.Root); !reflect.DeepEqual(reencoded, stored) {
		t.Error("the stored form of a decoded document differs from the original")
	}
}
