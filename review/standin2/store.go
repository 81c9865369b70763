package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeDelay = 4 * time.Millisecond // of each answer
	pageItems  = 500
)

// item is one key of the store, or its removal, as the wire shows it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's store: keys with revisions, watches, leases and
// conditional writes.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	next     uint64
	changed  chan struct{}
	address  string
	loseFor  time.Duration     // until the next write is executed, which gets no answer; 0 to answer it
	say      func(text string) // about the write that is lost
}

// loseNextWrite makes the next transaction get no answer; it is executed late, if its leases
// still exist then.
func (s *store) loseNextWrite(late time.Duration, say func(text string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseFor, s.say = late, say
}

func startStore(ip string) (*store, error) {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, next: 100, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.get)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(listener, mux) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.mu.Lock()
			s.expire(time.Now())
			s.mu.Unlock()
		}
	}()
	return s, nil
}

// put writes a key without a lease, as operators and servers do.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, value, 0)
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.del(key)
}

func (s *store) set(key string, value []byte, lease uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if known, ok := s.items[key]; ok {
		i.Created = known.Created
	}
	s.items[key] = i
	s.note(i)
}

func (s *store) del(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) note(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		s.del(key)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	time.Sleep(storeDelay)
	content, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"currentRev": revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		Current uint64 `json:"currentRev"`
	}{i, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var found []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "hasMore": more, "currentRev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var events []item
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("pathPrefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": []item{}, "currentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is a write under conditions.
type transaction struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"precondition"`
	Set []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"setKeys"`
	Remove []string `json:"remove"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var call transaction
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	late, say := s.loseFor, s.say
	s.loseFor = 0
	s.mu.Unlock()
	if late > 0 {
		say("the store gets a write and loses its answer")
		time.AfterFunc(late, func() {
			status, _ := s.execute(&call)
			say(fmt.Sprintf("the store executes that write: status %d", status))
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler) // a channel on which a response is lost returns nothing further
	}
	status, revision := s.execute(&call)
	reply(w, status, map[string]any{"revision": revision, "items": []item{}})
}

// execute executes a transaction.
func (s *store) execute(call *transaction) (status int, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status = http.StatusOK
	for _, p := range call.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			status = http.StatusPreconditionFailed
		}
	}
	for _, set := range call.Set {
		if set.Lease != 0 && s.leases[set.Lease] == nil {
			status = http.StatusNotFound
		}
	}
	if status == http.StatusOK {
		for _, set := range call.Set {
			s.set(set.Key, set.Value, set.Lease)
		}
		for _, key := range call.Remove {
			s.del(key)
		}
	}
	return status, s.revision
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL string `json:"ttl_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	ttl, err := time.ParseDuration(call.TTL)
	if err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	s.next++
	id := s.next
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_time": call.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.ends = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl_time": fmt.Sprintf("%dms", l.ttl.Milliseconds())})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{})
}
