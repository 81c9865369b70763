package membership

import (
	"fmt"
	"testing"
)

func TestHomeMovesOnlyTheKeysOfTheMemberThatLeft(t *testing.T) {
	var members []Member
	for i := range 48 {
		members = append(members, Member{Name: fmt.Sprintf("vm-%d", i)})
	}
	const keys = 4800
	counts := map[string]int{}
	for i := range keys {
		key := fmt.Sprintf("account-%d", i)
		before, _ := Home(members, key)
		after, _ := Home(members[1:], key)
		counts[before.Name]++
		if before.Name != members[0].Name && after != before {
			t.Fatalf("%s moved from %s to %s although vm-0 left", key, before.Name, after.Name)
		}
	}
	for name, count := range counts {
		if count < keys/len(members)/2 || count > keys/len(members)*2 {
			t.Errorf("%s is home of %d of %d keys", name, count, keys)
		}
	}
}
