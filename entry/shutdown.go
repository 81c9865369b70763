package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"lacewingmount.dev/timeline"
)

// idleQuiet is how long a caller's connection must have been idle before a
// stopping entry closes it: a request may be on its way on one that was just used.
const idleQuiet = time.Second

// callers knows the connections of callers and since when each is idle.
type callers struct {
	mu   sync.Mutex
	idle map[net.Conn]time.Time // zero while a request is served
}

func newCallers() *callers { return &callers{idle: map[net.Conn]time.Time{}} }

// track is the server's ConnState hook.
func (c *callers) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.idle[conn] = time.Now()
	case http.StateActive:
		c.idle[conn] = time.Time{}
	default:
		delete(c.idle, conn)
	}
}

// quiet reports whether no connection was used within idleQuiet.
func (c *callers) quiet(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, since := range c.idle {
		if now.Sub(since) < idleQuiet && !since.IsZero() {
			return false
		}
	}
	return true
}

const quietPoll = 20 * time.Millisecond

// shutdown reports not ready, serves on until the balancer has noticed, then lets
// every request in flight finish. Callers that keep their connection open are
// told to close it from the first moment on.
func (e *Entry) shutdown(server *http.Server, listener net.Listener) error {
	e.stopping.Store(true)
	e.updateReady()
	e.reportNow()
	e.events.Add(timeline.Event{Kind: timeline.KindStopping})
	e.log.Info("stopping")
	time.Sleep(e.settings.DrainDelay.Std())
	_ = listener.Close()
	e.events.Add(timeline.Event{Kind: timeline.KindDrainWait})
	for !e.callers.quiet(time.Now()) {
		time.Sleep(quietPoll)
	}
	err := server.Shutdown(context.Background())
	if errors.Is(err, net.ErrClosed) {
		err = nil // of the listener, which was closed above
	}
	e.events.Add(timeline.Event{Kind: timeline.KindStopped})
	e.log.Info("stopped")
	e.report(context.Background(), true)
	return err
}
