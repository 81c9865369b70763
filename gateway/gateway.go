package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/sockets"
)

const (
	readHeaderTimeout = 10 * time.Second        // bounds a caller that sends no whole head; the configuration's limit is shorter
	callerIdleTimeout = 90 * time.Second        // callers reuse connections up to the configuration's limit, which is shorter
	maxHeaderBytes    = 64 << 10                // bounds heads where the configuration does not
	refuseAfter       = 3200 * time.Millisecond // of a shutdown: the balancer has taken the VM out after 2 to 3 s
	leaveRepeats      = 4                       // of the word that this VM leaves; datagrams are lost at times
	graceMargin       = 300 * time.Millisecond  // between the last answer and SIGKILL
	idleCheck         = 20 * time.Millisecond   // of a shutdown that waits for its last requests
	fetchDialTimeout  = 200 * time.Millisecond  // a VM that does not accept by then is cut off
)

// Gateway is the process of one VM.
type Gateway struct {
	settings platform.Settings
	self     membership.Member
	log      *zap.Logger
	mesh     *mesh
	peers    *peers
	follower *follower
	backend  *backend
	client   *http.Client // of contents of other VMs

	table     atomic.Pointer[table]
	loaded    chan struct{}                              // closed when there is a first table
	servers   atomic.Pointer[map[string]platform.Server] // by ID
	homes     *brokers                                   // of services that have their home here
	own       *brokers                                   // of this VM's own requests
	quotas    *quotas                                    // of accounts that have their home here
	ownQuotas *quotas                                    // for the time without a home
	running   *inFlight
	seq       atomic.Uint64
	active    atomic.Int64 // callers' requests in progress
	stopping  atomic.Bool  // not ready; answers close their connections
	refusing  atomic.Bool  // new requests are refused

	lines       sampler
	refuseAfter time.Duration // of a shutdown; refuseAfter but in tests

	pendingMu sync.Mutex
	pending   map[uint64]chan reply
}

// New opens the VM's sockets. Run serves on them.
func New(settings platform.Settings, log *zap.Logger) (*Gateway, error) {
	address := net.JoinHostPort(settings.IP, strconv.Itoa(settings.FleetPort))
	incarnation := uint64(time.Now().UnixNano())
	self := membership.Member{Name: settings.VM, Zone: settings.Zone, Address: address, Incarnation: incarnation, Capacity: settings.Cores}
	m, err := openMesh(address, self.Name, log)
	if err != nil {
		return nil, err
	}
	policy := placement.Policy{
		Retries:    placement.RetryBudget{Ratio: settings.Bounds.RetryRatio, Allowance: settings.Bounds.RetryAllowance, Window: settings.Bounds.RetryWindow},
		MinServers: settings.Bounds.MinServers,
	}
	g := &Gateway{
		settings: settings, self: self, log: log, mesh: m, peers: newPeers(self),
		backend: &backend{pool: newBackendPool()},
		client:  &http.Client{Transport: &http.Transport{DialContext: sockets.Dialer(fetchDialTimeout).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1}},
		homes:   newBrokers(policy, incarnation), own: newBrokers(policy, incarnation),
		quotas: newQuotas(), ownQuotas: newQuotas(), running: newInFlight(),
		loaded: make(chan struct{}), pending: map[uint64]chan reply{}, refuseAfter: refuseAfter,
	}
	g.homes.changed = g.logBelief
	g.seq.Store(incarnation) // numbers of an earlier start must not come again
	g.follower = newFollower(g, platform.NewStore(settings.Store))
	servers := map[string]platform.Server{}
	g.servers.Store(&servers)
	return g, nil
}

// Run serves until ctx ends, then finishes the accepted requests.
func (g *Gateway) Run(ctx context.Context) error {
	g.log.Info("started", zap.Uint64("incarnation", g.self.Incarnation), zap.String("version", daemon.Version), zap.String("callers", g.settings.CallerAddress))
	callers, err := daemon.Listen(ctx, g.settings.CallerAddress)
	if err != nil {
		return err
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	if err := daemon.ServeHTTP(life, g.settings.ReadyAddress, http.HandlerFunc(g.serveReady)); err != nil {
		return err
	}
	fleet := http.NewServeMux()
	fleet.HandleFunc(contentsPath, g.follower.serveContents)
	if err := daemon.ServeHTTP(life, g.self.Address, fleet); err != nil {
		return err
	}
	server := &http.Server{Handler: g, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() {
		if err := server.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("callers are no longer served; restart the VM", zap.Error(err))
		}
	}()
	go g.mesh.receive(life, func(from string, k kind, body *msgpack.Decoder) error { return g.handle(life, from, k, body) })
	registration, unregister := context.WithCancel(life)
	defer unregister()
	var registered sync.WaitGroup
	go func() {
		g.follower.loadFirst(life)
		registered.Go(func() { g.follower.register(registration) })
		g.follower.join(life)
		g.follower.follow(life)
	}()
	go g.tick(life)
	go g.report(life)
	<-ctx.Done()
	g.shutDown(server, unregister)
	registered.Wait()
	g.log.Info("stopped", zap.Int64("unfinished", g.active.Load()))
	return nil
}

// Reload takes over changed settings, as platform.LoadSettings returned them.
// The address of the store changes at once; those of this VM need a restart.
func (g *Gateway) Reload(settings platform.Settings, err error) {
	if err != nil {
		g.log.Warn("settings not reloaded", zap.Error(err))
		return
	}
	g.follower.store.SetAddress(settings.Store)
	g.log.Info("settings reloaded", zap.String("store", settings.Store))
}

// shutDown lets the balancer take the VM out, finishes what was accepted and ends.
func (g *Gateway) shutDown(server *http.Server, unregister func()) {
	began := time.Now()
	g.log.Info("stopping", zap.Int64("active", g.active.Load()))
	g.stopping.Store(true)
	g.peers.leave()
	g.greet(true)
	for time.Since(began) < g.refuseAfter {
		time.Sleep(g.refuseAfter / leaveRepeats)
		g.greet(true)
	}
	g.refusing.Store(true)
	for g.active.Load() > 0 && time.Since(began) < g.settings.Bounds.GracePeriod-graceMargin {
		time.Sleep(idleCheck)
	}
	if err := server.Close(); err != nil {
		g.log.Warn("listener not closed", zap.Error(err))
	}
	unregister()
}

// serveReady tells the balancer whether the VM takes new connections.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if g.stopping.Load() || g.table.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handle takes over one message of another VM.
func (g *Gateway) handle(ctx context.Context, from string, k kind, body *msgpack.Decoder) error {
	g.peers.heard(g.now(), from)
	member, known := g.peers.member(from)
	switch k {
	case kindHello:
		var m hello
		if err := body.Decode(&m); err != nil {
			return err
		}
		g.greeted(m)
	case kindUpdate:
		var m update
		if err := body.Decode(&m); err != nil {
			return err
		}
		if known {
			g.follower.heard(ctx, member, &m)
		}
	case kindAsk:
		var m ask
		if err := body.Decode(&m); err != nil {
			return err
		}
		if known {
			g.asked(member, &m)
		}
	case kindAnswer:
		var m answer
		if err := body.Decode(&m); err != nil {
			return err
		}
		g.answered(from, &m)
	case kindEnd:
		var m end
		if err := body.Decode(&m); err != nil {
			return err
		}
		g.end(from, &m)
	case kindTake:
		var m take
		if err := body.Decode(&m); err != nil {
			return err
		}
		if known {
			g.takeFor(member, &m)
		}
	case kindTaken:
		var m taken
		if err := body.Decode(&m); err != nil {
			return err
		}
		g.deliver(m.Seq, reply{from: from, token: &m})
	case kindSync:
		var m syncReport
		if err := body.Decode(&m); err != nil {
			return err
		}
		g.quotas.lend(g.now(), from)
		g.decideAll(g.homes.sync(g.now(), from, m.Running))
		if known {
			g.mesh.send(member.Address, kindSyncAck, &syncAck{})
		}
	case kindSyncAck:
	}
	return nil
}

// asked decides about a request of another VM, if this VM is the home.
func (g *Gateway) asked(from membership.Member, m *ask) {
	if home := g.peers.homeOf(m.Service).Name; home != g.self.Name {
		g.mesh.send(from.Address, kindAnswer, &answer{Seq: m.Seq, NotHome: true, Home: g.peers.alive(g.now(), home)})
		return
	}
	now := g.now()
	decisions := g.homes.with(now, m.Service, func(b *placement.Broker) []placement.Decision {
		return b.Request(now, placement.Request{
			ID: placement.RequestID{VM: from.Name, Seq: m.Seq}, Zone: from.Zone, Safe: m.Safe,
			Priority: m.Priority, Left: m.Left, Target: m.Target, Bytes: m.Bytes, Tried: m.Tried, Retry: m.Retry, Account: m.Account,
		})
	})
	g.decide(m.Service, decisions)
}

// answered hands a decision to the request that waits for it. A slot that no
// request waits for is given back.
func (g *Gateway) answered(from string, m *answer) {
	if g.deliver(m.Seq, reply{from: from, ask: m}) || m.Verdict != placement.Granted {
		return
	}
	orphanGrants.Inc()
}

// takeFor takes a token for a request of another VM, if this VM is the home.
func (g *Gateway) takeFor(from membership.Member, m *take) {
	t := g.table.Load()
	home := g.peers.homeOf(m.Account).Name
	if t == nil || home != g.self.Name {
		g.mesh.send(from.Address, kindTaken, &taken{Seq: m.Seq, NotHome: true, Home: g.peers.alive(g.now(), home)})
		return
	}
	g.quotas.lend(g.now(), from.Name)
	account, ok := t.config.Accounts[m.Account]
	result := &taken{Seq: m.Seq, OK: true}
	if ok {
		result.OK, result.RetryAfter = g.quotas.take(g.now(), &account, g.peers.count())
	}
	g.mesh.send(from.Address, kindTaken, result)
}

// greet tells all VMs that this one started or leaves.
func (g *Gateway) greet(leaving bool) {
	self := g.self
	self.Leaving = leaving
	for _, member := range g.peers.all() {
		if member.Name != g.self.Name {
			g.mesh.send(member.Address, kindHello, &hello{Member: self})
		}
	}
}

// greeted takes over the start or the end of another VM.
func (g *Gateway) greeted(m hello) {
	if g.peers.learn(m.Member) {
		g.log.Info("VM joined", zap.String("peer", m.Member.Name), zap.Uint64("incarnation", m.Member.Incarnation))
	}
	if !m.Reply && !m.Member.Leaving {
		self := g.self
		self.Leaving = g.stopping.Load()
		g.mesh.send(m.Member.Address, kindHello, &hello{Member: self, Reply: true})
	}
}

// tick runs what is due by time alone.
func (g *Gateway) tick(ctx context.Context) {
	for ctx.Err() == nil {
		now := g.now()
		decisions, waiting := g.homes.tick(now)
		g.decideAll(decisions)
		_, _ = g.own.tick(now) // decides nothing: no request waits in a VM's own view
		g.peers.retry(now)
		g.follower.tick(now)
		g.backend.pool.sweep(now)
		if waiting {
			pause(ctx, tickPeriod)
			continue
		}
		pause(ctx, idleTick)
	}
}

// report tells the homes what this VM has in flight, and lends them its rights.
func (g *Gateway) report(ctx context.Context) {
	for ctx.Err() == nil {
		homes := map[string]membership.Member{}
		for group := range g.peers.groups() {
			home := g.peers.homeOfGroup(group)
			homes[home.Name] = home
		}
		for name, home := range homes {
			running := g.running.report(func(service string) bool { return g.peers.homeOf(service).Name == name })
			if name == g.self.Name {
				g.quotas.lend(g.now(), name)
				g.decideAll(g.homes.sync(g.now(), name, running))
				continue
			}
			g.mesh.send(home.Address, kindSync, &syncReport{Running: running})
		}
		pause(ctx, syncPeriod)
	}
}

// setServers puts the registered servers into force.
func (g *Gateway) setServers(servers map[string][]platform.Server, source string) {
	byID := map[string]platform.Server{}
	for _, list := range servers {
		for _, server := range list {
			byID[server.ID] = server
		}
	}
	before := *g.servers.Load()
	g.servers.Store(&byID)
	g.logServers(before, byID, source)
	now := g.now()
	g.decideAll(g.homes.setServers(now, servers))
	g.own.setServers(now, servers)
}

func (g *Gateway) logServers(before, after map[string]platform.Server, source string) {
	for id, server := range after {
		old, known := before[id]
		if !known || old.Draining != server.Draining || old.Born != server.Born {
			g.log.Info("server", zap.String("server", id), zap.String("service", server.Service), zap.String("address", server.Address),
				zap.Bool("draining", server.Draining), zap.Int64("born", server.Born), zap.String("source", source))
		}
	}
	for id, server := range before {
		if _, known := after[id]; !known {
			g.log.Info("server gone", zap.String("server", id), zap.String("service", server.Service), zap.String("source", source))
		}
	}
}

// logBelief logs that the home begins or ends to avoid a server.
func (g *Gateway) logBelief(service string, change placement.AvoidanceChange) {
	message := "server avoided"
	if change.Avoided <= 0 {
		message = "server taken back"
	}
	g.log.Info(message, zap.String("service", service), zap.String("server", change.Server), zap.Duration("for", change.Avoided),
		zap.Stringer("outcome", change.Outcome), zap.Duration("took", change.Took), zap.Int("spells", change.FailurePeriods))
}

// server returns a server that may get requests.
func (g *Gateway) server(id string) (platform.Server, bool) {
	server, ok := (*g.servers.Load())[id]
	return server, ok && !server.Draining
}

// age is the time for which this VM may have missed changes.
func (g *Gateway) age() time.Duration {
	g.follower.mu.Lock()
	defer g.follower.mu.Unlock()
	return g.follower.catalog.Age(time.Now())
}

func (g *Gateway) nextSeq() uint64 { return g.seq.Add(1) }

func (g *Gateway) now() time.Time { return time.Now() }

var orphanGrants = metrics.GetOrCreateCounter("lacewing_gateway_orphan_grants_total")
