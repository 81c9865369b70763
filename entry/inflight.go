package entry

import (
	"context"
	"sync"
	"time"

	"lacewingmount.dev/timeline"
)

// withdrawalGrace is how long a request of a withdrawn key may go on.
const withdrawalGrace = 2 * time.Second

// inFlight knows the requests that are being served.
type inFlight struct {
	mu        sync.Mutex
	exchanges map[*Exchange]context.CancelFunc
}

func newInFlight() *inFlight { return &inFlight{exchanges: map[*Exchange]context.CancelFunc{}} }

// begin registers a request, whose context can be cancelled from then on.
func (f *inFlight) begin(x *Exchange) {
	ctx, cancel := context.WithCancel(x.Request.Context())
	x.Request = x.Request.WithContext(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exchanges[x] = cancel
}

func (f *inFlight) end(x *Exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exchanges[x]()
	delete(f.exchanges, x)
}

func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.exchanges)
}

// setKey says which key a request came with.
func (f *inFlight) setKey(x *Exchange, hash string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x.KeyHash = hash
}

// withdrawn returns the requests whose key the table does not know.
func (f *inFlight) withdrawn(table *Table) []*Exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*Exchange
	for x := range f.exchanges {
		if x.KeyHash != "" && table.accounts[x.KeyHash] == nil {
			found = append(found, x)
		}
	}
	return found
}

// cancel ends a request unless it ended already. A protected request that was
// claimed may have been sent, so it is left to finish.
func (f *inFlight) cancel(x *Exchange) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	cancel, running := f.exchanges[x]
	if !running || x.Route.Protected {
		return false
	}
	cancel()
	return true
}

// endWithdrawn ends the requests of keys that the table refuses, after a grace.
func (e *Entry) endWithdrawn(table *Table) {
	for _, x := range e.inFlight.withdrawn(table) {
		time.AfterFunc(withdrawalGrace, func() {
			if e.inFlight.cancel(x) {
				e.events.Add(timeline.Event{Kind: timeline.KindStreamEnded, Request: x.RequestID, Reason: "key withdrawn"})
			}
		})
	}
}
