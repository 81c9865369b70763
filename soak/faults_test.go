package soak

import (
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
	"lacewingmount.dev/standin"
)

const (
	shortestGap = 150 * time.Millisecond // mean pause between faults; each run draws one
	longestGap  = 1500 * time.Millisecond
	longest     = 3 * time.Second // of one fault
	stormSize   = 4               // configurations in quick succession
	removeAfter = 2500 * time.Millisecond
	startTime   = time.Second // in which a process has read its settings
)

// fault is one kind of trouble; it returns when the trouble has ended.
type fault struct {
	weight int
	strike func(w *world, d draw)
}

// draw is what a fault may choose, drawn before it begins so that its end does
// not change the choices of others.
type draw struct {
	vm     *vm
	server int
	span   time.Duration
	kind   int
}

var faults = []fault{
	{3, freeze}, {3, kill}, {1, killAll}, {3, terminate}, {1, terminateAll}, {2, hangUp},
	{3, cutStore}, {2, failStore}, {1, dropHistory}, {3, harmServerLink}, {9, misbehave}, {2, leave},
	{2, configureOnce}, {1, configureStorm}, {2, harmCallers},
}

// injectFaults strikes at random moments for the span and waits for the end of all.
func (w *world) injectFaults(span time.Duration) {
	var order []fault
	for _, f := range faults {
		for range f.weight {
			order = append(order, f)
		}
	}
	mean := shortestGap + time.Duration(w.random.Float64()*float64(longestGap-shortestGap))
	var running sync.WaitGroup
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(time.Duration(w.random.ExpFloat64() * float64(mean)))
		f := order[w.random.IntN(len(order))]
		d := draw{
			vm: w.vms[w.random.IntN(len(w.vms))], server: w.random.IntN(1 << 20),
			span: time.Duration(w.random.Float64() * float64(longest)), kind: w.random.IntN(1 << 20),
		}
		running.Go(func() { f.strike(w, d) })
	}
	running.Wait()
}

func freeze(w *world, d draw) {
	defer w.disturb(d.vm.name)()
	d.vm.signal(syscall.SIGSTOP, false)
	time.Sleep(d.span)
	d.vm.signal(syscall.SIGCONT, false)
}

func kill(w *world, d draw) {
	defer w.disturb(d.vm.name)()
	d.vm.restart(syscall.SIGKILL, d.span/2)
}

func killAll(w *world, d draw) {
	for _, v := range w.vms {
		defer w.disturb(v.name)()
	}
	var all sync.WaitGroup
	for _, v := range w.vms {
		all.Go(func() { v.restart(syscall.SIGKILL, d.span/2) })
	}
	all.Wait()
}

func terminate(w *world, d draw) {
	defer w.disturb(d.vm.name + " stops")()
	d.vm.restart(syscall.SIGTERM, d.span/2)
}

func terminateAll(w *world, d draw) {
	for _, v := range w.vms {
		terminate(w, draw{vm: v, span: d.span / 4})
	}
}

// restart ends the process and starts it again after a pause. A process that
// somebody else restarts already is only signalled.
func (v *vm) restart(s os.Signal, pause time.Duration) {
	v.mu.Lock()
	ending, life := v.ending, v.lives
	v.mu.Unlock()
	began := time.Now()
	done := v.signal(s, true)
	select {
	case <-done:
	case <-time.After(bounds.GracePeriod + 4*time.Second): // a frozen process is woken within longest
		v.w.t.Errorf("LOST: %s does not end within %v of %v", v.name, time.Since(began), s)
		<-v.signal(syscall.SIGKILL, true)
	}
	if took := time.Since(began); s == syscall.SIGTERM && took > bounds.GracePeriod && v.w.calm(began, time.Now(), v.name) {
		v.w.t.Errorf("LOST: %s took %v to end; grace is %v", v.name, took, bounds.GracePeriod)
	}
	if ending {
		return
	}
	time.Sleep(pause)
	if v.life() == life {
		v.start()
	}
}

// hangUp has the settings read again, sometimes broken ones.
func hangUp(w *world, d draw) {
	defer w.disturb(d.vm.name + " stops")()
	d.vm.reading.Lock()
	defer d.vm.reading.Unlock()
	good, err := os.ReadFile(d.vm.settings)
	if err != nil {
		w.t.Error(err)
		return
	}
	if d.kind%2 == 0 && d.vm.hasRunFor(startTime) {
		w.rewrite(d.vm, "self.nodeName=\n")
		d.vm.signal(syscall.SIGHUP, false)
		time.Sleep(100 * time.Millisecond)
		w.rewrite(d.vm, string(good))
	}
	d.vm.signal(syscall.SIGHUP, false)
}

// hasRunFor reports whether the process has started so long ago.
func (v *vm) hasRunFor(span time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.started) > span
}

func (w *world) rewrite(v *vm, text string) {
	// By renaming, as a process that starts meanwhile needs a whole file.
	next := v.settings + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		w.t.Error(err)
		return
	}
	if err := os.Rename(next, v.settings); err != nil {
		w.t.Error(err)
	}
}

// linkFaults are what a loopback link does to connections.
var linkFaults = []standin.LinkFaults{
	{CutForward: true}, {CutBackward: true}, {CutForward: true, CutBackward: true}, {Delay: 300 * time.Millisecond}, {SilenceOld: true}, {ResetOld: true},
}

func (w *world) harm(l *standin.Link, what string, d draw) {
	defer w.disturb(what)()
	faults := linkFaults[d.kind%len(linkFaults)]
	w.note("event=link what=%q faults=\"%+v\" for=%v", what, faults, d.span)
	l.SetFaults(faults)
	time.Sleep(d.span)
	l.SetFaults(standin.LinkFaults{ResetOld: faults.Delay == 0}) // bytes were lost inside these streams
}

func cutStore(w *world, d draw) { w.harm(d.vm.store, d.vm.name, d) }

func harmCallers(w *world, d draw) { w.harm(d.vm.callers, d.vm.name, d) }

func harmServerLink(w *world, d draw) {
	if b := w.backend(d.server); b != nil {
		w.harm(b.link, b.ID, d)
	}
}

func failStore(w *world, d draw) {
	defer w.disturb("store")()
	faults := []platformtest.StoreFaults{{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Silent: true}, {LoseWrites: 5}}[d.kind%4]
	w.note("event=store faults=\"%+v\" for=%v", faults, d.span)
	w.store.SetFaults(faults)
	time.Sleep(d.span)
	w.store.SetFaults(platformtest.StoreFaults{})
}

func dropHistory(w *world, _ draw) {
	defer w.disturb("store")()
	w.note("event=history-dropped")
	w.store.DropHistory()
}

// behaviors are what a backend server may do to a part of its requests.
var behaviors = []platformtest.Behavior{
	platformtest.Fail, platformtest.Shed, platformtest.Truncate, platformtest.Drop, platformtest.MismatchedResponse, platformtest.Unsigned, platformtest.Unavailable,
	platformtest.NoContentLength, platformtest.EarlyResponse, platformtest.Hang, platformtest.TrailingData, platformtest.AddressReused,
}

func misbehave(w *world, d draw) {
	b := w.backend(d.server)
	if b == nil {
		return
	}
	defer w.disturb(b.ID)()
	behavior, every := behaviors[d.kind%len(behaviors)], 1+d.kind%3
	w.note("event=misbehaves server=%s behavior=%d every=%d for=%v", b.ID, behavior, every, d.span)
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
	time.Sleep(d.span)
	b.SetBehavior(func(string) platformtest.Behavior { return platformtest.Respond })
}

// backend picks a backend server that has not left.
func (w *world) backend(pick int) *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	var present []*backend
	for _, b := range w.servers {
		if b.state == "ready" {
			present = append(present, b)
		}
	}
	if len(present) <= serverCount/2 {
		return nil
	}
	return present[pick%len(present)]
}

// leave replaces a backend server: a new one starts, the old one drains and ends.
func leave(w *world, d draw) {
	b := w.backend(d.server)
	if b == nil {
		return
	}
	w.addServer()
	w.mu.Lock()
	if b.state != "ready" {
		w.mu.Unlock()
		return
	}
	b.state, b.leaving = "draining", time.Now()
	w.register(b)
	w.note("event=drains server=%s", b.ID)
	w.mu.Unlock()
	time.Sleep(removeAfter)
	w.mu.Lock()
	defer w.mu.Unlock()
	b.state = "gone"
	w.store.Remove(platform.ServersPrefix + b.ID)
	w.note("event=gone server=%s", b.ID)
}

func configureOnce(w *world, _ draw) { w.configure() }

func configureStorm(w *world, d draw) {
	for range stormSize {
		w.configure()
		time.Sleep(d.span / 10)
	}
}

// endFaults waits until all VMs are ready again.
func (w *world) endFaults() {
	w.note("event=faults-ended")
	w.waitReady()
}

// stopVMs ends the fleet the planned way.
func (w *world) stopVMs() {
	var all sync.WaitGroup
	for _, v := range w.vms {
		all.Go(func() {
			select {
			case <-v.signal(syscall.SIGTERM, true):
			case <-time.After(bounds.GracePeriod):
				w.t.Errorf("LOST: %s does not end within %v", v.name, bounds.GracePeriod)
			}
		})
	}
	all.Wait()
}

// killVMs ends what is left of the processes that this run started.
func (w *world) killVMs() {
	for _, v := range w.vms {
		v.signal(syscall.SIGCONT, true)
		<-v.signal(syscall.SIGKILL, true)
	}
}
