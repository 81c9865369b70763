package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/membership"
	"lacewingmount.dev/timeline"
)

const (
	// entryStopGrace is how long a stopping agent waits for its entry to report that it
	// is stopping too.
	entryStopGrace   = time.Second
	stopPollInterval = 20 * time.Millisecond
)

// stop shuts the agent down gracefully: its peers stop sending it new requests, its entry
// finishes the requests in flight, and then the peers are notified that it has stopped.
func (a *Agent) stop() {
	a.stopping.Store(true)
	a.admin.SetReady(false)
	a.events.Add(timeline.Event{Kind: timeline.KindStopping})
	a.log.Info("stopping")
	a.peers.leave(false)
	a.waitForEntry()
	a.claims.shutdown()
	a.cancelShares()
	a.shares.leave(a.background)
	a.peers.leave(true)
	a.announceStop()
	a.events.Add(timeline.Event{Kind: timeline.KindStopped})
	a.log.Info("stopped")
}

// waitForEntry waits until the entry has stopped or no longer reports. It also returns
// if the entry is not stopping after entryStopGrace: then only the agent is replaced,
// and the entry continues with its latest snapshot.
func (a *Agent) waitForEntry() {
	started := a.now()
	for {
		report, reporting := a.entry.get(a.now())
		if !reporting || (!report.Stopping && a.now().Sub(started) > entryStopGrace) {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// announceStop notifies a few peers that this agent has stopped; they spread the update.
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
			a.log.Warn("some peers did not acknowledge that this agent has stopped", zap.Error(ctx.Err()))
			return
		}
	}
}
