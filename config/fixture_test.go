package config

import (
	"fmt"
	"testing"

	"lacewingmount.dev/keys"
)

// operators caches the operators of the tests by credential, because deriving a
// key is slow.
var operators = map[string]keys.Operator{}

func operator(t testing.TB, credential string) keys.Operator {
	t.Helper()
	cached, ok := operators[credential]
	if !ok {
		var err error
		if cached, err = keys.NewOperator(credential); err != nil {
			t.Fatal(err)
		}
		operators[credential] = cached
	}
	return cached
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

func signSection(t testing.TB, section Section, credential string) Section {
	t.Helper()
	if err := section.SignWith(operator(t, credential)); err != nil {
		t.Fatal(err)
	}
	return section
}

// newDocument returns revision 1 with sections of the partners "one" and "three".
func newDocument(t testing.TB) *Document {
	return &Document{Revision: 1, Sections: []Section{
		signSection(t, newSection(t, "one"), "one"), signSection(t, newSection(t, "three"), "three"),
	}}
}

// decoded returns the document as an agent receives it: encoded and decoded again.
func (d *Document) decoded(t testing.TB, previous *Document) *Document {
	t.Helper()
	stored, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(stored.Root, previous, stored.Fetch)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}
