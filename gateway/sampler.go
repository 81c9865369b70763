package gateway

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const maxRoutineLines = 100 // per second, about requests served at the first attempt; about 50 kB

// sampler limits the rate of log lines about requests served at the first attempt.
// It is safe for concurrent use.
type sampler struct {
	mu     sync.Mutex
	second int64
	lines  int
}

// allow reports whether a line may be written now.
func (s *sampler) allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		s.second, s.lines = second, 0
	}
	s.lines++
	if s.lines > maxRoutineLines {
		sampledLines.Inc()
		return false
	}
	return true
}

var sampledLines = metrics.GetOrCreateCounter("lacewing_log_sampled_lines_total")
