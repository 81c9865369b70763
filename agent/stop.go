package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/membership"
	"lacewingmount.dev/timeline"
)

const (
	// stopGrace is how long a stopping agent waits for its entry to say that it stops too.
	stopGrace = time.Second
	stopPoll  = 20 * time.Millisecond
)

// stop ends the agent in order: its peers stop sending it new work, its entry
// finishes what is in flight, then the peers are told that it is gone.
func (a *Agent) stop() {
	a.stopping.Store(true)
	a.admin.SetReady(false)
	a.events.Add(timeline.Event{Kind: timeline.KindStopping})
	a.log.Info("stopping")
	a.peers.leave(false)
	a.awaitEntry()
	a.claims.shutdown()
	a.endSharing()
	a.shares.leave(a.background)
	a.peers.leave(true)
	a.announceStop()
	a.events.Add(timeline.Event{Kind: timeline.KindStopped})
	a.log.Info("stopped")
}

// awaitEntry returns once the entry has stopped, is silent, or does not stop: then
// only the agent is replaced, and the entry goes on with what it has.
func (a *Agent) awaitEntry() {
	began := a.now()
	for {
		report, heard := a.entry.get(a.now())
		if !heard || (!report.Stopping && a.now().Sub(began) > stopGrace) {
			return
		}
		time.Sleep(stopPoll)
	}
}

// announceStop tells a few peers at once that this agent is gone; they pass it on.
func (a *Agent) announceStop() {
	ctx, cancel := context.WithTimeout(a.background, membership.ExchangeTimeout)
	defer cancel()
	probes := a.peers.round()
	done := make(chan struct{}, len(probes))
	for _, probe := range probes {
		go func() {
			defer func() { done <- struct{}{} }()
			a.exchangeWith(ctx, probe)
		}()
	}
	for range probes {
		select {
		case <-done:
		case <-ctx.Done():
			a.log.Warn("some peers were not told", zap.Error(ctx.Err()))
			return
		}
	}
}
