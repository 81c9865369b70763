package soak

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"lacewingmount.dev/requestlog"
)

// stallInterval is the time between two readings of the clock by a stallMeter.
const stallInterval = 20 * time.Millisecond

// stallMeter records when this process did not run as planned. The callers and the
// backend servers run in it, so a late response says nothing about the VMs then.
type stallMeter struct {
	mu     sync.Mutex
	stalls []period // longer than 5 stallIntervals
}

// run reads the clock until stopping is closed.
func (m *stallMeter) run(stopping <-chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-stopping:
			return
		case <-time.After(stallInterval):
		}
		now := time.Now()
		if now.Sub(last) > 5*stallInterval {
			m.mu.Lock()
			m.stalls = append(m.stalls, period{last, now})
			m.mu.Unlock()
		}
		last = now
	}
}

// longest returns the longest stall that overlaps the time between from and until.
func (m *stallMeter) longest(from, until time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var longest time.Duration
	for _, s := range m.stalls {
		if s.from.Before(until) && s.until.After(from) {
			longest = max(longest, s.until.Sub(s.from))
		}
	}
	return longest
}

// vmLine returns the VM's log line about the request, which shows how long the VM took.
func (env *testEnv) vmLine(c *call) string {
	log, err := os.Open(filepath.Join(env.dir, c.vm.name+".log"))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = log.Close() }()
	lines, err := requestlog.Read(log, c.ID)
	if err != nil {
		return err.Error()
	}
	for _, line := range lines {
		if line.Message == requestlog.RequestMessage {
			return strings.TrimSpace(line.Text)
		}
	}
	return "none"
}
