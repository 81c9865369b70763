package gateway

import (
	"sync"
	"testing"
	"time"

	"lacewingmount.dev/catalog"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

// Load: two configurations arrive over two ways at once, and the goroutine that has the
// older one is delayed. The newer one stays in force.
func TestDelayedConfigurationDoesNotReplaceANewerOne(t *testing.T) {
	f := fuzzGateway(t).follower
	apply := func(version int) catalog.Effect {
		config := platformtest.Configuration{
			Version: version, Routes: []platformtest.Route{{Name: "r", Prefix: "/r/", Kind: "safe", Timeout: "1s", Service: "svc", MaxAttempts: 2}},
		}.Encode()
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.catalog.Apply(time.Now(), []catalog.Change{{Key: platform.ConfigKey, Revision: uint64(10 + version), Config: config}})
	}
	older, newer := apply(2), apply(3)
	f.apply(newer, "newer")
	f.apply(older, "older")
	if version := f.g.table.Load().config.Version; version != 3 {
		t.Errorf("version %d is in force, want 3", version)
	}
}

// Load: a server's record changes many times, and changes arrive over several ways at once.
// The servers in force are those of the newest change.
func TestDelayedServersDoNotReplaceNewerOnes(t *testing.T) {
	f := fuzzGateway(t).follower
	server := platform.Server{ID: "s", Service: "svc", Address: "127.0.0.1:1", Slots: 3}
	const ways = 8
	for last := uint64(100); last < 40_000; last += ways {
		var changes sync.WaitGroup
		for r := last - ways + 1; r <= last; r++ {
			changes.Go(func() {
				changed := server
				changed.Born = int64(r)
				f.mu.Lock()
				effect := f.catalog.Apply(time.Now(), []catalog.Change{{Key: platform.ServersPrefix + "s", Revision: r, Server: &changed}})
				f.mu.Unlock()
				f.apply(effect, "test")
			})
		}
		changes.Wait()
		if born := (*f.g.servers.Load())["s"].Born; born != int64(last) {
			t.Fatalf("the record of revision %d is in force, want %d", born, last)
		}
	}
}

// Load: a request reaches a VM that has just read its first configuration and its servers.
func TestConfigurationIsNotInForceBeforeItsServers(t *testing.T) {
	f := fuzzGateway(t).follower
	f.g.table.Store(nil)
	f.g.loaded = make(chan struct{})
	effect := catalog.Effect{Config: &platform.Config{Version: 9}, Servers: true}
	f.g.owned.mu.Lock() // the servers cannot be put into force
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.apply(effect, "test")
	}()
	time.Sleep(50 * time.Millisecond)
	if f.g.table.Load() != nil {
		t.Error("the configuration is in force, its servers are not")
	}
	f.g.owned.mu.Unlock()
	if <-done; f.g.table.Load() == nil {
		t.Error("the configuration is not in force")
	}
}
