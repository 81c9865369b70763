package gateway

import (
	"sync"
	"time"

	"lacewingmount.dev/placement"
)

// inFlight holds this VM's requests at backend servers, by service and sequence
// number. It is safe for concurrent use.
type inFlight struct {
	mu       sync.Mutex
	services map[string]map[uint64]inFlightRequest
}

type inFlightRequest struct {
	server string
	since  time.Time
}

func newInFlight() *inFlight { return &inFlight{services: map[string]map[uint64]inFlightRequest{}} }

func (f *inFlight) add(service string, seq uint64, server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.services[service] == nil {
		f.services[service] = map[uint64]inFlightRequest{}
	}
	f.services[service][seq] = inFlightRequest{server, time.Now()}
}

func (f *inFlight) remove(service string, seq uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.services[service], seq)
}

// report returns the requests in flight of the services for which include is true.
func (f *inFlight) report(include func(service string) bool) map[string][]placement.Running {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	running := map[string][]placement.Running{}
	for service, flights := range f.services {
		if len(flights) == 0 || !include(service) {
			continue
		}
		for seq, flight := range flights {
			running[service] = append(running[service], placement.Running{Seq: seq, Server: flight.server, Age: now.Sub(flight.since)})
		}
	}
	return running
}
