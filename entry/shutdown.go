package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"lacewingmount.dev/timeline"
)

const stopPollPeriod = 20 * time.Millisecond // between checks whether a stop can go on

// shutdown reports not ready, accepts connections for DrainDelay so that the load balancer
// can react, and then waits for all requests in flight and for the settlement of their
// claims. From the start, responses have the header Connection: close.
func (e *Entry) shutdown(server *callerServer) error {
	e.stopping.Store(true)
	e.updateReady()
	e.requestReport()
	e.events.Add(timeline.Event{Kind: timeline.KindStopping})
	e.log.Info("stopping")
	time.Sleep(e.settings.DrainDelay.Std())
	server.stopAccepting()
	e.events.Add(timeline.Event{Kind: timeline.KindDrainWait})
	for !e.callerConns.quiesced(time.Now()) {
		time.Sleep(stopPollPeriod)
	}
	err := server.http.Shutdown(context.Background())
	if errors.Is(err, net.ErrClosed) {
		err = nil // the listener was closed above
	}
	e.settler.wait() // the agent may stop once the entry has stopped
	e.events.Add(timeline.Event{Kind: timeline.KindStopped})
	e.log.Info("stopped")
	e.report(context.Background(), true)
	return err
}
