package entry

import (
	"context"
	"time"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/timeline"
)

const (
	stopPollPeriod   = 20 * time.Millisecond // between checks whether a stop can go on
	lateRequestsTime = 3 * time.Second       // after DrainDelay, in which requests on open connections are still served
)

// shutdown reports not ready, accepts connections for DrainDelay so that the load balancer
// can react, and then waits for all requests in flight and for the settlement of their
// claims. From the start, responses have the header Connection: close. Requests that come
// later than lateRequestsTime after DrainDelay are refused as not run: they could last until
// the supervisor kills the process.
func (e *Entry) shutdown(server *daemon.CallerServer) error {
	until := time.Now().Add(e.settings.DrainDelay.Std() + lateRequestsTime)
	e.acceptsUntil.Store(&until)
	e.stopping.Store(true)
	e.updateReady()
	e.requestReport()
	e.events.Add(timeline.Event{Kind: timeline.KindStopping})
	e.log.Info("stopping")
	time.Sleep(e.settings.DrainDelay.Std())
	server.StopAccepting(context.Background())
	e.events.Add(timeline.Event{Kind: timeline.KindDrainWait})
	for !server.Quiesced(time.Now()) {
		time.Sleep(stopPollPeriod)
	}
	err := server.Shutdown(context.Background())
	e.settler.wait() // the agent may stop once the entry has stopped
	e.events.Add(timeline.Event{Kind: timeline.KindStopped})
	e.log.Info("stopped")
	e.report(context.Background(), true)
	return err
}
