package membership

import (
	"fmt"
	"strings"
	"testing"
)

func TestRemovingAMemberMovesOnlyItsKeys(t *testing.T) {
	var members []Member
	for i := range 48 {
		members = append(members, Member{Name: fmt.Sprintf("vm-%d", i)})
	}
	const keys = 4800
	counts := map[string]int{}
	for i := range keys {
		key := fmt.Sprintf("account-%d", i)
		before, _ := Owner(members, key)
		after, _ := Owner(members[1:], key)
		counts[before.Name]++
		if before.Name != members[0].Name && after != before {
			t.Fatalf("%s moved from %s to %s, but only vm-0 was removed", key, before.Name, after.Name)
		}
	}
	for name, count := range counts {
		if count < keys/len(members)/2 || count > keys/len(members)*2 {
			t.Errorf("%s owns %d of %d keys, want within a factor of 2 of an equal share", name, count, keys)
		}
	}
}

func TestMembersWithLittleCapacityAreFilteredOut(t *testing.T) {
	var members []Member
	for i, capacity := range []float64{0.8, 0.16, 0.8, 0.16, 0.6, 0.16, 0.8, 0} {
		members = append(members, Member{Name: fmt.Sprintf("vm-%d", i), Capacity: capacity})
	}
	names := func(members []Member) string {
		var list []string
		for _, m := range members {
			list = append(list, m.Name)
		}
		return strings.Join(list, " ")
	}
	if got := names(FilterByCapacity(members, 4)); got != "vm-0 vm-2 vm-4 vm-6" {
		t.Errorf("with 4 members of high capacity: got %s", got)
	}
	if got := names(FilterByCapacity(members[1:], 4)); got != "vm-1 vm-2 vm-3 vm-4 vm-5 vm-6" {
		t.Errorf("with 3 members of high capacity: got %s", got)
	}
	if got := names(FilterByCapacity(members[6:], 4)); got != "vm-6 vm-7" {
		t.Errorf("with 2 members: got %s", got)
	}
}
