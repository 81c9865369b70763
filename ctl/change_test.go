package ctl

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/keys"
	"lacewingmount.dev/metastore"
)

// faultyStore is a store whose reads can fail and whose compare-and-swaps can be
// replaced.
type faultyStore struct {
	*metastore.Memory
	mu    sync.Mutex
	swaps int
	swap  func(number int, perform func() (metastore.Version, error)) (metastore.Version, error)
	down  bool
}

func newFaultyStore() *faultyStore { return &faultyStore{Memory: metastore.NewMemory(time.Now)} }

func (s *faultyStore) Get(ctx context.Context, key string) (metastore.Entry, error) {
	if s.down {
		return metastore.Entry{}, errs.New(errs.Unavailable, "the store is down", "wait")
	}
	return s.Memory.Get(ctx, key)
}

func (s *faultyStore) CompareAndSwap(ctx context.Context, key string, value []byte, expect metastore.Version, lease metastore.LeaseID) (metastore.Version, error) {
	perform := func() (metastore.Version, error) { return s.Memory.CompareAndSwap(ctx, key, value, expect, lease) }
	s.mu.Lock()
	s.swaps++
	number := s.swaps
	s.mu.Unlock()
	if s.swap == nil {
		return perform()
	}
	return s.swap(number, perform)
}

var errResponseLost = errs.New(errs.Ambiguous, "the response was lost", "read the document again")

// testOperators caches the operators of the partners, by partner name.
var testOperators sync.Map

func testChange(t *testing.T, partner string, edit func(*config.Section, string, uint64) error) *change {
	t.Helper()
	cached, ok := testOperators.Load(partner)
	if !ok {
		operator, err := keys.NewOperator(partner + "-operator")
		if err != nil {
			t.Fatal(err)
		}
		cached = operator
		testOperators.Store(partner, cached)
	}
	operator := cached.(keys.Operator)
	return &change{id: partner + fmt.Sprint(time.Now().UnixNano()), partner: partner, operator: operator, signer: operator, edit: edit}
}

func testSection(partner string, rate float64) config.Section {
	servers := []config.BackendServer{{Name: partner + "-1", Address: fmt.Sprintf("10.0.0.%d:9000", len(partner)), Zone: "a"}}
	return config.Section{
		Partner:  partner,
		Services: []config.Service{{Name: partner + "-shelf", Floor: 1, Slots: 6, Connections: 400, Concern: config.ConcernDetectionTime, Servers: servers}},
		Routes:   []config.Route{{Path: "/" + partner, Methods: []string{"GET"}, Service: partner + "-shelf", Timeout: time.Second}},
		Accounts: []config.ClientAccount{{Name: partner + "-reader", Rate: rate, Burst: 5}},
	}
}

func apply(t *testing.T, store metastore.Store, desired config.Section, base string) (uint64, error) {
	t.Helper()
	return testChange(t, desired.Partner, (&sectionMerge{desired: desired, base: base}).edit).commit(t.Context(), store)
}

func mustApply(t *testing.T, store metastore.Store, desired config.Section, base string) uint64 {
	t.Helper()
	revision, err := apply(t, store, desired, base)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func rateOf(t *testing.T, store metastore.Store, partner string) float64 {
	t.Helper()
	current, err := readDocument(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	return current.document.Section(partner).Accounts[0].Rate
}

func TestProofConfigLostAnswers(t *testing.T) {
	for name, swap := range map[string]func(int, func() (metastore.Version, error)) (metastore.Version, error){
		"lost after it took effect": func(number int, perform func() (metastore.Version, error)) (metastore.Version, error) {
			version, err := perform()
			if number == 1 {
				return 0, errResponseLost
			}
			return version, err
		},
		"lost before it took effect": func(number int, perform func() (metastore.Version, error)) (metastore.Version, error) {
			if number == 1 {
				return 0, errResponseLost
			}
			return perform()
		},
		// The first write takes effect only just before the second one.
		"arrives late": lateWrite(),
	} {
		t.Run(name, func(t *testing.T) {
			store := newFaultyStore()
			store.swap = swap
			added := 0
			change := testChange(t, "one", func(section *config.Section, id string, next uint64) error {
				added++
				wanted := testSection("one", 10)
				wanted.Accounts = append(section.Accounts, wanted.Accounts...) // not idempotent on purpose
				wanted.Operator = section.Operator
				*section = wanted
				return nil
			})
			revision, err := change.commit(t.Context(), store)
			if err != nil || revision != 1 {
				t.Fatalf("revision %d, %v; want 1", revision, err)
			}
			if current, _ := readDocument(t.Context(), store); len(current.document.Section("one").Accounts) != 1 {
				t.Error("the change was applied twice")
			}
		})
	}
}

func lateWrite() func(int, func() (metastore.Version, error)) (metastore.Version, error) {
	var late func() (metastore.Version, error)
	return func(number int, perform func() (metastore.Version, error)) (metastore.Version, error) {
		switch number {
		case 1:
			late = perform
			return 0, errResponseLost
		case 2:
			_, _ = late()
		}
		return perform()
	}
}

// Control: a writer that writes again after a lost response, without looking for the
// id of its change in the document, applies the change twice.
func TestControlConfigBlindRetryAppliesTwice(t *testing.T) {
	store := newFaultyStore()
	count := 0
	for range 2 {
		change := testChange(t, "one", func(section *config.Section, _ string, _ uint64) error {
			count = len(section.Accounts) + 1
			wanted := testSection("one", 10)
			wanted.Accounts[0].Name = fmt.Sprint("reader-", count)
			wanted.Accounts = append(section.Accounts, wanted.Accounts...)
			wanted.Operator = section.Operator
			*section = wanted
			return nil
		})
		if _, err := change.commit(t.Context(), store); err != nil {
			t.Fatal(err)
		}
	}
	if count != 2 {
		t.Error("the control did not apply the change twice")
	}
}

func TestProofConfigStoreDownClaimsNothing(t *testing.T) {
	store := newFaultyStore()
	store.down = true
	if _, err := apply(t, store, testSection("one", 10), ""); errs.KindOf(err) != errs.Unavailable {
		t.Errorf("kind %s, want unavailable: %v", errs.KindOf(err), err)
	}
	if store.swaps != 0 {
		t.Error("something was written")
	}
}

func TestStoreLostAfterTheWriteIsReportedAsAmbiguous(t *testing.T) {
	store := newFaultyStore()
	store.swap = func(_ int, perform func() (metastore.Version, error)) (metastore.Version, error) {
		_, _ = perform()
		store.down = true
		return 0, errResponseLost
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	change := testChange(t, "one", (&sectionMerge{desired: testSection("one", 10)}).edit)
	_, err := change.commit(ctx, store)
	if errs.KindOf(err) != errs.Ambiguous || !strings.Contains(err.Error(), change.id) {
		t.Errorf("%v; want an ambiguous error with the id of the change", err)
	}
}

// race runs competing after the next commit has read the document and before it
// writes.
func race(t *testing.T, store *faultyStore, competing func()) {
	t.Helper()
	started := false
	store.swap = func(_ int, perform func() (metastore.Version, error)) (metastore.Version, error) {
		if !started {
			started = true
			competing()
		}
		return perform()
	}
}

func TestProofConfigRacingOperators(t *testing.T) {
	for name, test := range map[string]struct {
		competing config.Section
		conflict  bool
	}{
		"other partner":           {competing: testSection("three", 30)},
		"same partner, disjoint":  {competing: withSlots(testSection("one", 10), 9)},
		"same partner, same item": {competing: testSection("one", 30), conflict: true},
	} {
		t.Run(name, func(t *testing.T) {
			store := newFaultyStore()
			base := fmt.Sprint(mustApply(t, store, testSection("one", 10), ""))
			competingID := ""
			race(t, store, func() {
				other := testChange(t, test.competing.Partner, (&sectionMerge{desired: test.competing, base: base}).edit)
				competingID = other.id
				if _, err := other.commit(t.Context(), store); err != nil {
					t.Fatal(err)
				}
			})
			_, err := apply(t, store, testSection("one", 20), base)
			if test.conflict {
				if errs.KindOf(err) != errs.Conflict || !strings.Contains(err.Error(), competingID) || rateOf(t, store, "one") != 30 {
					t.Errorf("%v, rate %v; want a conflict with change %s, and the rate of that change", err, rateOf(t, store, "one"), competingID)
				}
				return
			}
			if err != nil || rateOf(t, store, "one") != 20 {
				t.Fatalf("%v, rate %v", err, rateOf(t, store, "one"))
			}
			current, _ := readDocument(t.Context(), store)
			if lost := config.Diff(&test.competing, current.document.Section(test.competing.Partner)); test.competing.Partner == "three" && len(lost) > 0 {
				t.Errorf("the competing change was lost: %v", lost)
			}
			if name == "same partner, disjoint" && current.document.Section("one").Services[0].Slots != 9 {
				t.Error("the competing change was lost")
			}
		})
	}
}

func withSlots(section config.Section, slots int) config.Section {
	section.Services[0].Slots = slots
	return section
}

func TestProofConfigApplyNeedsTheRevisionThatTheOperatorSaw(t *testing.T) {
	store := newFaultyStore()
	seen := mustApply(t, store, testSection("one", 10), "")
	mustApply(t, store, testSection("one", 20), fmt.Sprint(seen)) // another operator
	for _, base := range []string{"", fmt.Sprint(seen)} {
		if _, err := apply(t, store, testSection("one", 30), base); errs.KindOf(err) != errs.Conflict {
			t.Errorf("base %q: %v; want a conflict", base, err)
		}
	}
	if got := rateOf(t, store, "one"); got != 20 {
		t.Errorf("rate %v; the newer change was overwritten", got)
	}
	mustApply(t, store, testSection("one", 30), latestBase)
}

func TestProofConfigForeignCredentialIsRefused(t *testing.T) {
	store := newFaultyStore()
	mustApply(t, store, testSection("one", 10), "")
	change := testChange(t, "three", (&sectionMerge{desired: testSection("one", 99), base: latestBase}).edit)
	change.partner = "one"
	if _, err := change.commit(t.Context(), store); errs.KindOf(err) != errs.Denied {
		t.Errorf("%v; want denied", err)
	}
	if got := rateOf(t, store, "one"); got != 10 {
		t.Errorf("rate %v", got)
	}
}

func TestMovedWithdrawalsStayWithdrawn(t *testing.T) {
	store := newFaultyStore()
	mustApply(t, store, testSection("one", 10), "")
	grant := testChange(t, "one", func(section *config.Section, _ string, _ uint64) error {
		section.Keys = append(section.Keys, config.Key{Account: "one-reader", Hash: "hash"})
		return nil
	})
	if _, err := grant.commit(t.Context(), store); err != nil {
		t.Fatal(err)
	}
	current, _ := readDocument(t.Context(), store)
	byAgent := current.document.WithChange("agent", "")
	byAgent.Withdrawals = append(byAgent.Withdrawals, config.NewWithdrawal("one", "hash", grant.operator))
	encoded, err := byAgent.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.CompareAndSwap(t.Context(), config.RootKey, encoded.Root, current.version, 0); err != nil {
		t.Fatal(err)
	}
	mustApply(t, store, testSection("one", 20), latestBase)
	moved, _ := readDocument(t.Context(), store)
	if key := moved.document.Section("one").Keys[0]; !key.Withdrawn || len(moved.document.Withdrawals) != 0 {
		t.Errorf("key %+v, withdrawals %v; want it withdrawn in the section", key, moved.document.Withdrawals)
	}
}

func TestLargeDocumentIsWrittenInChunks(t *testing.T) {
	store := newFaultyStore()
	section := testSection("one", 10)
	for i := range 20_000 {
		section.Accounts = append(section.Accounts, config.ClientAccount{Name: fmt.Sprintf("account-%05d", i), Rate: 1, Burst: 1})
	}
	mustApply(t, store, section, "")
	first := store.swaps
	section.Accounts = append([]config.ClientAccount(nil), section.Accounts...)
	section.Accounts[77].Rate = 2
	mustApply(t, store, section, latestBase)
	if writes := store.swaps - first; writes != 2 {
		t.Errorf("a change of one account took %d writes, want a chunk and the root", writes)
	}
	current, err := readDocument(t.Context(), store)
	if err != nil || len(current.document.Section("one").Accounts) != 20_001 {
		t.Errorf("%v", err)
	}
	kept, _ := store.List(t.Context(), config.ChunkPrefix)
	needed, _ := storedChunks(current.document)
	if len(kept) != len(needed) {
		t.Errorf("the store keeps %d chunks of %d that are needed", len(kept), len(needed))
	}
}
