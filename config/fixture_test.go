package config

import (
	"fmt"
	"testing"

	"lacewingmount.dev/keys"
)

// operators of the partners of the tests; deriving a key takes long.
var operators = map[string]keys.Operator{}

func operator(t testing.TB, credential string) keys.Operator {
	t.Helper()
	known, ok := operators[credential]
	if !ok {
		var err error
		if known, err = keys.NewOperator(credential); err != nil {
			t.Fatal(err)
		}
		operators[credential] = known
	}
	return known
}

// newSection returns an unsigned section with one service, route and account.
func newSection(t testing.TB, partner string) Section {
	servers := []BackendServer{{Name: partner + "-1", Address: "10.0.0.1:" + fmt.Sprint(9000+len(partner)), Zone: "a"}}
	return Section{
		Partner: partner, Operator: operator(t, partner).Public(), Revision: 1,
		Services: []Service{{Name: partner + "-shelf", Floor: 1, Slots: 6, Connections: 400, Concern: ConcernDetectionTime, Servers: servers}},
		Routes:   []Route{{Path: "/" + partner, Methods: []string{"GET"}, Service: partner + "-shelf", Timeout: 1e9}},
		Accounts: []ClientAccount{{Name: partner + "-reader", Rate: 10, Burst: 5}},
		Keys:     []Key{{Account: partner + "-reader", Hash: partner + "-key"}},
	}
}

func seal(t testing.TB, section Section, credential string) Section {
	t.Helper()
	if err := section.Seal(operator(t, credential)); err != nil {
		t.Fatal(err)
	}
	return section
}

// newDocument returns revision 1 with sections of the partners "one" and "three".
func newDocument(t testing.TB) *Document {
	return &Document{Revision: 1, Sections: []Section{
		seal(t, newSection(t, "one"), "one"), seal(t, newSection(t, "three"), "three"),
	}}
}

// stored returns the document as an agent gets it.
func (d *Document) received(t testing.TB, previous *Document) *Document {
	t.Helper()
	stored, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	received, err := Decode(stored.Root, previous, stored.Fetch)
	if err != nil {
		t.Fatal(err)
	}
	return received
}
