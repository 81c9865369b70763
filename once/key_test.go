package once

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
)

func TestParseKey(t *testing.T) {
	now := time.Now().Truncate(time.Millisecond)
	key := uuid.Must(uuid.NewV7()).String()
	timestamp, err := ParseKey(key)
	if err != nil || timestamp.Sub(now).Abs() > time.Minute {
		t.Fatalf("%s: %v, %v", key, timestamp, err)
	}
	for _, bad := range []string{"", "order-1", uuid.NewString(), "{" + key + "}", "urn:uuid:" + key, strings.ReplaceAll(key, "-", ""), key + " "} {
		if _, err := ParseKey(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// FuzzKey checks that an accepted key has the same ID in upper and lower case, and a
// different ID for another account or route.
func FuzzKey(f *testing.F) {
	f.Add("01a23f48-0291-7076-999a-4c533a662319", "reader", "/renewals")
	f.Add("01A23F48-0291-7076-999A-4C533A662319", "", "reader/renewals")
	f.Add("01a23f48029170 6999a4c533a662319", "a", "b")
	f.Fuzz(func(t *testing.T, key, account, route string) {
		if _, err := ParseKey(key); err != nil {
			return
		}
		id, err := NewID(account, route, key)
		upper, upperErr := NewID(account, route, strings.ToUpper(key))
		if err != nil || upperErr != nil || id != upper {
			t.Fatalf("identities %x and %x, %v, %v", id, upper, err, upperErr)
		}
		if moved, _ := NewID(account+"/", route, key); moved == id {
			t.Fatal("two accounts have the same ID")
		}
		if len(account) > 0 {
			if shifted, _ := NewID(account[:len(account)-1], account[len(account)-1:]+route, key); shifted == id {
				t.Fatal("moving a character from the account to the route keeps the ID")
			}
		}
	})
}

// FuzzLog checks that arbitrary stored values cause an error and not a panic.
func FuzzLog(f *testing.F) {
	f.Add(encode(logEntry{Position: 3, Owner: "vm", Records: []Record{{State: Claimed}}}), encode(segment{Through: 2}))
	f.Add([]byte{0x94}, []byte{0xff})
	f.Fuzz(func(_ *testing.T, position, sealed []byte) {
		b := NewBucket("b", "vm", simSettings)
		b.Acquire()
		b.Next(time.Now())
		b.Done(time.Now(), Result{Entries: []StoredEntry{
			{Key: "claims/b/position-03", Value: position, Version: 1}, {Key: "claims/b/segment-2", Value: sealed, Version: 2},
		}})
		b.Next(time.Now())
	})
}
