package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/daemon"
)

const (
	acceptShare        = 0.5                    // of the grace period: requests that arrive later are refused. The rest of it is for those accepted; the balancer removes the VM within 2 to 3 s
	waitShare          = 2.0 / 3                // of the grace period: requests that still wait then are refused. Few servers take longer than the rest of it
	leaveAnnouncements = 4                      // repeats of the announcement that this VM leaves; datagrams can be lost
	graceMargin        = 300 * time.Millisecond // between the end of the last request and SIGKILL; its answer is written meanwhile
	exitMargin         = 100 * time.Millisecond // between the end of the last answer and SIGKILL
	drainPollInterval  = 20 * time.Millisecond  // between checks whether the last requests have ended
	quietTime          = 250 * time.Millisecond // without a new request before the connections are closed; requests may still be in sockets
)

// shutdownSchedule holds the times from the start of a shutdown until its phases begin.
type shutdownSchedule struct {
	refuse   time.Duration // requests that arrive are refused
	endWaits time.Duration // requests that wait for their body or for a server are refused, if none has run them
	giveUp   time.Duration // requests in progress are given up, and the connections are closed
	end      time.Duration // the process ends
}

func newShutdownSchedule(gracePeriod time.Duration) shutdownSchedule {
	return shutdownSchedule{
		refuse:   time.Duration(acceptShare * float64(gracePeriod)),
		endWaits: time.Duration(waitShare * float64(gracePeriod)),
		giveUp:   gracePeriod - graceMargin,
		end:      gracePeriod - exitMargin,
	}
}

// shutDown waits until the balancer has removed the VM, removes the registration,
// finishes the accepted requests and closes the connections. unregister must not block.
func (g *Gateway) shutDown(callers *daemon.CallerServer, unregister func()) {
	began := time.Now()
	g.log.Info("stopping", zap.Int64("active", g.active.Load()))
	g.stopping.Store(true)
	g.peers.markLeaving()
	g.announce(true)
	for time.Since(began) < g.schedule.refuse {
		time.Sleep(g.schedule.refuse / leaveAnnouncements)
		g.announce(true)
	}
	g.refusing.Store(true)
	refusingSince := time.Now()
	g.log.Info("new requests refused", zap.Int64("active", g.active.Load()))
	unregister()
	endWaits := time.AfterFunc(time.Until(began.Add(g.schedule.endWaits)), g.endWaits)
	defer endWaits.Stop()
	for !g.isQuiet(callers, time.Now(), refusingSince) && time.Since(began) < g.schedule.giveUp {
		time.Sleep(drainPollInterval)
	}
	if active := g.active.Load(); active > 0 {
		g.log.Warn("requests given up: the grace period ends", zap.Int64("active", active))
	}
	g.giveUp(errStopping)
	g.closeConnections(callers, began.Add(g.schedule.end))
}

// closeConnections closes the listener once its queue is empty, and the connections. Those on
// which a request arrives or an answer is being written are closed when the answer is complete,
// or at the end.
func (g *Gateway) closeConnections(callers *daemon.CallerServer, end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	callers.StopAccepting(ctx)
	for !callers.Quiesced(time.Now()) && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	if err := callers.Shutdown(ctx); err == nil {
		return
	}
	g.log.Warn("connections closed before their answers were complete", zap.Int64("active", g.active.Load()))
	if err := callers.Close(); err != nil {
		g.log.Warn("listener not closed", zap.Error(err))
	}
}

// isQuiet reports whether no request is in progress or arriving and none has arrived for
// quietTime since new ones are refused. Each answer closes its connection by then, so that
// callers with open connections send no more requests.
func (g *Gateway) isQuiet(callers *daemon.CallerServer, now, refusingSince time.Time) bool {
	latest := time.Unix(0, g.lastArrival.Load())
	if latest.Before(refusingSince) {
		latest = refusingSince
	}
	return now.Sub(latest) >= quietTime && callers.Quiesced(now)
}
