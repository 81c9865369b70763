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
	slowCallerCount  = 16                    // callers of slowService, in addition
	slowLinkEvery    = 4                     // one caller in this many uses the VMs' slow links
	meanThinkTime    = 60 * time.Millisecond // mean pause of a caller between requests
	callDeadline     = 4 * time.Second       // longer than routeTimeout, so that the gateway has to end the request
	slowDeadline     = 7 * time.Second       // the same for slowTimeout
	dialTimeout      = 500 * time.Millisecond
	cancelShare      = 0.02                  // share of calls that the caller cancels
	uploadSize       = 40 << 10              // bytes; more than a socket buffer may accept at once
	previousKeyShare = 0.3                   // share of calls of the account "turning" that use the previous version's key
	probeInterval    = time.Second           // between two probes of a VM by the balancer
	maxMisses        = 2                     // failed probes in a row, after which a VM gets no new connections
	cancelAfter      = 20 * time.Millisecond // time from sending a request to its cancellation
)

// call is one request with the result that its caller observed.
type call struct {
	platformtest.Call
	vm             *vm
	incarnation    int           // of the VM's process when the request was sent
	service        string        // of the request's route
	timeout        time.Duration // of the request's route
	viaSlowLink    bool          // sent through the VM's slow link
	version        int           // of the configuration that contains the key; 0 for a key that every version contains
	safe           bool
	connected      bool // the request was sent on a connection that had been used before
	refused        bool // the VM did not accept the connection, although the link did
	cancelled      bool // the caller closes its connection cancelAfter the request was sent
	sentAt, doneAt time.Time
	writtenAt      time.Time // when the last byte was sent; zero if not all were
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
	for i := range callerCount + slowCallerCount {
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
		if connection == nil {
			v = env.balance(random, v)
			connection = connections[v]
		}
		c := env.newCall(random, fmt.Sprintf("c%d-%d", caller, n), v)
		if caller >= callerCount {
			c = newSlowCall(random, c.ID, v)
		}
		c.connected, c.viaSlowLink = connection != nil, caller%slowLinkEvery == 0
		if connection == nil {
			address := v.callersAddr
			if c.viaSlowLink {
				address = v.slowAddr
			}
			var err error
			if connection, err = platformtest.Dial(address, dialTimeout); err != nil {
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

// balance returns the VM that the balancer selects for a new connection. Without a
// balancer it is the given one.
func (env *testEnv) balance(random *rand.Rand, v *vm) *vm {
	if !env.balanced {
		return v
	}
	var available []*vm
	for _, v := range env.vms {
		if v.misses.Load() < maxMisses {
			available = append(available, v)
		}
	}
	if 2*len(available) < len(env.vms) {
		available = env.vms
	}
	return available[random.IntN(len(available))]
}

// probe asks the VM periodically whether it is ready, as the users' balancer does.
func (v *vm) probe() {
	for v.env.ctx.Err() == nil {
		if v.isReady() {
			v.misses.Store(0)
		} else {
			v.misses.Add(1)
		}
		time.Sleep(probeInterval)
	}
}

func (env *testEnv) newCall(random *rand.Rand, id string, v *vm) *call {
	c := newOrder(id, v)
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

func newOrder(id string, v *vm) *call {
	return &call{vm: v, service: service, timeout: routeTimeout, Call: platformtest.Call{
		ID: id, Method: http.MethodPost, Path: "/order/" + id, Key: "steady", Body: "order " + id, Deadline: callDeadline,
	}}
}

// newSlowCall returns a call of slowService.
func newSlowCall(random *rand.Rand, id string, v *vm) *call {
	c := newOrder(id, v)
	c.service, c.timeout, c.Deadline, c.Path = slowService, slowTimeout, slowDeadline, "/slow-order/"+id
	if random.Float64() < 0.25 {
		c.Method, c.Path, c.Body, c.safe = http.MethodGet, "/slow-read/"+id, "", true
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
	c.doneAt, c.writtenAt = time.Now(), connection.SentAt()
	c.refused = c.vm.callers.Refused(connection.LocalAddr()) || c.vm.slowLink.Refused(connection.LocalAddr())
	env.mu.Lock()
	env.calls = append(env.calls, c)
	env.mu.Unlock()
	return c.err == nil && !c.reply.Closing && !cancel
}

// checkRecovery checks that every VM serves requests after all faults have ended.
func (env *testEnv) checkRecovery() {
	var all sync.WaitGroup
	for _, v := range env.vms {
		all.Go(func() { env.checkVMRecovery(v) })
	}
	all.Wait()
}

func (env *testEnv) checkVMRecovery(v *vm) {
	const requests = 20
	served := 0
	for n := range requests {
		connection, err := platformtest.Dial(v.callersAddr, dialTimeout)
		if err != nil {
			env.t.Errorf("RECOVER: %s does not accept connections: %v", v.name, err)
			break
		}
		c := newOrder(fmt.Sprintf("after-%s-%d", v.name, n), v)
		env.send(connection, c, false)
		connection.Close()
		if c.err == nil && c.reply.Status == http.StatusOK {
			served++
		}
	}
	if served < requests {
		env.t.Errorf("RECOVER: %s served %d of %d requests after all faults had ended", v.name, served, requests)
	}
}
