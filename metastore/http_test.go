package metastore_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/metastore"
	"lacewingmount.dev/standin"
)

// newStore returns a client of a new platform stand-in, and the stand-in.
func newStore(t *testing.T) (*metastore.HTTPClient, *standin.Platform) {
	t.Helper()
	platform := standin.NewPlatform([]metastore.VM{{Name: "vm-1", Zone: "a", Address: "127.0.0.1:7100"}})
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	return metastore.NewHTTPClient(server.URL), platform
}

func TestCompareAndSwapWritesOnlyTheExpectedVersion(t *testing.T) {
	ctx, store := t.Context(), metastore.Store(nil)
	store, _ = newStore(t)
	first, err := store.CompareAndSwap(ctx, "a/1", []byte("one"), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.CompareAndSwap(ctx, "a/1", []byte("two"), 0, 0); errs.KindOf(err) != errs.Conflict {
		t.Errorf("created twice: %v", err)
	}
	if _, err := store.CompareAndSwap(ctx, "a/1", []byte("two"), first, 0); err != nil {
		t.Error(err)
	}
	if err := store.Delete(ctx, "a/1", first); errs.KindOf(err) != errs.Conflict {
		t.Errorf("deleted an older version: %v", err)
	}
	if entry, err := store.Get(ctx, "a/1"); err != nil || string(entry.Value) != "two" {
		t.Errorf("got %q, %v", entry.Value, err)
	}
	if _, err := store.Get(ctx, "a/2"); errs.KindOf(err) != errs.NotFound {
		t.Errorf("no such key: %v", err)
	}
	if _, err := store.CompareAndSwap(ctx, "a/2", make([]byte, metastore.MaxValueBytes+1), 0, 0); errs.KindOf(err) != errs.Invalid {
		t.Errorf("a value over 1 MiB: %v", err)
	}
	if entries, err := store.List(ctx, "a/"); err != nil || len(entries) != 1 {
		t.Errorf("list %v, %v", entries, err)
	}
}

func TestLostResponseIsAmbiguousAndResolvedByReadingBack(t *testing.T) {
	store, platform := newStore(t)
	platform.SetFaults(standin.PlatformFaults{LoseWrites: 2})
	write := func() error {
		_, err := store.CompareAndSwap(t.Context(), "claim", []byte("mine"), 0, 0)
		return err
	}
	if err := write(); errs.KindOf(err) != errs.Ambiguous {
		t.Fatalf("the response was lost, but the call returned %v", err)
	}
	applied := func(value string) func(context.Context) (bool, error) {
		return func(ctx context.Context) (bool, error) {
			entry, err := store.Get(ctx, "claim")
			return string(entry.Value) == value, err
		}
	}
	lost := func() error { return errs.New(errs.Ambiguous, "lost", "read back") }
	if err := metastore.ConfirmWrite(t.Context(), lost, applied("mine")); err != nil {
		t.Errorf("the write took effect, but the result is %v", err)
	}
	if err := metastore.ConfirmWrite(t.Context(), lost, applied("theirs")); errs.KindOf(err) != errs.Conflict {
		t.Errorf("another write took effect, but the result is %v", err)
	}
	platform.SetFaults(standin.PlatformFaults{Down: true})
	if err := metastore.ConfirmWrite(t.Context(), lost, applied("mine")); errs.KindOf(err) != errs.Ambiguous {
		t.Errorf("the outcome is unknown: %v", err)
	}
}

func TestOutageFailsReadsAsUnavailableAndWritesAsAmbiguous(t *testing.T) {
	for name, faults := range map[string]standin.PlatformFaults{
		"down": {Down: true}, "slower than the caller's deadline": {Delay: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			store, platform := newStore(t)
			platform.SetFaults(faults)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := store.Get(ctx, "key")
			if errs.KindOf(err) != errs.Unavailable {
				t.Errorf("read: %v", err)
			}
			ctx, cancel = context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			if _, err := store.CompareAndSwap(ctx, "key", nil, 0, 0); errs.KindOf(err) != errs.Ambiguous {
				t.Errorf("write: %v", err)
			}
			platform.SetFaults(standin.PlatformFaults{})
			if _, err := store.Get(t.Context(), "key"); errs.KindOf(err) != errs.NotFound {
				t.Errorf("after the outage: %v", err)
			}
		})
	}
}

func TestWriteWithoutConnectionWasNotPerformed(t *testing.T) {
	store := metastore.NewHTTPClient("http://127.0.0.1:1")
	if _, err := store.CompareAndSwap(t.Context(), "key", nil, 0, 0); errs.KindOf(err) != errs.Unavailable {
		t.Errorf("nothing was sent: %v", err)
	}
}

func TestExpiredLeaseRemovesItsKeysAndIsNotRenewed(t *testing.T) {
	store, platform := newStore(t)
	lease, err := store.GrantLease(t.Context(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.CompareAndSwap(t.Context(), "holder", []byte("vm-1"), 0, lease); err != nil {
		t.Fatal(err)
	}
	if err := store.RenewLease(t.Context(), lease); err != nil {
		t.Fatal(err)
	}
	platform.SetFaults(standin.PlatformFaults{LapseLeases: true})
	if _, err := store.Get(t.Context(), "holder"); errs.KindOf(err) != errs.NotFound {
		t.Errorf("the key outlived its lease: %v", err)
	}
	if err := store.RenewLease(t.Context(), lease); errs.KindOf(err) != errs.NotFound {
		t.Errorf("an expired lease was renewed: %v", err)
	}
	if _, err := store.CompareAndSwap(t.Context(), "holder", nil, 0, lease); errs.KindOf(err) != errs.NotFound {
		t.Errorf("an expired lease was used for a write: %v", err)
	}
}

func TestWatchWaitsForTheNextWrite(t *testing.T) {
	store, _ := newStore(t)
	seen, err := store.CompareAndSwap(t.Context(), "config/root", []byte("1"), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if entries, err := store.Watch(t.Context(), "config/", seen, 10*time.Millisecond); err != nil || len(entries) != 0 {
		t.Fatalf("nothing changed, but watch gave %v, %v", entries, err)
	}
	got := make(chan []metastore.Entry, 1)
	go func() {
		entries, _ := store.Watch(t.Context(), "config/", seen, time.Minute)
		got <- entries
	}()
	_, _ = store.CompareAndSwap(t.Context(), "other", []byte("x"), 0, 0)
	_, _ = store.CompareAndSwap(t.Context(), "config/root", []byte("2"), seen, 0)
	if entries := <-got; len(entries) != 1 || string(entries[0].Value) != "2" {
		t.Fatalf("watch gave %v", entries)
	}
}
