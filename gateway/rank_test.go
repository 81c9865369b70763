package gateway

import (
	"testing"

	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
)

// A billing and a booking of one account with a rank had the same priority, so that billings
// waited for bookings.
func TestRankIsThatOfTheAccountAndThenOfTheRoute(t *testing.T) {
	for _, c := range []struct {
		account *platform.Account
		route   int
		want    placement.Rank
	}{
		{nil, 2, placement.Rank{Account: 2, Route: 2}},
		{&platform.Account{}, 0, placement.Rank{Account: 0, Route: 0}},
		{&platform.Account{}, 2, placement.Rank{Account: 0, Route: 2}},
		{&platform.Account{Priority: 1}, 0, placement.Rank{Account: 1, Route: 0}},
		{&platform.Account{Priority: 1}, 2, placement.Rank{Account: 1, Route: 2}},
	} {
		q := &request{account: c.account, route: &platform.Route{Priority: c.route}}
		if got := q.rank(); got != c.want {
			t.Errorf("account %+v, route rank %d: %+v, want %+v", c.account, c.route, got, c.want)
		}
	}
}

// Requests of a VM with an earlier version have fewer fields and at most one rank. They were
// rejected for the number of their fields, and a missing rank must not become the highest.
func TestRequestsOfEarlierVersionsAreDecoded(t *testing.T) {
	decodeAs := func(k kind, sent, received any) {
		datagram, err := encode("vm-2", k, sent)
		if err != nil {
			t.Fatal(err)
		}
		_, body, err := decode(datagram)
		if err == nil {
			err = body.Decode(received)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	var slot placementRequest
	decodeAs(kindPlacementRequest, &struct {
		Service  string
		Seq      uint64
		Safe     bool
		Priority int
	}{Service: "svc", Seq: 7, Priority: 2}, &slot)
	if slot.Seq != 7 || routeRankOf(&slot) != 2 {
		t.Errorf("decoded as %+v", slot)
	}
	var token take
	decodeAs(kindTake, &struct {
		Account string
		Seq     uint64
	}{Account: "acc", Seq: 7}, &token)
	if token.Account != "acc" || token.Rank != nil {
		t.Errorf("decoded as %+v", token)
	}
}
