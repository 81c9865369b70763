package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/daemon"
)

const (
	acceptTime         = 3 * time.Second        // from the start of a shutdown, in which requests are accepted; the balancer has removed the VM by then, and operators excuse no loss of later ones
	acceptShare        = 1.0 / 2                // of the grace period, if that is less than acceptTime
	placeShare         = 2.0 / 3                // of the grace period, in which requests are sent to servers; few servers take longer than the rest of it
	acceptMargin       = 250 * time.Millisecond // a busy VM may learn this late of its shutdown
	serveMargin        = 300 * time.Millisecond // between the end of the last request and SIGKILL; its answer is written meanwhile
	exitMargin         = 100 * time.Millisecond // between the end of the last answer and SIGKILL
	maxMarginShare     = 1.0 / 12               // of the grace period, for each margin; operators expect that servers may work until its last sixth
	leaveAnnouncements = 4                      // repeats of the announcement that this VM leaves; datagrams can be lost
	drainPollInterval  = 20 * time.Millisecond  // between checks whether the last requests have ended
	quietTime          = 250 * time.Millisecond // without a new request before the connections are closed; requests may still be in sockets
)

// shutdownSchedule holds the durations of the phases of a shutdown, all from its start.
type shutdownSchedule struct {
	accept time.Duration // requests that arrive are accepted
	place  time.Duration // accepted requests are sent to servers
	serve  time.Duration // servers work on requests
	exit   time.Duration // answers are written, and the process ends
}

func newShutdownSchedule(gracePeriod time.Duration) *shutdownSchedule {
	share := func(of float64) time.Duration { return time.Duration(of * float64(gracePeriod)) }
	maxMargin := share(maxMarginShare)
	return &shutdownSchedule{
		accept: min(acceptTime, share(acceptShare)) - min(acceptMargin, maxMargin),
		place:  share(placeShare),
		serve:  gracePeriod - min(serveMargin, maxMargin),
		exit:   gracePeriod - min(exitMargin, maxMargin/3),
	}
}

// shutdownTimes are the ends of the phases of a shutdown that has begun.
type shutdownTimes struct {
	accept, place, serve, exit time.Time
}

func (s *shutdownSchedule) beginAt(began time.Time) *shutdownTimes {
	return &shutdownTimes{began.Add(s.accept), began.Add(s.place), began.Add(s.serve), began.Add(s.exit)}
}

// phase is a context that ends with a phase of the shutdown, with the cause errStopping.
type phase struct {
	context.Context
	cancel context.CancelCauseFunc
}

func newPhase() phase {
	ctx, cancel := context.WithCancelCause(context.Background())
	return phase{ctx, cancel}
}

func (p phase) end() { p.cancel(errStopping) }

// isStopping reports whether the shutdown has begun: the VM is not ready, and answers close
// their connections.
func (g *Gateway) isStopping() bool { return g.shutdown.Load() != nil }

// accepts reports whether a request may begin now. It goes by the clock, because the
// goroutine of the shutdown may be late on a busy VM.
func (g *Gateway) accepts(now time.Time) bool {
	times := g.shutdown.Load()
	return times == nil || now.Before(times.accept)
}

// shutDown waits until the balancer has removed the VM, removes the registration,
// finishes the accepted requests and closes the connections. unregister must not block.
func (g *Gateway) shutDown(callers *daemon.CallerServer, unregister func()) {
	times := g.schedule.Load().beginAt(time.Now())
	g.shutdown.Store(times)
	g.log.Info("stopping", zap.Int64("active", g.active.Load()))
	g.peers.markLeaving()
	g.announceLeaving(times.accept)
	g.accepting.end()
	refusingSince := time.Now()
	g.log.Info("new requests refused", zap.Int64("active", g.active.Load()))
	unregister()
	endPlacing := time.AfterFunc(time.Until(times.place), g.placing.end)
	defer endPlacing.Stop()
	for !g.isQuiet(callers, time.Now(), refusingSince) && time.Now().Before(times.serve) {
		time.Sleep(drainPollInterval)
	}
	if active := g.active.Load(); active > 0 {
		g.log.Warn("requests given up: the grace period ends", zap.Int64("active", active))
	}
	g.serving.end()
	g.closeConnections(callers, times.exit)
}

// awaitRemoval waits until the registration has been removed, or until the process has to
// end; the registration then ends with its lease.
func (g *Gateway) awaitRemoval(registered *sync.WaitGroup) {
	removed := make(chan struct{})
	go func() {
		defer close(removed)
		registered.Wait()
	}()
	select {
	case <-removed:
	case <-time.After(time.Until(g.shutdown.Load().exit)):
		g.log.Warn("registration not removed: the grace period ends")
	}
}

// announceLeaving tells the other VMs several times that this VM leaves, until the time.
func (g *Gateway) announceLeaving(until time.Time) {
	interval := time.Until(until) / leaveAnnouncements
	g.announce(true)
	for left := time.Until(until); left > 0; left = time.Until(until) {
		time.Sleep(min(left, interval))
		g.announce(true)
	}
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
	if ctx.Err() != nil {
		g.log.Warn("connections closed before their answers were complete", zap.Int64("active", g.active.Load()))
	}
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
