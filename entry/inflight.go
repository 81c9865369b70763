package entry

import (
	"context"
	"sync"
	"time"

	"lacewingmount.dev/timeline"
)

// withdrawalGrace is how long a request may continue after its key is withdrawn.
const withdrawalGrace = 2 * time.Second

// inFlight is the set of requests in progress.
type inFlight struct {
	mu        sync.Mutex
	exchanges map[*Exchange]context.CancelFunc
}

func newInFlight() *inFlight { return &inFlight{exchanges: map[*Exchange]context.CancelFunc{}} }

// begin adds a request and makes its context cancellable.
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

// setKey records the hash of the key of a request.
func (f *inFlight) setKey(x *Exchange, hash string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x.KeyHash = hash
}

// withdrawn returns the requests whose key is not in the table.
func (f *inFlight) withdrawn(table *Table) []*Exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*Exchange
	for x := range f.exchanges {
		if x.KeyHash != "" && table.accountsByKey[x.KeyHash] == nil {
			found = append(found, x)
		}
	}
	return found
}

// cancel cancels a request and reports whether it did so. A protected request is not
// cancelled, because it may have been claimed and sent.
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

// endWithdrawn cancels the requests whose key is not in the table, after withdrawalGrace.
func (e *Entry) endWithdrawn(table *Table) {
	for _, x := range e.inFlight.withdrawn(table) {
		time.AfterFunc(withdrawalGrace, func() {
			if e.inFlight.cancel(x) {
				e.events.Add(timeline.Event{Kind: timeline.KindStreamEnded, Request: x.RequestID, Reason: "key withdrawn"})
			}
		})
	}
}
