package agent

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/config"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/timeline"
)

const (
	watchWait     = 20 * time.Second
	membersPeriod = time.Second
	retryFirst    = 100 * time.Millisecond
	retryMost     = 2 * time.Second
)

// followDocument adopts each new revision of the document until ctx ends.
func (a *Agent) followDocument(ctx context.Context) {
	var seen platform.Version
	delay, lost := retryFirst, false
	for ctx.Err() == nil {
		entries, err := a.store.Watch(ctx, config.RootKey, seen, watchWait)
		if err != nil {
			if !lost && ctx.Err() == nil {
				lost = true
				a.events.Add(timeline.Event{Kind: timeline.KindStoreLost, Reason: err.Error()})
				a.log.Warn("store lost", zap.Error(err))
			}
			pause(ctx, jitter(delay))
			delay = min(2*delay, retryMost)
			continue
		}
		if lost {
			a.events.Add(timeline.Event{Kind: timeline.KindStoreBack})
			a.log.Info("store back")
		}
		delay, lost = retryFirst, false
		for _, entry := range entries {
			a.adopt(entry)
			seen = max(seen, entry.Version)
		}
	}
}

func (a *Agent) adopt(entry platform.Entry) {
	var document config.Document
	if err := json.Unmarshal(entry.Value, &document); err != nil {
		a.log.Error("configuration cannot be read", zap.Error(err))
		return
	}
	if a.state.setDocument(&document) {
		a.events.Add(timeline.Event{Kind: timeline.KindConfigured, Revision: document.Revision})
		a.log.Info("configured", zap.Uint64("revision", document.Revision))
	}
}

// followMembers keeps the list of VMs up to date until ctx ends.
func (a *Agent) followMembers(ctx context.Context) {
	for ctx.Err() == nil {
		if vms, err := a.vms.VMs(ctx); err == nil && a.peers.update(vms) {
			a.membersChanged()
		}
		pause(ctx, jitter(membersPeriod))
	}
}

func (a *Agent) membersChanged() {
	serving := len(a.peers.inService())
	a.state.setMembers(max(serving, 1))
	a.events.Add(timeline.Event{Kind: timeline.KindMembers})
	a.log.Info("members changed", zap.Int("in_service", serving))
}

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
