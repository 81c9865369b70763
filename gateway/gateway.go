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
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/limit"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/placement"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/sockets"
)

const (
	readHeaderTimeout = 10 * time.Second       // for a complete request head; the configuration's limit is not applied
	callerIdleTimeout = 90 * time.Second       // for idle caller connections; the configuration's limit on their reuse is not applied
	maxHeaderBytes    = 64 << 10               // of a request head, where the configuration sets no limit
	fetchDialTimeout  = 200 * time.Millisecond // a VM that has not accepted the connection by then is treated as unreachable
)

// Gateway serves callers on one VM and coordinates with the other VMs.
type Gateway struct {
	settings platform.Settings
	self     membership.Member
	log      *zap.Logger
	mesh     *mesh
	peers    *peers
	follower *follower
	backend  *backend
	client   *http.Client   // fetches catalog contents from other VMs
	budget   *daemon.Budget // of what is held for callers

	table        atomic.Pointer[table]
	loaded       chan struct{}                              // closed when the first configuration is in force
	servers      atomic.Pointer[map[string]platform.Server] // by ID
	evacuated    atomic.Pointer[[]string]                   // availability zones that the operators evacuate
	owned        *brokers                                   // of services owned by this VM
	localBrokers *brokers                                   // of this VM's requests only, used when an owner does not answer
	quotas       *quotas                                    // of accounts owned by this VM
	localQuotas  *quotas                                    // used when an account's owner does not answer
	running      *inFlight
	confirmed    *confirmedLimits // limits of servers that the owners know
	pipelined    *pipelineBudget  // of requests that are read or run ahead of their turn
	seq          atomic.Uint64
	active       atomic.Int64 // caller requests in progress
	lastArrival  atomic.Int64 // time of the newest request's arrival, Unix nanoseconds

	schedule  atomic.Pointer[shutdownSchedule] // of a shutdown that begins now
	shutdown  atomic.Pointer[shutdownTimes]    // of the shutdown in progress; nil if there is none
	accepting phase                            // ends when a shutdown refuses new requests and uploads that have not ended
	placing   phase                            // ends when a shutdown refuses the requests that wait for a server
	serving   phase                            // parent of the contexts of all requests; ends when a shutdown gives them up

	logSampler         sampler       // lines about requests served at the first attempt
	limitSampler       sampler       // lines about limits of servers
	callerStallTimeout time.Duration // after the request's deadline, until the write of its answer fails

	pendingMu sync.Mutex
	pending   map[uint64]chan reply
}

// New returns a Gateway with the given settings and opens its socket for datagrams
// of other VMs. It fails if that address is invalid or in use.
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
	overage := limit.Overage{Window: settings.Bounds.QuotaWindow, Fraction: settings.Bounds.QuotaOverage, Requests: settings.Bounds.QuotaAllowance}
	g := &Gateway{
		settings: settings, self: self, log: log, mesh: m, peers: newPeers(self),
		backend: &backend{pool: newBackendPool()},
		budget:  daemon.NewBudget(daemon.CallerLimits(settings.MemoryMB, settings.MaxFDs), log),
		client:  &http.Client{Transport: &http.Transport{DialContext: sockets.Dialer(fetchDialTimeout).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1}},
		owned:   newBrokers(policy, incarnation), localBrokers: newBrokers(policy, incarnation),
		quotas: newQuotas(overage), localQuotas: newQuotas(overage), running: newInFlight(), confirmed: &confirmedLimits{confirmations: map[string]limitConfirmation{}},
		pipelined: newPipelineBudget(settings.MemoryMB),
		loaded:    make(chan struct{}), pending: map[uint64]chan reply{}, accepting: newPhase(), placing: newPhase(), serving: newPhase(),
		callerStallTimeout: callerStallTimeout,
	}
	g.backend.pool.maxOpen = int64(backendDescriptors * float64(settings.MaxFDs))
	g.schedule.Store(newShutdownSchedule(settings.Bounds.GracePeriod))
	g.owned.onAvoidanceChange, g.owned.onLimitChange = g.logAvoidance, g.logLimit
	g.owned.knownLimits = g.localBrokers.serviceLimits
	g.owned.fleetSize, g.localBrokers.fleetSize, g.localBrokers.alone = g.peers.count, g.peers.count, true
	g.seq.Store(incarnation) // sequence numbers of an earlier start must not be reused
	g.follower = newFollower(g, platform.NewStore(settings.Store))
	servers := map[string]platform.Server{}
	g.servers.Store(&servers)
	g.evacuated.Store(&[]string{})
	return g, nil
}

// Run serves until ctx ends, then finishes the accepted requests. It fails if it
// cannot listen on an address of the settings.
func (g *Gateway) Run(ctx context.Context) error {
	g.log.Info("started", zap.Uint64("incarnation", g.self.Incarnation), zap.String("version", daemon.Version), zap.String("callers", g.settings.CallerAddress))
	listener, err := listenForCallers(ctx, g.settings.CallerAddress)
	if err != nil {
		return err
	}
	serving, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	if err := daemon.ServeHTTP(serving, g.settings.ReadyAddress, http.HandlerFunc(g.serveReady)); err != nil {
		return err
	}
	fleet := http.NewServeMux()
	fleet.HandleFunc(contentsPath, g.follower.serveContents)
	if err := daemon.ServeHTTP(serving, g.self.Address, fleet); err != nil {
		return err
	}
	callers := daemon.NewCallerServer(g.newServer(), g.budget.Limit(listener), quietTime)
	go func() {
		if err := callers.Serve(); err != nil {
			g.log.Error("listener for callers failed; restart the VM", zap.Error(err))
		}
	}()
	go g.mesh.receive(serving, func(from string, k kind, body *msgpack.Decoder) error { return g.handleMessage(serving, from, k, body) })
	registration, unregister := context.WithCancel(serving)
	defer unregister()
	var registered sync.WaitGroup
	go func() {
		g.follower.loadInitial(serving)
		registered.Go(func() { g.follower.register(registration) })
		g.follower.announceStart(serving)
		g.follower.follow(serving)
	}()
	go g.tick(serving)
	go g.report(serving)
	<-ctx.Done()
	g.shutDown(callers, unregister)
	g.awaitRemoval(&registered)
	g.log.Info("stopped", zap.Int64("unfinished", g.active.Load()))
	return nil
}

// newServer returns the HTTP server for callers. WriteTimeout applies to what the
// server writes by itself, and replaces the limit of the previous answer; see limitWrite.
func (g *Gateway) newServer() *http.Server {
	return &http.Server{
		Handler: g, BaseContext: func(net.Listener) context.Context { return g.serving }, ConnContext: g.attachPipeline,
		ReadHeaderTimeout: readHeaderTimeout, WriteTimeout: callerStallTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, ErrorLog: zap.NewStdLog(g.log),
	}
}

// Reload applies changed settings, as returned by platform.LoadSettings. Only the
// store's address and the grace period take effect; the other settings need a restart.
// An error is logged and the settings stay as they are.
func (g *Gateway) Reload(settings platform.Settings, err error) {
	if err != nil {
		g.log.Warn("settings not reloaded", zap.Error(err))
		return
	}
	g.follower.store.SetAddress(settings.Store)
	g.schedule.Store(newShutdownSchedule(settings.Bounds.GracePeriod))
	g.log.Info("settings reloaded", zap.String("store", settings.Store), zap.Duration("grace", settings.Bounds.GracePeriod))
}

// serveReady reports to the balancer whether the VM accepts new connections.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if g.isStopping() || g.table.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handleMessage processes one message from another VM.
func (g *Gateway) handleMessage(ctx context.Context, from string, k kind, body *msgpack.Decoder) error {
	g.peers.onMessage(g.now(), from)
	member, known := g.peers.member(from)
	switch k {
	case kindAnnouncement:
		var m announcement
		if err := body.Decode(&m); err != nil {
			return err
		}
		g.handleAnnouncement(m)
	case kindUpdate:
		var m update
		if err := body.Decode(&m); err != nil {
			return err
		}
		if known {
			g.follower.onMessage(ctx, member, &m)
		}
	case kindPlacementRequest:
		var m placementRequest
		if err := body.Decode(&m); err != nil {
			return err
		}
		if known {
			g.handlePlacementRequest(member, &m)
		}
	case kindPlacementReply:
		var m placementReply
		if err := body.Decode(&m); err != nil {
			return err
		}
		g.handlePlacementReply(from, &m)
	case kindRelease:
		var m release
		if err := body.Decode(&m); err != nil {
			return err
		}
		g.release(from, &m)
	case kindTake:
		var m take
		if err := body.Decode(&m); err != nil {
			return err
		}
		if known {
			g.handleTake(member, &m)
		}
	case kindTakeReply:
		var m takeReply
		if err := body.Decode(&m); err != nil {
			return err
		}
		g.deliver(m.Seq, reply{from: from, token: &m})
	case kindSync:
		var m syncReport
		if err := body.Decode(&m); err != nil {
			return err
		}
		g.handleSync(from, member.Address, &m)
	case kindSyncAck:
		var m syncAck
		if err := body.Decode(&m); err != nil {
			return err
		}
		g.handleSyncAck(from, &m)
	}
	return nil
}

// handlePlacementRequest decides about a request of another VM if this VM owns the
// service. Otherwise it replies that it is not the owner.
func (g *Gateway) handlePlacementRequest(from membership.Member, m *placementRequest) {
	if owner := g.peers.ownerOf(m.Service).Name; owner != g.self.Name {
		g.mesh.send(from.Address, kindPlacementReply, &placementReply{Seq: m.Seq, NotOwner: true, Owner: g.peers.nameIfAlive(g.now(), owner)})
		return
	}
	now := g.now()
	decisions := g.owned.withBroker(now, m.Service, func(b *placement.Broker) []placement.Decision {
		for i := range m.Limits {
			b.ObserveLimit(now, m.Limits[i].statement(now, from.Name))
		}
		return b.Request(now, placement.Request{
			ID: placement.RequestID{VM: from.Name, Seq: m.Seq}, Zone: from.Zone, Safe: m.Safe,
			Priority: m.Priority, RouteRank: routeRankOf(m), Left: m.Left, Target: m.Target, Bytes: m.Bytes, Tried: m.Tried, Only: m.Only, Retry: m.Retry, Account: m.Account,
		})
	})
	g.sendDecisions(m.Service, decisions)
}

// handlePlacementReply passes a decision to the request that waits for it. A grant
// that no request waits for is counted; the owner releases it because it is missing
// from this VM's next report of its requests in flight.
func (g *Gateway) handlePlacementReply(from string, m *placementReply) {
	if g.deliver(m.Seq, reply{from: from, slot: m}) || m.Verdict != placement.Granted {
		return
	}
	orphanGrants.Inc()
}

// handleTake takes a token for a request of another VM if this VM owns the
// account. Otherwise it replies that it is not the owner.
func (g *Gateway) handleTake(from membership.Member, m *take) {
	t := g.table.Load()
	owner := g.peers.ownerOf(m.Account).Name
	if t == nil || owner != g.self.Name || !g.peers.hasOwners() {
		g.mesh.send(from.Address, kindTakeReply, &takeReply{Seq: m.Seq, NotOwner: true, Owner: g.peers.nameIfAlive(g.now(), owner)})
		return
	}
	g.quotas.recordLease(g.now(), from.Name)
	account, ok := t.config.Accounts[m.Account]
	result := &takeReply{Seq: m.Seq, OK: true}
	if ok {
		var level float64
		result.OK, result.RetryAfter, level = g.quotas.take(g.now(), &account, g.peers.count(), m.Rank, m.Seen)
		result.Level = &level
	}
	g.mesh.send(from.Address, kindTakeReply, result)
}

// announce tells all other VMs that this VM has started or is leaving.
func (g *Gateway) announce(leaving bool) {
	self := g.self
	self.Leaving = leaving
	for _, member := range g.peers.all() {
		if member.Name != g.self.Name {
			g.mesh.send(member.Address, kindAnnouncement, &announcement{Member: self})
		}
	}
}

// handleAnnouncement records that another VM has started or is leaving, and answers the
// announcement of a start.
func (g *Gateway) handleAnnouncement(m announcement) {
	if g.peers.updateMember(m.Member) {
		g.log.Info("VM joined", zap.String("peer", m.Member.Name), zap.Uint64("incarnation", m.Member.Incarnation))
	}
	if !m.Reply && !m.Member.Leaving {
		self := g.self
		self.Leaving = g.isStopping()
		g.mesh.send(m.Member.Address, kindAnnouncement, &announcement{Member: self, Reply: true})
	}
}

// tick performs the time-based work until ctx ends.
func (g *Gateway) tick(ctx context.Context) {
	for ctx.Err() == nil {
		now := g.now()
		decisions, waiting := g.owned.tick(now)
		g.sendAllDecisions(decisions)
		_, _ = g.localBrokers.tick(now) // returns no decisions: the local Brokers have no queue
		g.peers.expireSuspicions(now)
		g.follower.tick(now)
		g.backend.pool.sweep(now)
		g.budget.UpdateMetrics()
		serverLimits.Set(float64(g.owned.countLimits()))
		coldServers.Set(float64(g.owned.countCold(now)))
		if waiting {
			sleep(ctx, tickPeriod)
			continue
		}
		sleep(ctx, idleTickPeriod)
	}
}

// setServers applies the registered servers and the evacuated zones to all Brokers.
func (g *Gateway) setServers(servers map[string][]platform.Server, evacuated []string, source string) {
	g.setEvacuated(evacuated, source)
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
	g.sendAllDecisions(g.owned.setServers(now, servers, evacuated))
	g.localBrokers.setServers(now, servers, evacuated)
}

// logAvoidance logs that this VM, as owner of the service, starts or stops avoiding
// a server.
func (g *Gateway) logAvoidance(service string, change placement.AvoidanceChange) {
	message := "server avoided"
	if change.Avoided <= 0 {
		message = "server taken back"
	}
	g.log.Info(message, zap.String("service", service), zap.String("server", change.Server), zap.Duration("for", change.Avoided),
		zap.Stringer("outcome", change.Outcome), zap.Duration("took", change.Took), zap.Int("spells", change.FailurePeriods))
}

// server returns the server with the given ID, and whether it may get requests: it
// is registered and not draining.
func (g *Gateway) server(id string) (platform.Server, bool) {
	server, ok := (*g.servers.Load())[id]
	return server, ok && !server.Draining
}

// isRegistered reports whether the server is registered, draining or not.
func (g *Gateway) isRegistered(id string) bool {
	_, ok := (*g.servers.Load())[id]
	return ok
}

// catalogAge returns the time since the catalog was last known to match the store.
func (g *Gateway) catalogAge() time.Duration {
	g.follower.mu.Lock()
	defer g.follower.mu.Unlock()
	return g.follower.catalog.Age(time.Now())
}

func (g *Gateway) nextSeq() uint64 { return g.seq.Add(1) }

func (g *Gateway) now() time.Time { return time.Now() }

var orphanGrants = metrics.GetOrCreateCounter("lacewing_gateway_orphan_grants_total")
