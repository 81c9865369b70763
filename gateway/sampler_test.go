package gateway

import (
	"testing"
	"time"
)

// The load is 1,000 requests per second for three seconds.
func TestRoutineLogLinesAreBounded(t *testing.T) {
	var s sampler
	now := time.Unix(1000, 0)
	written := 0
	for range 3000 {
		if s.allow(now) {
			written++
		}
		now = now.Add(time.Millisecond)
	}
	if written > 3*maxRoutineLines || written == 0 {
		t.Errorf("%d lines in 3 s", written)
	}
}
