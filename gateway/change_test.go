package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

// Load: a server works on requests while it, their route, service and account are removed and
// the settings are reloaded.
func TestChangesDoNotEndRequestsInFlight(t *testing.T) {
	f := newFleet(t, 1)
	parameters := defaultParameters
	parameters.timeout = "8s"
	f.configure(parameters)
	v := f.startReady("vm-1")
	f.servers[0].SetProcessingTime(2 * time.Second)
	const callers = 4 // fewer than the server has slots
	type result struct {
		reply platformtest.Reply
		err   error
	}
	results := make(chan result, callers)
	for i := range callers {
		caller, err := platformtest.Dial(v.callers, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		go func() {
			reply, err := caller.Do(platformtest.Call{ID: "r" + strconv.Itoa(i), Method: http.MethodPost, Path: "/r/", Key: "k1", Deadline: 7 * time.Second})
			results <- result{reply, err}
		}()
	}
	f.waitFor("the server works on the requests", func() bool { return len(f.servers[0].Runs()) == callers })
	f.version++
	f.store.Put(platform.ConfigKey, platformtest.Configuration{
		Version: f.version, Routes: []platformtest.Route{{Name: "other", Prefix: "/other/", Kind: "safe", Timeout: "100ms", Service: "other", MaxAttempts: 1}},
		Accounts: []platformtest.Account{{Name: "other", Keys: []string{"k2"}}},
	}.Encode())
	f.store.Remove(platform.ServersPrefix + f.servers[0].ID)
	v.Reload(platform.Settings{}, errors.New("broken settings"))
	v.Reload(platform.Settings{Store: f.address}, nil)
	f.waitFor("the changes are in force", func() bool {
		return v.table.Load().hosts[platformtest.Host][0].Name == "other" && len(*v.servers.Load()) == 0
	})
	if n := v.active.Load(); n != callers {
		t.Errorf("%d requests in progress, want %d", n, callers)
	}
	for range callers {
		if r := <-results; r.err != nil || r.reply.Status != http.StatusOK {
			t.Errorf("%+v, %v", r.reply, r.err)
		}
	}
}
