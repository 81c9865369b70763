package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"lacewingmount.dev/platform/platformtest"
)

const (
	callers      = 28
	think        = 60 * time.Millisecond // mean pause of a caller between requests
	callDeadline = 4 * time.Second       // longer than the route's timeout, so that the gateway has to end the request
	dialTimeout  = 500 * time.Millisecond
	leaveShare   = 0.02     // of the calls whose caller goes away
	bodySize     = 40 << 10 // of uploads; more than a socket's buffer may take at once
	oldKeyShare  = 0.3      // of the calls with a key of the account "turning" that use the key before
	leaveAfter   = 20 * time.Millisecond
)

// call is one request and what its caller saw.
type call struct {
	platformtest.Call
	vm         *vm
	life       int // of the VM's process, when the request was sent
	version    int // of the configuration that holds the key; 0 for a key of all versions
	safe       bool
	connected  bool // the connection was there before the request
	left       bool // the caller went away before the answer
	sent, done time.Time
	reply      platformtest.Reply
	err        error
}

// load is the callers that run.
type load struct {
	ending chan struct{}
	all    sync.WaitGroup
}

func (w *world) startCallers() *load {
	l := &load{ending: make(chan struct{})}
	for i := range callers {
		l.all.Go(func() { w.callAgain(i, l.ending) })
	}
	return l
}

func (l *load) stop() {
	close(l.ending)
	l.all.Wait()
}

// callAgain sends requests over kept connections until the process at the other
// end is gone.
func (w *world) callAgain(caller int, ending <-chan struct{}) {
	random := rand.New(rand.NewPCG(uint64(caller), 2))
	connections := map[*vm]*platformtest.Caller{}
	defer func() {
		for _, c := range connections {
			c.Close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-ending:
			return
		case <-time.After(time.Duration(random.ExpFloat64() * float64(think))):
		}
		v := w.vms[random.IntN(len(w.vms))]
		connection := connections[v]
		c := w.newCall(random, fmt.Sprintf("c%d-%d", caller, n), v)
		c.connected = connection != nil
		if connection == nil {
			var err error
			if connection, err = platformtest.Dial(v.front, dialTimeout); err != nil {
				continue // the VM does not listen: nothing was sent
			}
		}
		delete(connections, v)
		if w.perform(connection, c, random.Float64() < leaveShare) {
			connections[v] = connection
		} else {
			connection.Close()
		}
	}
}

func (w *world) newCall(random *rand.Rand, id string, v *vm) *call {
	c := &call{vm: v, Call: platformtest.Call{ID: id, Method: http.MethodPost, Path: "/order/" + id, Key: "steady", Body: "order " + id, Deadline: callDeadline}}
	switch draw := random.Float64(); {
	case draw < 0.25:
		c.Method, c.Path, c.Body, c.safe = http.MethodGet, "/read/"+id, "", true
	case draw < 0.35:
		c.Body = strings.Repeat(id, bodySize/len(id))
	case draw < 0.6:
		c.Key = "busy"
	case draw < 0.8:
		w.mu.Lock()
		c.version = len(w.versions)
		if c.version > 1 && random.Float64() < oldKeyShare {
			c.version--
		}
		c.Key = w.versions[c.version-1].key
		w.mu.Unlock()
	}
	return c
}

// perform sends one call and records it. It reports whether the connection may be used again.
func (w *world) perform(connection *platformtest.Caller, c *call, leave bool) bool {
	c.life, c.left, c.sent = c.vm.life(), leave, time.Now()
	if leave {
		timer := time.AfterFunc(leaveAfter, connection.Close)
		defer timer.Stop()
	}
	c.reply, c.err = connection.Do(c.Call)
	c.done = time.Now()
	w.mu.Lock()
	w.calls = append(w.calls, c)
	w.mu.Unlock()
	return c.err == nil && !c.reply.Closing && !leave
}

// checkRecovery sends requests through every VM after all faults have ended.
func (w *world) checkRecovery() {
	const each = 20
	for _, v := range w.vms {
		served := 0
		for n := range each {
			connection, err := platformtest.Dial(v.front, dialTimeout)
			if err != nil {
				w.t.Errorf("RECOVER: %s does not listen: %v", v.name, err)
				break
			}
			c := &call{vm: v, Call: platformtest.Call{ID: fmt.Sprintf("after-%s-%d", v.name, n), Method: http.MethodPost, Path: "/order/", Key: "steady", Deadline: callDeadline}}
			w.perform(connection, c, false)
			connection.Close()
			if c.err == nil && c.reply.Status == http.StatusOK {
				served++
			}
		}
		if served < each {
			w.t.Errorf("RECOVER: %s serves %d of %d requests after all faults have ended", v.name, served, each)
		}
	}
}
