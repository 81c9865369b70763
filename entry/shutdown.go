package entry

import (
	"context"
	"time"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/timeline"
)

const stopPollPeriod = 20 * time.Millisecond // between checks whether a stop can go on

// shutdown reports not ready, accepts connections for DrainDelay so that the load balancer
// can react, and then waits for all requests in flight and for the settlement of their
// claims. From the start, responses have the header Connection: close.
func (e *Entry) shutdown(server *daemon.CallerServer) error {
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
