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

// A placement request of a VM with an earlier version has fewer fields and one rank. It was
// rejected for the number of its fields, and a missing rank must not become the highest.
func TestPlacementRequestOfEarlierVersionHasItsRank(t *testing.T) {
	type earlierRequest struct {
		Service  string
		Seq      uint64
		Safe     bool
		Priority int
	}
	datagram, err := encode("vm-2", kindPlacementRequest, &earlierRequest{Service: "svc", Seq: 7, Priority: 2})
	if err != nil {
		t.Fatal(err)
	}
	_, body, err := decode(datagram)
	if err != nil {
		t.Fatal(err)
	}
	var m placementRequest
	if err := body.Decode(&m); err != nil {
		t.Fatal(err)
	}
	if got := routeRankOf(&m); got != 2 {
		t.Errorf("route rank %d, want 2", got)
	}
}

// A token request of a VM with an earlier version has no rank, and its account is served as before.
func TestTokenRequestOfEarlierVersionHasNoRank(t *testing.T) {
	type earlierTake struct {
		Account string
		Seq     uint64
	}
	datagram, err := encode("vm-2", kindTake, &earlierTake{Account: "acc", Seq: 7})
	if err != nil {
		t.Fatal(err)
	}
	_, body, err := decode(datagram)
	if err != nil {
		t.Fatal(err)
	}
	var m take
	if err := body.Decode(&m); err != nil {
		t.Fatal(err)
	}
	if m.Account != "acc" || m.Rank != nil {
		t.Errorf("decoded as %+v", m)
	}
}
