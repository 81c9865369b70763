package daemon

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx has ended. It returns false if ctx ended
// first.
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
