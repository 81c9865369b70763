package gateway

import (
	"net/http"
	"testing"

	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

// Load: requests to a service whose name has characters that end a metrics label.
func TestNameOfServiceDoesNotCloseConnections(t *testing.T) {
	const service = `orders "eu"\`
	f := newFleet(t, 1)
	f.store.Put(platform.ServersPrefix+f.servers[0].ID, f.servers[0].Record(service, "ready", 2))
	f.store.Put(platform.ConfigKey, platformtest.Configuration{
		Version: 1, Routes: []platformtest.Route{{Name: "r", Prefix: "/r/", Kind: "unsafe", Timeout: "2000ms", Service: service, MaxAttempts: 2, Public: true}},
	}.Encode())
	v := f.startReady("vm-1")
	if r := f.call(v, http.MethodPost, "/r/", "", "order", nil); r.err != nil || r.status != http.StatusOK {
		t.Errorf("status %d, error %v, ran %d times", r.status, r.err, f.countRuns(r.id))
	}
}
