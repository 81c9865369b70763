package soak

import (
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
	"lacewingmount.dev/standin"
)

const (
	minMeanInterval  = 150 * time.Millisecond // each run draws its mean time between faults from minMeanInterval to maxMeanInterval
	maxMeanInterval  = 1500 * time.Millisecond
	maxFaultDuration = 3 * time.Second         // longest duration drawn for a fault; restarts and drains take longer
	burstSize        = 4                       // configurations written in quick succession
	maxStopDelay     = 2 * time.Second         // longest time between the stops of VMs that are stopped in series
	removalDelay     = 2500 * time.Millisecond // time from a server's draining record until the record is removed
	minDoublingTime  = 3 * time.Second         // shortest time in which servers refuse requests and double answers
	maxCopies        = 3                       // late copies of one answer
	doubledEvery     = 10                      // one answer in this many is doubled
	doublingServers  = 3                       // one server in this many doubles none
	settingsReadTime = time.Second             // a process has read its settings by this time after its start
)

// fault is a kind of fault. inject returns when the fault has ended.
type fault struct {
	weight int // relative frequency
	inject func(env *testEnv, p faultParams)
}

// faultParams are the random choices of a fault. They are drawn before it starts, so
// that the time at which faults end does not change the parameters of others.
type faultParams struct {
	vm          *vm
	serverIndex int
	duration    time.Duration
	variant     int
}

var faults = []fault{
	{3, pauseVM}, {3, killVM}, {1, killAllVMs}, {3, terminateVM}, {1, terminateAllVMs}, {2, reloadSettings},
	{3, impairStoreLink}, {2, failStore}, {1, dropHistory}, {3, impairServerLink}, {9, changeServerBehavior}, {2, replaceServer},
	{2, configureOnce}, {1, configureRapidly}, {2, impairCallerLink}, {4, limitServers}, {2, floodVM}, {4, doubleAnswers},
}

// injectFaults starts faults at random times for the duration and waits until all have ended.
func (env *testEnv) injectFaults(duration time.Duration) {
	var order []fault
	for _, f := range faults {
		for range f.weight {
			order = append(order, f)
		}
	}
	mean := minMeanInterval + time.Duration(env.random.Float64()*float64(maxMeanInterval-minMeanInterval))
	var running sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(env.random.ExpFloat64() * float64(mean)))
		f := order[env.random.IntN(len(order))]
		p := faultParams{
			vm: env.vms[env.random.IntN(len(env.vms))], serverIndex: env.random.IntN(1 << 20),
			duration: time.Duration(env.random.Float64() * float64(maxFaultDuration)), variant: env.random.IntN(1 << 20),
		}
		running.Go(func() { f.inject(env, p) })
	}
	running.Wait()
}

func pauseVM(env *testEnv, p faultParams) {
	defer env.beginDisturbance(p.vm.name)()
	defer env.beginDisturbance(p.vm.name + " pauses")()
	p.vm.signal(syscall.SIGSTOP, false)
	time.Sleep(p.duration)
	p.vm.signal(syscall.SIGCONT, false)
}

func killVM(env *testEnv, p faultParams) {
	defer env.beginDisturbance(p.vm.name)()
	p.vm.restart(syscall.SIGKILL, p.duration/2)
}

func killAllVMs(env *testEnv, p faultParams) {
	for _, v := range env.vms {
		defer env.beginDisturbance(v.name)()
	}
	var all sync.WaitGroup
	for _, v := range env.vms {
		all.Go(func() { v.restart(syscall.SIGKILL, p.duration/2) })
	}
	all.Wait()
}

// terminateVM restarts the process with SIGTERM. Depending on the variant, another
// signal or a configuration follows while the process stops.
func terminateVM(env *testEnv, p faultParams) {
	defer env.beginDisturbance(p.vm.name + " stops")()
	stopped := p.vm.incarnation()
	follow := time.AfterFunc(p.duration, func() {
		switch {
		case p.variant%4 == 2:
			env.configure()
		case p.vm.incarnation() != stopped: // another fault has replaced the process
		case p.variant%4 == 0:
			p.vm.signal(syscall.SIGTERM, false)
		case p.variant%4 == 1:
			p.vm.signal(syscall.SIGHUP, false)
		}
	})
	defer follow.Stop()
	p.vm.restart(syscall.SIGTERM, p.duration/2)
}

// terminateAllVMs restarts all VMs one after the other, so that their stops overlap.
func terminateAllVMs(env *testEnv, p faultParams) {
	var all sync.WaitGroup
	for i, v := range env.vms {
		all.Go(func() { terminateVM(env, faultParams{vm: v, duration: p.duration, variant: p.variant + i}) })
		time.Sleep(p.duration / 4)
	}
	all.Wait()
}

// restart ends the process and starts it again after a pause. If another fault is
// already restarting the process, restart only sends the signal and waits for the end.
func (v *vm) restart(s os.Signal, pause time.Duration) {
	v.mu.Lock()
	stopping, incarnation := v.stopping, v.starts
	v.mu.Unlock()
	began := time.Now()
	done := v.signal(s, true)
	select {
	case <-done:
	case <-time.After(bounds.GracePeriod + 4*time.Second): // a paused process is resumed within maxFaultDuration
		v.env.t.Errorf("LOST: %s did not end within %v of signal %v", v.name, time.Since(began), s)
		<-v.signal(syscall.SIGKILL, true)
	}
	if took := time.Since(began); s == syscall.SIGTERM && took > bounds.GracePeriod && v.env.undisturbed(began, time.Now(), v.name) {
		v.env.t.Errorf("LOST: %s took %v to end; the grace period is %v", v.name, took, bounds.GracePeriod)
	}
	if stopping {
		return
	}
	time.Sleep(pause)
	if v.incarnation() == incarnation {
		v.start()
	}
}

// reloadSettings makes the process read its settings again. With an even variant it
// first reads invalid settings, which it must reject without ending.
func reloadSettings(env *testEnv, p faultParams) {
	defer env.beginDisturbance(p.vm.name + " stops")()
	p.vm.settingsMu.Lock()
	defer p.vm.settingsMu.Unlock()
	valid, err := os.ReadFile(p.vm.settings)
	if err != nil {
		env.t.Error(err)
		return
	}
	if p.variant%2 == 0 && p.vm.isUpFor(settingsReadTime) {
		env.replaceSettings(p.vm, "self.nodeName=\n")
		p.vm.signal(syscall.SIGHUP, false)
		time.Sleep(100 * time.Millisecond)
		env.replaceSettings(p.vm, string(valid))
	}
	p.vm.signal(syscall.SIGHUP, false)
}

// isUpFor reports whether the process was started longer ago than the duration.
func (v *vm) isUpFor(duration time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.started) > duration
}

// replaceSettings replaces the VM's settings file. It renames a new file, so that a
// process that starts at the same time reads a complete file.
func (env *testEnv) replaceSettings(v *vm, text string) {
	next := v.settings + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		env.t.Error(err)
		return
	}
	if err := os.Rename(next, v.settings); err != nil {
		env.t.Error(err)
	}
}

// linkFaults are the faults that are injected into loopback links.
var linkFaults = []standin.LinkFaults{
	{CutForward: true}, {CutBackward: true}, {CutForward: true, CutBackward: true}, {Delay: 300 * time.Millisecond}, {SilenceOld: true}, {ResetOld: true},
}

// impairLinks injects faults into links; name is the VM or the server behind them.
func (env *testEnv) impairLinks(name string, p faultParams, links ...*standin.Link) {
	defer env.beginDisturbance(name)()
	faults := linkFaults[p.variant%len(linkFaults)]
	env.logEvent("event=link what=%q faults=\"%+v\" for=%v", name, faults, p.duration)
	for _, l := range links {
		l.SetFaults(faults)
	}
	time.Sleep(p.duration)
	for _, l := range links {
		l.SetFaults(standin.LinkFaults{ResetOld: faults.Delay == 0}) // all faults but a delay lose bytes of open connections, so these are reset
	}
}

func impairStoreLink(env *testEnv, p faultParams) { env.impairLinks(p.vm.name, p, p.vm.store) }

func impairCallerLink(env *testEnv, p faultParams) {
	env.impairLinks(p.vm.name, p, p.vm.callers, p.vm.slowLink)
}

func impairServerLink(env *testEnv, p faultParams) {
	if b := env.backendServer(p.serverIndex); b != nil {
		env.impairLinks(b.ID, p, b.link)
	}
}

func failStore(env *testEnv, p faultParams) {
	defer env.beginDisturbance("store")()
	faults := []platformtest.StoreFaults{{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Silent: true}, {LoseWrites: 5}}[p.variant%4]
	env.logEvent("event=store faults=\"%+v\" for=%v", faults, p.duration)
	env.store.SetFaults(faults)
	time.Sleep(p.duration)
	env.store.SetFaults(platformtest.StoreFaults{})
}

func dropHistory(env *testEnv, _ faultParams) {
	defer env.beginDisturbance("store")()
	env.logEvent("event=history-dropped")
	env.store.DropHistory()
}

// behaviors are the faulty behaviors that changeServerBehavior chooses from.
var behaviors = []platformtest.Behavior{
	platformtest.Fail, platformtest.Shed, platformtest.Truncate, platformtest.Drop, platformtest.MismatchedResponse, platformtest.Unsigned, platformtest.Unavailable,
	platformtest.NoContentLength, platformtest.EarlyResponse, platformtest.Hang, platformtest.TrailingData, platformtest.AddressReused,
}

func changeServerBehavior(env *testEnv, p faultParams) {
	b := env.backendServer(p.serverIndex)
	if b == nil {
		return
	}
	defer env.beginDisturbance(b.ID)()
	behavior, every := behaviors[p.variant%len(behaviors)], 1+p.variant%3
	env.logEvent("event=misbehaves server=%s behavior=%d every=%d for=%v", b.ID, behavior, every, p.duration)
	var mu sync.Mutex
	n := 0
	b.SetBehavior(func(string) platformtest.Behavior {
		mu.Lock()
		defer mu.Unlock()
		if n++; n%every == 0 {
			return behavior
		}
		return platformtest.Respond
	})
	time.Sleep(p.duration)
	b.SetBehavior(func(string) platformtest.Behavior { return platformtest.Respond })
}

// doubleAnswers makes all ready servers refuse every second request and most of them send late
// copies of a part of their answers, as many as the variant says.
func doubleAnswers(env *testEnv, p faultParams) {
	duration, copies := minDoublingTime+p.duration, 1+p.variant%maxCopies
	var restore []func()
	for i := range serverCount {
		b := env.backendServer(i)
		if b == nil {
			break
		}
		defer env.beginDisturbance(b.ID)()
		env.logEvent("event=doubles server=%s copies=%d for=%v", b.ID, copies, duration)
		var requests, answers atomic.Int64
		b.SetBehavior(func(string) platformtest.Behavior {
			return []platformtest.Behavior{platformtest.Respond, platformtest.Shed}[requests.Add(1)%2]
		})
		restore = append(restore, func() { b.SetBehavior(func(string) platformtest.Behavior { return platformtest.Respond }) })
		if i%doublingServers == 0 {
			continue
		}
		b.SetLateCopies(func(string) int {
			if answers.Add(1)%doubledEvery == 0 {
				return copies
			}
			return 0
		})
		restore = append(restore, func() { b.SetLateCopies(func(string) int { return 0 }) })
	}
	time.Sleep(duration)
	for _, f := range restore {
		f()
	}
}

// backendServer returns a ready backend server chosen by the index, or nil if at most
// half of the initial number are left.
func (env *testEnv) backendServer(index int) *backendServer {
	env.mu.Lock()
	defer env.mu.Unlock()
	var ready []*backendServer
	for _, b := range env.servers {
		if b.state == "ready" {
			ready = append(ready, b)
		}
	}
	if len(ready) <= serverCount/2 {
		return nil
	}
	return ready[index%len(ready)]
}

// replaceServer starts a new backend server, drains an old one and removes its record.
func replaceServer(env *testEnv, p faultParams) {
	b := env.backendServer(p.serverIndex)
	if b == nil {
		return
	}
	env.addServer()
	env.mu.Lock()
	if b.state != "ready" {
		env.mu.Unlock()
		return
	}
	b.state, b.drainingSince = "draining", time.Now()
	env.register(b)
	env.logEvent("event=drains server=%s", b.ID)
	env.mu.Unlock()
	time.Sleep(removalDelay)
	env.mu.Lock()
	defer env.mu.Unlock()
	b.state = "gone"
	env.store.Remove(platform.ServersPrefix + b.ID)
	env.logEvent("event=gone server=%s", b.ID)
}

func configureOnce(env *testEnv, _ faultParams) { env.configure() }

func configureRapidly(env *testEnv, p faultParams) {
	for range burstSize {
		env.configure()
		time.Sleep(p.duration / 10)
	}
}

// awaitRecovery waits until all VMs are ready again.
func (env *testEnv) awaitRecovery() {
	env.logEvent("event=faults-ended")
	env.waitReady()
}

// restartInSeries restarts VMs with SIGTERM, at times drawn from the seed, so that their
// stops overlap: all, or with a balancer only so many that it uses the others.
func (env *testEnv) restartInSeries() {
	order := env.stops.Perm(len(env.vms))
	if env.balanced {
		order = order[:len(order)/2]
	}
	var all sync.WaitGroup
	for _, i := range order {
		after := time.Duration(env.stops.Float64() * float64(maxStopDelay))
		p := faultParams{vm: env.vms[i], duration: maxStopDelay / 2, variant: env.stops.IntN(4)}
		all.Go(func() {
			time.Sleep(after)
			terminateVM(env, p)
		})
	}
	all.Wait()
	env.waitReady()
}

// stopVMs ends all VMs' processes with SIGTERM, at the same time or one after the other.
func (env *testEnv) stopVMs() {
	spread := time.Duration(env.stops.IntN(2)) * maxStopDelay
	var all sync.WaitGroup
	for _, v := range env.vms {
		after := time.Duration(env.stops.Float64() * float64(spread))
		all.Go(func() {
			time.Sleep(after)
			defer env.beginDisturbance(v.name + " stops")()
			select {
			case <-v.signal(syscall.SIGTERM, true):
			case <-time.After(bounds.GracePeriod):
				env.t.Errorf("LOST: %s did not end within the grace period of %v", v.name, bounds.GracePeriod)
			}
		})
	}
	all.Wait()
}

// killRemaining kills the VMs' processes that are still running.
func (env *testEnv) killRemaining() {
	for _, v := range env.vms {
		v.signal(syscall.SIGCONT, true)
		<-v.signal(syscall.SIGKILL, true)
	}
}
