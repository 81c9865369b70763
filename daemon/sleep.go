package daemon

import (
	"context"
	"time"
)

// Sleep waits for d, or less if ctx ends, and reports whether ctx is still live.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
