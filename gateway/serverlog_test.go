package gateway

import (
	"fmt"
	"maps"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lacewingmount.dev/platform"
)

// Load: 478 servers of three services at the start of a VM, then 10 replaced ones. At
// 292 VMs, a line for each server and VM was three quarters of all lines of a day.
func TestServerLogGrowsWithChangesOnly(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	g := &Gateway{log: zap.New(core)}
	servers := map[string]platform.Server{}
	for i := range 478 {
		id := fmt.Sprintf("i-%d", i)
		servers[id] = platform.Server{ID: id, Service: fmt.Sprintf("service-%d", i%3)}
	}
	next := maps.Clone(servers)
	for i := range 10 {
		delete(next, fmt.Sprintf("i-%d", i))
		id := fmt.Sprintf("j-%d", i)
		next[id] = platform.Server{ID: id, Service: "service-0"}
	}
	for _, c := range []struct {
		name          string
		before, after map[string]platform.Server
		source        string
		lines         int
	}{
		{"start", nil, servers, sourceStore, 3},
		{"change that this VM read", servers, next, sourceStore, 20},
		{"change that another VM read", servers, next, "vm-2", 1},
		{"no change", next, next, "vm-2", 0},
	} {
		g.logServers(c.before, c.after, c.source)
		if lines := logged.TakeAll(); len(lines) != c.lines {
			t.Errorf("%s: %d lines, want %d", c.name, len(lines), c.lines)
		}
	}
}
