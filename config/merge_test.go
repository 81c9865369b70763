package config

import (
	"reflect"
	"testing"
)

func TestMergeCombinesDisjointChangesAndReportsOverlappingOnes(t *testing.T) {
	base := newSection(t, "one")
	rate := func(section Section, rate float64) Section {
		section.Accounts = []ClientAccount{{Name: "one-reader", Rate: rate, Burst: 5}}
		return section
	}
	slots := base
	slots.Services = []Service{base.Services[0]}
	slots.Services[0].Slots = 9
	slots.Keys = append([]Key{{Account: "one-reader", Hash: "granted-meanwhile"}}, base.Keys...)
	without := base
	without.Accounts = nil
	both := rate(slots, 20)

	for name, test := range map[string]struct {
		mine, theirs Section
		want         Section
		overlapping  []string
	}{
		"disjoint":                           {mine: rate(base, 20), theirs: slots, want: both},
		"the same change":                    {mine: rate(base, 20), theirs: rate(base, 20), want: rate(base, 20)},
		"same item":                          {mine: rate(base, 20), theirs: rate(base, 30), overlapping: []string{"client account one-reader"}},
		"changed in mine, removed in theirs": {mine: rate(base, 20), theirs: without, overlapping: []string{"client account one-reader"}},
		"removed in mine":                    {mine: without, theirs: base, want: without},
	} {
		merged, overlapping := Merge(&base, &test.mine, &test.theirs)
		if !reflect.DeepEqual(overlapping, test.overlapping) {
			t.Errorf("%s: overlapping %v, want %v", name, overlapping, test.overlapping)
		}
		if test.overlapping == nil && len(Diff(&merged, &test.want)) > 0 {
			t.Errorf("%s: %v", name, Diff(&merged, &test.want))
		}
	}
}
