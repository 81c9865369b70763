package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// Settings are the settings of an entry process. They do not change while it runs.
type Settings struct {
	VM         string          `yaml:"vm" validate:"required"`
	Zone       string          `yaml:"zone" validate:"required"`
	Listen     string          `yaml:"listen" validate:"hostname_port"` // address for callers
	Admin      string          `yaml:"admin" validate:"hostname_port"`
	Agent      string          `yaml:"agent" validate:"hostname_port"`
	Profile    bool            `yaml:"profile"`                    // serves runtime profiles on the admin address
	MemoryMB   float64         `yaml:"memory_mb" validate:"gte=0"` // of the process; 0 for no limit
	MaxFDs     int             `yaml:"max_fds" validate:"gte=0"`   // descriptors of the process; 0 for no limit
	DrainDelay daemon.Duration `yaml:"drain_delay"`                // from reporting not ready until new connections are no longer accepted
}

// Entry is the reverse proxy of one VM. It is an http.Handler.
type Entry struct {
	settings        Settings
	log             *zap.Logger
	events          *timeline.Ring
	agent           *wire.Client
	admin           *daemon.Admin
	currentSnapshot atomic.Pointer[wire.Snapshot] // the snapshot in use
	table           atomic.Pointer[Table]         // compiled from currentSnapshot
	servers         *serverPicker
	budget          *daemon.Budget // of what is held for callers
	stages          []Stage
	settler         *settler
	served          *metrics.Counter
	refused         refusalCounters
	duration        *metrics.Histogram

	authority       *authority
	inFlight        *inFlight
	stopping        atomic.Bool
	acceptsUntil    atomic.Pointer[time.Time] // end of the time in which a stopping entry serves new requests; nil before the stop
	reportRequested chan struct{}
}

// New returns an entry that uses the agent at the address in the settings.
func New(settings Settings, log *zap.Logger) *Entry {
	events := timeline.NewRing(timeline.NewClock(time.Now), settings.VM, "lacewing-entry")
	agent := wire.NewClient(settings.Agent, events.Clock())
	claimer := NewAgentClaimer(agent)
	settler := newSettler(claimer)
	servers := newServerPicker(settings, agent, events, log)
	e := &Entry{
		settings: settings, log: log, events: events, agent: agent, admin: daemon.NewAdmin(events), servers: servers, settler: settler,
		served:    metrics.GetOrCreateCounter("lacewing_requests_total"),
		duration:  metrics.GetOrCreateHistogram("lacewing_request_seconds"),
		budget:    daemon.NewBudget(daemon.CallerLimits(settings.MemoryMB, settings.MaxFDs), log),
		authority: &authority{}, inFlight: newInFlight(), reportRequested: make(chan struct{}, 1),
	}
	e.currentSnapshot.Store(&wire.Snapshot{})
	metrics.GetOrCreateGauge("lacewing_in_flight_requests", func() float64 { return float64(e.inFlight.count()) })
	e.stages = []Stage{
		routeStage{},
		e.newIdentifyStage(),
		memoryStage{e.budget},
		admitStage{admitter: NewTokenCache(agent)},
		claimStage{claimer: claimer, settler: settler},
		newQueueStage(settler),
		newForwardStage(shedRecorder{servers}, settler),
	}
	return e
}

// Run serves requests until ctx ends, then shuts down after all requests in flight
// have finished. It returns an error if an address cannot be listened on.
func (e *Entry) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	if e.settings.Profile {
		e.admin.EnableProfiling()
	}
	e.admin.Router().GET("/servers", func(c echo.Context) error { return c.JSON(http.StatusOK, e.servers.status()) })
	if err := e.admin.Start(background, e.settings.Admin); err != nil {
		return err
	}
	listener, err := listenForCallers(ctx, e.settings.Listen)
	if err != nil {
		return err
	}
	server := e.serve(listener)
	go e.followSnapshots(background)
	go e.reportToAgent(background)
	go e.updateMetrics(background)
	go e.watchReadiness(background)
	go e.servers.run(background)
	e.events.Add(timeline.Event{Kind: timeline.KindStarted})
	e.log.Info("started", zap.String("listen", e.settings.Listen))
	<-ctx.Done()
	return e.shutdown(server)
}

const (
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 75 * time.Second
)

func newServer(e *Entry) *http.Server {
	return &http.Server{
		Handler:           e,
		ConnContext:       withCallerConn,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// metricsPeriod is the time between updates of the gauges of what is held for callers.
const metricsPeriod = time.Second

func (e *Entry) updateMetrics(ctx context.Context) {
	for daemon.Sleep(ctx, metricsPeriod) {
		e.budget.UpdateMetrics()
	}
}

// ServeHTTP runs one request through the stages.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.served.Inc()
	x := &Exchange{Writer: w, Request: r, Table: e.table.Load(), Started: time.Now(), RequestID: newRequestID(), stopping: &e.stopping}
	defer e.duration.UpdateDuration(x.Started)
	e.inFlight.begin(x)
	defer e.inFlight.end(x)
	defer e.budget.BeginRequest(r.RemoteAddr)()
	defer func() { x.hold.Close() }()
	defer func() { x.permit.release(); x.slot.leave() }()
	if x.Table == nil {
		e.refuse(x, "start", refuseNotRun(http.StatusServiceUnavailable, ReasonNotReady, "the VM has no configuration yet").retryAfter(time.Second))
		return
	}
	if until := e.acceptsUntil.Load(); until != nil && x.Started.After(*until) {
		e.refuse(x, "start", refuseNotRun(http.StatusServiceUnavailable, ReasonStopping, "the VM stops").retryAfter(time.Second))
		return
	}
	for _, stage := range e.stages {
		if refusal := stage.Serve(x); refusal != nil {
			e.refuse(x, stage.Name(), refusal)
			return
		}
	}
}

func (e *Entry) refuse(x *Exchange, stage string, refusal *Refusal) {
	x.announceClose()
	refusal.write(x.Writer)
	if refusal.Outcome == OutcomeReplayed {
		return
	}
	e.refused.get(refusalClass{stage, refusal.Reason, refusal.Outcome}).Inc()
	e.events.Add(timeline.Event{
		Kind: timeline.KindRefused, Account: x.AccountName(), Request: x.RequestID,
		Reason: string(refusal.Reason) + " " + string(refusal.Outcome),
	})
}

// newRequestID returns a UUIDv7, which identifies the request in the timeline and to
// the backend server.
func newRequestID() string {
	return uuid.Must(uuid.NewV7()).String()
}
