package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const storeAnswerTime = 4 * time.Millisecond // as the sheets say

// item is one key of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	busy     bool   // every call gets 503 and nothing is done
	reads    []read // successful reads and watches by address of the caller
	host     string
	rec      *record
}

// read is a successful read of the store by a machine.
type read struct {
	machine string
	at      time.Time
}

func newStore(rec *record, host string) *store {
	return &store{changed: make(chan struct{}), revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, host: host, rec: rec}
}

// listenFor returns an address of the store for one machine, so that its calls can be told apart.
func (s *store) listenFor(machine string) (string, error) {
	listener, err := net.Listen("tcp", s.host+":0")
	if err != nil {
		return "", err
	}
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, machine) }))
	return listener.Addr().String(), nil
}

// setBusy begins or ends an outage in which the store rejects every call.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	s.notify()
}

// put writes a key as the operator and the servers do. It returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, encoded, 0)
	return time.Now()
}

// remove removes a key. It returns the time at which the acknowledgement reaches the caller.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unset(key)
	return time.Now().Add(storeAnswerTime)
}

// lastReader returns the machine that read the store last.
func (s *store) lastReader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reads) == 0 {
		return ""
	}
	return s.reads[len(s.reads)-1].machine
}

// readersSince returns how often each machine has read the store since the time.
func (s *store) readersSince(since time.Time) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for _, r := range s.reads {
		if r.at.After(since) {
			counts[r.machine]++
		}
	}
	return counts
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.history = append(s.history, i)
	s.notify()
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.notify()
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.unset(key)
		}
	}
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

// serve answers one call of a machine.
func (s *store) serve(w http.ResponseWriter, r *http.Request, machine string) {
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	id := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	switch {
	case r.Method == "GET" && r.URL.Path == "/api/kv-key":
		i, ok := s.items[query.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.reads = append(s.reads, read{machine, time.Now()})
		reply(w, 200, struct {
			item
			CurrentRev uint64 `json:"currentRev"`
		}{i, s.revision})
	case r.Method == "GET" && r.URL.Path == "/api/kv-range":
		s.reads = append(s.reads, read{machine, time.Now()})
		s.list(w, query)
	case r.Method == "GET" && r.URL.Path == "/api/kv-watch":
		s.watch(w, query, machine)
	case r.Method == "POST" && r.URL.Path == "/api/kv-txn":
		s.txn(w, r)
	case r.Method == "POST" && r.URL.Path == "/api/kv-lease":
		var call struct {
			TTL string `json:"ttl_time"`
		}
		err := json.NewDecoder(r.Body).Decode(&call)
		ttl, parseErr := time.ParseDuration(call.TTL)
		if err != nil || parseErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.revision++
		s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, 200, map[string]any{"lease": s.revision, "ttl_time": call.TTL})
	case r.Method == "POST" && strings.HasPrefix(r.URL.Path, "/api/kv-keep/"):
		n, _ := strconv.ParseUint(id, 10, 64)
		l := s.leases[n]
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		l.end = time.Now().Add(l.ttl)
		reply(w, 200, map[string]any{"ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
	case r.Method == "DELETE" && strings.HasPrefix(r.URL.Path, "/api/kv-lease-end/"):
		n, _ := strconv.ParseUint(id, 10, 64)
		if s.leases[n] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.endLease(n)
		reply(w, 200, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, query url.Values) {
	const pageItems = 500
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("pathPrefix")) && key > query.Get("after") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	reply(w, 200, map[string]any{"items": items, "hasMore": more, "currentRev": s.revision})
}

// watch waits for changes. The caller holds the lock.
func (s *store) watch(w http.ResponseWriter, query url.Values, machine string) {
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for over := wait == 0; ; {
		if s.busy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.expire()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("pathPrefix")) {
				events = append(events, i)
			}
		}
		if len(events) > 0 || over {
			s.reads = append(s.reads, read{machine, time.Now()})
			reply(w, 200, map[string]any{"events": events, "currentRev": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			over = true
		}
		s.mu.Lock()
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Precondition []struct {
			Key      string
			Revision uint64
		}
		SetKeys []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	failed := []item{}
	for _, p := range call.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			failed = append(failed, s.items[p.Key])
		}
	}
	if len(failed) > 0 {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": failed})
		return
	}
	for _, k := range call.SetKeys {
		if strings.HasPrefix(k.Key, "op/") || strings.HasPrefix(k.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if k.Lease != 0 && s.leases[k.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, k := range call.SetKeys {
		s.set(k.Key, k.Value, k.Lease)
	}
	for _, key := range call.Remove {
		s.unset(key)
	}
	reply(w, 200, map[string]any{"revision": s.revision})
}

func reply(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	w.Write(encoded)
}
