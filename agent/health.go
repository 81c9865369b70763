package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/config"
	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/health"
	"lacewingmount.dev/health/probe"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

const (
	judgePeriod  = 250 * time.Millisecond
	judgeIdle    = 10 * time.Second // without reports, a judge is dropped
	judgeTimeout = 400 * time.Millisecond
	homesTried   = 2
)

// judges holds the judges of the services that this VM is the home of.
type judges struct {
	vm     string
	log    *zap.Logger
	events *timeline.Ring
	state  *state
	peers  *peers

	mu       sync.Mutex
	services map[string]*judged
}

// judged is the judge of one service.
type judged struct {
	mu       sync.Mutex
	judge    *health.Detector
	service  *config.Service
	revision uint64
	reported time.Time
}

func newJudges(vm string, peers *peers, state *state, log *zap.Logger, events *timeline.Ring) *judges {
	return &judges{
		vm: vm, log: log, events: events, state: state, peers: peers,
		services: map[string]*judged{},
	}
}

// report answers wire.MethodHealth: it passes the entry's report to the home of
// the service. A home that does not answer is avoided for a while, and the VM
// next in line is asked.
func (j *judges) report(ctx context.Context, report wire.HealthReport) (wire.HealthVerdict, error) {
	var err error
	for range homesTried {
		home, self, ok := j.peers.home("service/" + report.Service)
		if !ok || self {
			return j.observe(ctx, report)
		}
		var verdict wire.HealthVerdict
		call, cancel := context.WithTimeout(ctx, judgeTimeout)
		err = j.peers.client(home).Call(call, wire.MethodOwnerHealth, report, &verdict)
		cancel()
		if err == nil {
			return verdict, nil
		}
		j.peers.avoid(home)
	}
	return wire.HealthVerdict{}, err
}

// observe answers wire.MethodOwnerHealth.
func (j *judges) observe(_ context.Context, report wire.HealthReport) (wire.HealthVerdict, error) {
	now := time.Now()
	known := j.judged(now, report.Service)
	if known == nil {
		return wire.HealthVerdict{}, errs.New(errs.Unavailable, "no service "+report.Service+" in the configuration of "+j.vm,
			"wait until the configuration has reached this VM")
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	known.reported = now
	return known.judge.HandleReport(now, &report), nil
}

// judged returns the judge of a service, up to date with the configuration, or
// nil if there is no such service.
func (j *judges) judged(now time.Time, name string) *judged {
	snapshot, _ := j.state.current()
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.services[name]
	if known != nil && snapshot.Document != nil && known.revision == snapshot.Document.Revision {
		return known
	}
	service := findService(snapshot.Document, name)
	if service == nil {
		return nil
	}
	if known == nil {
		known = &judged{judge: health.NewDetector(j.vm, now, health.ServiceFromConfig(service)), reported: now}
		j.services[name] = known
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	known.service, known.revision = service, snapshot.Document.Revision
	known.judge.SetService(now, health.ServiceFromConfig(service))
	return known
}

func findService(document *config.Document, name string) *config.Service {
	if document == nil {
		return nil
	}
	for i := range document.Sections {
		for k := range document.Sections[i].Services {
			if service := &document.Sections[i].Services[k]; service.Name == name {
				return service
			}
		}
	}
	return nil
}

// run judges and probes until ctx ends.
func (j *judges) run(ctx context.Context) {
	ticker := time.NewTicker(judgePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for name, known := range j.active(now) {
				j.advance(ctx, now, name, known)
			}
		}
	}
}

// active drops the judges that no VM reports to and returns the others.
func (j *judges) active(now time.Time) map[string]*judged {
	j.mu.Lock()
	defer j.mu.Unlock()
	services := make(map[string]*judged, len(j.services))
	for name, known := range j.services {
		known.mu.Lock()
		idle := now.Sub(known.reported) > judgeIdle
		known.mu.Unlock()
		if idle {
			delete(j.services, name)
			continue
		}
		services[name] = known
	}
	return services
}

func (j *judges) advance(ctx context.Context, now time.Time, name string, known *judged) {
	members := len(j.peers.inService())
	known.mu.Lock()
	known.judge.SetMembers(members)
	events := known.judge.Advance(now)
	probes := known.judge.Probes(now)
	service := known.service
	known.mu.Unlock()
	for _, event := range events {
		daemon.RecordServerChange(j.log, j.events, name, event)
	}
	for _, server := range service.Servers {
		for _, due := range probes {
			if due == server.Name {
				go known.probe(ctx, server, service.Probe)
			}
		}
	}
}

func (k *judged) probe(ctx context.Context, server config.BackendServer, path string) {
	result := probe.Get(ctx, server.Address, path)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.judge.RecordProbe(time.Now(), health.ProbeResult{Server: server.Name, Answered: result.Answered, Draining: result.Draining})
}
