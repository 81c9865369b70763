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
	callerCount      = 28
	meanThinkTime    = 60 * time.Millisecond // mean pause of a caller between requests
	callDeadline     = 4 * time.Second       // longer than routeTimeout, so that the gateway has to end the request
	dialTimeout      = 500 * time.Millisecond
	cancelShare      = 0.02                  // share of calls that the caller cancels
	uploadSize       = 40 << 10              // bytes; more than a socket buffer may accept at once
	previousKeyShare = 0.3                   // share of calls of the account "turning" that use the previous version's key
	cancelAfter      = 20 * time.Millisecond // time from sending a request to its cancellation
)

// call is one request with the result that its caller observed.
type call struct {
	platformtest.Call
	vm             *vm
	incarnation    int // of the VM's process when the request was sent
	version        int // of the configuration that contains the key; 0 for a key that every version contains
	safe           bool
	connected      bool // the request was sent on a connection that had been used before
	cancelled      bool // the caller closes its connection cancelAfter the request was sent
	sentAt, doneAt time.Time
	reply          platformtest.Reply
	err            error
}

// callerGroup is the set of running callers.
type callerGroup struct {
	stopping chan struct{}
	running  sync.WaitGroup
}

func (env *testEnv) startCallers() *callerGroup {
	g := &callerGroup{stopping: make(chan struct{})}
	for i := range callerCount {
		g.running.Go(func() { env.runCaller(i, g.stopping) })
	}
	return g
}

func (g *callerGroup) stop() {
	close(g.stopping)
	g.running.Wait()
}

// runCaller sends requests until stopping is closed. It keeps one connection to each
// VM and replaces it when it has failed or was closed.
func (env *testEnv) runCaller(caller int, stopping <-chan struct{}) {
	random := rand.New(rand.NewPCG(uint64(caller), 2))
	connections := map[*vm]*platformtest.Caller{}
	defer func() {
		for _, c := range connections {
			c.Close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-stopping:
			return
		case <-time.After(time.Duration(random.ExpFloat64() * float64(meanThinkTime))):
		}
		v := env.vms[random.IntN(len(env.vms))]
		connection := connections[v]
		c := env.newCall(random, fmt.Sprintf("c%d-%d", caller, n), v)
		c.connected = connection != nil
		if connection == nil {
			var err error
			if connection, err = platformtest.Dial(v.callerAddress, dialTimeout); err != nil {
				continue // the VM is not listening, so nothing was sent
			}
		}
		delete(connections, v)
		if env.send(connection, c, random.Float64() < cancelShare) {
			connections[v] = connection
		} else {
			connection.Close()
		}
	}
}

func (env *testEnv) newCall(random *rand.Rand, id string, v *vm) *call {
	c := &call{vm: v, Call: platformtest.Call{ID: id, Method: http.MethodPost, Path: "/order/" + id, Key: "steady", Body: "order " + id, Deadline: callDeadline}}
	switch draw := random.Float64(); {
	case draw < 0.25:
		c.Method, c.Path, c.Body, c.safe = http.MethodGet, "/read/"+id, "", true
	case draw < 0.35:
		c.Body = strings.Repeat(id, uploadSize/len(id))
	case draw < 0.6:
		c.Key = "busy"
	case draw < 0.8:
		env.mu.Lock()
		c.version = len(env.versions)
		if c.version > 1 && random.Float64() < previousKeyShare {
			c.version--
		}
		c.Key = env.versions[c.version-1].key
		env.mu.Unlock()
	}
	return c
}

// send sends a call, records its result and reports whether the connection can be reused.
func (env *testEnv) send(connection *platformtest.Caller, c *call, cancel bool) bool {
	c.incarnation, c.cancelled, c.sentAt = c.vm.incarnation(), cancel, time.Now()
	if cancel {
		timer := time.AfterFunc(cancelAfter, connection.Close)
		defer timer.Stop()
	}
	c.reply, c.err = connection.Do(c.Call)
	c.doneAt = time.Now()
	env.mu.Lock()
	env.calls = append(env.calls, c)
	env.mu.Unlock()
	return c.err == nil && !c.reply.Closing && !cancel
}

// checkRecovery checks that every VM serves requests after all faults have ended.
func (env *testEnv) checkRecovery() {
	const requestsPerVM = 20
	for _, v := range env.vms {
		served := 0
		for n := range requestsPerVM {
			connection, err := platformtest.Dial(v.callerAddress, dialTimeout)
			if err != nil {
				env.t.Errorf("RECOVER: %s does not accept connections: %v", v.name, err)
				break
			}
			c := &call{vm: v, Call: platformtest.Call{ID: fmt.Sprintf("after-%s-%d", v.name, n), Method: http.MethodPost, Path: "/order/", Key: "steady", Deadline: callDeadline}}
			env.send(connection, c, false)
			connection.Close()
			if c.err == nil && c.reply.Status == http.StatusOK {
				served++
			}
		}
		if served < requestsPerVM {
			env.t.Errorf("RECOVER: %s served %d of %d requests after all faults had ended", v.name, served, requestsPerVM)
		}
	}
}
