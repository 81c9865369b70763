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
	detectorInterval    = 250 * time.Millisecond // between two updates of a detector
	detectorIdleTimeout = 10 * time.Second       // a detector without reports is removed after it
	reportTimeout       = 400 * time.Millisecond // of one call to a service's owner
	ownersPerReport     = 2                      // maximum number of owners that one report is sent to
)

// detectors holds the failure detectors of the services that this VM owns.
type detectors struct {
	vm     string
	log    *zap.Logger
	events *timeline.Ring
	state  *state
	peers  *peers

	mu       sync.Mutex
	services map[string]*serviceDetector
}

// serviceDetector is the failure detector of one service.
type serviceDetector struct {
	mu         sync.Mutex
	detector   *health.Detector
	service    *config.Service
	revision   uint64
	lastReport time.Time
}

func newDetectors(vm string, peers *peers, state *state, log *zap.Logger, events *timeline.Ring) *detectors {
	return &detectors{
		vm: vm, log: log, events: events, state: state, peers: peers,
		services: map[string]*serviceDetector{},
	}
}

// report handles wire.MethodHealth: it forwards the entry's report to the owner of
// the service. An owner that does not answer is avoided for a short time, and the
// report goes to the VM that then becomes the owner.
func (d *detectors) report(ctx context.Context, report wire.HealthReport) (wire.HealthVerdict, error) {
	var err error
	for range ownersPerReport {
		owner, self, ok := d.peers.owner("service/" + report.Service)
		if !ok || self {
			return d.observe(ctx, report)
		}
		var verdict wire.HealthVerdict
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		err = d.peers.client(owner).Call(call, wire.MethodOwnerHealth, report, &verdict)
		cancel()
		if err == nil {
			return verdict, nil
		}
		d.peers.avoid(owner)
	}
	return wire.HealthVerdict{}, err
}

// observe handles wire.MethodOwnerHealth as the owner of the service.
func (d *detectors) observe(_ context.Context, report wire.HealthReport) (wire.HealthVerdict, error) {
	now := time.Now()
	sd := d.serviceDetector(now, report.Service)
	if sd == nil {
		return wire.HealthVerdict{}, errs.New(errs.Unavailable, "no service "+report.Service+" in the configuration of "+d.vm,
			"wait until the configuration has reached this VM")
	}
	sd.mu.Lock()
	defer sd.mu.Unlock()
	sd.lastReport = now
	return sd.detector.HandleReport(now, &report), nil
}

// serviceDetector returns the detector of a service, with the current configuration, or
// nil if there is no such service.
func (d *detectors) serviceDetector(now time.Time, name string) *serviceDetector {
	snapshot, _ := d.state.current()
	d.mu.Lock()
	defer d.mu.Unlock()
	sd := d.services[name]
	if sd != nil && snapshot.Document != nil && sd.revision == snapshot.Document.Revision {
		return sd
	}
	service := findService(snapshot.Document, name)
	if service == nil {
		return nil
	}
	if sd == nil {
		sd = &serviceDetector{detector: health.NewDetector(d.vm, now, health.ServiceFromConfig(service)), lastReport: now}
		d.services[name] = sd
	}
	sd.mu.Lock()
	defer sd.mu.Unlock()
	sd.service, sd.revision = service, snapshot.Document.Revision
	sd.detector.SetService(now, health.ServiceFromConfig(service))
	return sd
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

// run updates the detectors and probes servers until ctx ends.
func (d *detectors) run(ctx context.Context) {
	ticker := time.NewTicker(detectorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for name, sd := range d.active(now) {
				d.advance(ctx, now, name, sd)
			}
		}
	}
}

// active removes the detectors that no VM reports to and returns the others, by service.
func (d *detectors) active(now time.Time) map[string]*serviceDetector {
	d.mu.Lock()
	defer d.mu.Unlock()
	services := make(map[string]*serviceDetector, len(d.services))
	for name, sd := range d.services {
		sd.mu.Lock()
		idle := now.Sub(sd.lastReport) > detectorIdleTimeout
		sd.mu.Unlock()
		if idle {
			delete(d.services, name)
			continue
		}
		services[name] = sd
	}
	return services
}

func (d *detectors) advance(ctx context.Context, now time.Time, name string, sd *serviceDetector) {
	members := len(d.peers.inService())
	sd.mu.Lock()
	sd.detector.SetMembers(members)
	events := sd.detector.Advance(now)
	probes := sd.detector.Probes(now)
	service := sd.service
	sd.mu.Unlock()
	for _, event := range events {
		daemon.RecordServerChange(d.log, d.events, name, event)
	}
	for _, server := range service.Servers {
		for _, due := range probes {
			if due == server.Name {
				go sd.probe(ctx, server, service.Probe)
			}
		}
	}
}

func (s *serviceDetector) probe(ctx context.Context, server config.BackendServer, path string) {
	result := probe.Get(ctx, server.Address, path)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.RecordProbe(time.Now(), health.ProbeResult{Server: server.Name, Answered: result.Answered, Draining: result.Draining})
}
