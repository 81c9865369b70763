package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

// Guards against a VM that ends, or stops following the store, because of one odd record of
// another writer: deeply nested, with a number that is too large, with a port out of range.
func TestOddRecordsDoNotStopTheFollower(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	nested := strings.Repeat("[", 100_000)
	good := string(f.servers[0].Record("svc", "ready", 1))
	for i, text := range []string{
		nested, nested + strings.Repeat("]", 100_000), `{"slots":` + nested, strings.Replace(good, `"slots":6`, `"slots":1e400`, 1),
		strings.Replace(good, f.servers[0].Address, "127.0.0.1:65536", 1), strings.Replace(good, f.servers[0].Address, "127.0.0.1:0", 1),
		strings.Replace(good, f.servers[0].Address, "127.0.0.1:-1", 1), strings.Replace(good, "svc", strings.Repeat("s", 1<<20), 1), "\xff\xfe", "",
	} {
		f.store.Put(fmt.Sprintf("%sodd-%d", platform.ServersPrefix, i), []byte(text))
		f.store.Put(fmt.Sprintf("%sodd-%d", vmsPrefix, i), []byte(text))
	}
	for i, text := range []string{
		`{"name":"odd","address":"127.0.0.1:65536"}`, `{"name":"odd","address":"127.0.0.1:0"}`, `{"name":"odd","address":"somewhere"}`,
		`{"name":"other","address":"127.0.0.1:1"}`, `{"name":"odd","address":"127.0.0.1:1","capacity":1e400}`, `{"name":"odd","address":"127.0.0.1:1","incarnation":-1}`,
	} {
		f.store.Put(fmt.Sprintf("%sodd", vmsPrefix), []byte(text))
		if i%2 == 0 {
			time.Sleep(2 * watchInterval)
		}
	}
	late := platformtest.NewServer(t, "late")
	f.store.Put(platform.ServersPrefix+"late", late.Record("svc", "ready", 1))
	f.waitFor("the VM knows the server that was registered after them", func() bool { return v.isRegistered("late") })
	if n := len(*v.servers.Load()); n != len(f.servers)+1 {
		t.Errorf("%d servers are in use, want %d", n, len(f.servers)+1)
	}
	if n := v.peers.count(); n != 1 {
		t.Errorf("%d VMs are known, want 1", n)
	}
	if r := f.call(v, "POST", "/r/", "k1", "order", nil); r.status != 200 {
		t.Errorf("%+v", r)
	}
}

// Guards against a VM that asks again and again for changes that do not fit into one response:
// another writer has written many records of 1 MB.
func TestChangesThatDoNotFitIntoAResponseAreListed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	const records = 7 // 9.8 MB in base64; a response of the store has 8 MiB at most
	for i := range records {
		f.store.Put(fmt.Sprintf("other/%d", i), []byte(strings.Repeat("x", 1<<20)))
	}
	late := platformtest.NewServer(t, "late")
	f.store.Put(platform.ServersPrefix+"late", late.Record("svc", "ready", 1))
	f.waitFor("the VM knows the server that was registered after them", func() bool { return v.isRegistered("late") })
}
