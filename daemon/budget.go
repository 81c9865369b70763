package daemon

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lacewingmount.dev/daemon/memory"
)

const (
	// connectionBytes is what package net/http allocates for a connection: two buffers of
	// 4 KB, the stacks of its goroutines and its own state.
	connectionBytes = 24 << 10
	// headCopies is how often the bytes of a request head are in memory: as read and as parsed.
	headCopies = 2
	// headWait limits the wait of a connection for the memory of a request head.
	headWait = time.Second
	// refusalLogRate limits the log lines of refusals, a second and cause.
	refusalLogRate = 5
	// HeapShare is the share of a process's memory limit that Go may use. The program itself
	// and data in sockets take the rest.
	HeapShare = 0.75
	// ownMemory is the part of Go's memory in bytes that stays for the process itself and for
	// garbage that is not collected yet; maxOwnShare limits it on small VMs.
	ownMemory   = 32 << 20
	maxOwnShare = 0.75
)

// CallerLimits returns the limits of what is held for callers, for a process that may use
// memoryMB of memory and maxFDs descriptors. 0 sets no limit.
func CallerLimits(memoryMB float64, maxFDs int) memory.Limits {
	heap := memoryMB * HeapShare * (1 << 20)
	return memory.Limits{
		Bytes:       int64(heap - min(ownMemory, heap*maxOwnShare)),
		Connections: maxFDs / 2,
		Requests:    maxFDs / 4,
	}
}

// Budget limits what a process holds for its callers. It is safe for concurrent use.
type Budget struct {
	log         *zap.Logger
	mu          sync.Mutex
	decisions   *memory.Budget
	freed       chan struct{} // closed when bytes are released or a Hold is ended, if anybody waits
	anyWaiting  bool
	connections map[string]*callerSocket // by the caller's address
}

// NewBudget returns a Budget with the limits.
func NewBudget(limits memory.Limits, log *zap.Logger) *Budget {
	sampled := log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, refusalLogRate, 0)
	}))
	return &Budget{log: sampled, decisions: memory.NewBudget(limits), freed: make(chan struct{}), connections: map[string]*callerSocket{}}
}

// Refused is the error of a Hold that gets no memory. Its text is a memory.Verdict.
type Refused memory.Verdict

// Error implements error.
func (r Refused) Error() string { return "no memory for the caller: " + string(r) }

// Verdict returns the decision.
func (r Refused) Verdict() memory.Verdict { return memory.Verdict(r) }

// Hold is what one request holds. A nil Hold is not limited.
type Hold struct {
	budget *Budget
	holder *memory.Holder
	end    func(memory.Phase)
}

// Open opens a Hold of a request of the account. If the request has to end, end is called with
// the phase that it is in, at most once and never after Close. It must not block or use
// the Budget. Open fails with Refused if there are too many requests in progress.
func (b *Budget) Open(account string, end func(memory.Phase)) (*Hold, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	holder, ended, ok := b.decisions.Open(time.Now(), account)
	b.endAll(ended, memory.NoRequest)
	if !ok {
		b.report(memory.NoRequest, "refused", nil)
		return nil, Refused(memory.NoRequest)
	}
	h := &Hold{budget: b, holder: holder, end: end}
	holder.Value = h
	return h, nil
}

// Close releases all that the Hold holds.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.decisions.Close(h.holder)
	h.budget.noteFreed()
}

// Announce reports why a body of the announced length cannot be received; nil if it can.
func (h *Hold) Announce(bytes int64) error {
	if h == nil {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.budget.result(h, h.budget.decisions.Announce(time.Now(), h.holder, bytes))
}

// Reserve charges bytes before they are allocated. It waits until there is room, and fails
// with Refused, or with the cause of ctx's end.
func (h *Hold) Reserve(ctx context.Context, bytes int) error {
	if h == nil {
		return nil
	}
	b := h.budget
	for {
		b.mu.Lock()
		verdict, ended := b.decisions.Reserve(time.Now(), h.holder, int64(bytes))
		b.endAll(ended, "no-memory")
		if verdict != memory.Wait {
			err := b.result(h, verdict)
			b.mu.Unlock()
			return err
		}
		b.anyWaiting = true
		freed := b.freed
		b.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// TryReserve charges bytes if there is room. It does not wait.
func (h *Hold) TryReserve(bytes int) bool {
	if h == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.budget.decisions.TryReserve(h.holder, int64(bytes))
}

// Release returns bytes that are not used any more.
func (h *Hold) Release(bytes int) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.decisions.Release(h.holder, int64(bytes))
	h.budget.noteFreed()
}

// Moved records bytes that were received from the caller or delivered to it.
func (h *Hold) Moved(bytes int) {
	if h == nil || bytes == 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.decisions.Move(time.Now(), h.holder, int64(bytes))
}

// SetPhase records what the request does. It reports false if the request has to end.
func (h *Hold) SetPhase(phase memory.Phase) bool {
	if h == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.budget.decisions.SetPhase(time.Now(), h.holder, phase)
}

// Ended reports whether the request has to end.
func (h *Hold) Ended() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.holder.Ended()
}

// UpdateMetrics sets the gauges of what is held.
func (b *Budget) UpdateMetrics() {
	b.mu.Lock()
	defer b.mu.Unlock()
	heldBytes.Set(float64(b.decisions.Used()))
	openConnections.Set(float64(b.decisions.Connections()))
}

var (
	heldBytes       = metrics.GetOrCreateGauge("lacewing_callers_held_bytes", nil)
	openConnections = metrics.GetOrCreateGauge("lacewing_callers_connections", nil)
)

// result returns the error for a verdict, which it counts and logs. The caller holds the lock.
func (b *Budget) result(h *Hold, verdict memory.Verdict) error {
	if verdict == memory.Granted {
		return nil
	}
	if verdict != memory.AlreadyEnded { // counted when it was ended
		b.report(verdict, "refused", h.holder)
	}
	return Refused(verdict)
}

// endAll ends the requests and connections. The caller holds the lock.
func (b *Budget) endAll(ended []*memory.Holder, cause memory.Verdict) {
	for _, holder := range ended {
		switch v := holder.Value.(type) {
		case *Hold:
			b.report(cause, "ended", holder)
			v.end(holder.Phase())
		case *callerSocket:
			b.report(cause, "connection closed", holder)
			_ = v.Conn.Close() // the server notices and closes v itself
			v.cancel()
		}
	}
	if len(ended) > 0 {
		b.noteFreed() // an ended Hold may wait
	}
}

// report counts and logs a refusal. The caller holds the lock.
func (b *Budget) report(cause memory.Verdict, what string, holder *memory.Holder) {
	metrics.GetOrCreateCounter(`lacewing_callers_refused_total{cause="` + string(cause) + `",what="` + what + `"}`).Inc()
	var bytes int64
	if holder != nil {
		bytes = holder.Bytes()
	}
	b.log.Warn("caller "+what+" for its use of resources: "+string(cause), zap.Int64("bytes", bytes),
		zap.Int64("held", b.decisions.Used()), zap.Int("connections", b.decisions.Connections()), zap.Int("requests", b.decisions.Requests()))
}

// noteFreed wakes those that wait for memory. The caller holds the lock.
func (b *Budget) noteFreed() {
	if b.anyWaiting {
		close(b.freed)
		b.freed, b.anyWaiting = make(chan struct{}), false
	}
}

// Limit returns a listener whose connections are charged to the Budget, with the heads of
// the requests that come on them.
func (b *Budget) Limit(listener net.Listener) net.Listener { return &limitedListener{listener, b} }

type limitedListener struct {
	net.Listener
	budget *Budget
}

// SyscallConn implements syscall.Conn.
func (l *limitedListener) SyscallConn() (syscall.RawConn, error) { return syscallConn(l.Listener) }

// Accept implements net.Listener. Connections for which there is no room are closed.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if socket := l.budget.openConnection(conn); socket != nil {
			return socket, nil
		}
		_ = conn.Close()
	}
}

// callerSocket is a connection of a caller that is charged to the Budget.
type callerSocket struct {
	net.Conn
	budget  *Budget
	address string // of the caller
	holder  *memory.Holder
	cancel  context.CancelFunc // ends its wait for memory
	ctx     context.Context

	// Protected by the lock of the Budget.
	requests int // that are served now
	head     int // bytes that were read outside of requests, or before the request that is served
}

func (b *Budget) openConnection(conn net.Conn) *callerSocket {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	holder, ended, ok := b.decisions.OpenConnection(now)
	b.endAll(ended, memory.NoConnection)
	if !ok {
		b.report(memory.NoConnection, "refused", nil)
		return nil
	}
	socket := &callerSocket{Conn: conn, budget: b, address: conn.RemoteAddr().String(), holder: holder}
	socket.ctx, socket.cancel = context.WithCancel(context.Background())
	holder.Value = socket
	verdict, ended := b.decisions.Reserve(now, holder, connectionBytes)
	b.endAll(ended, memory.NoMemory)
	switch verdict {
	case memory.Granted:
	case memory.Wait: // those that end for it do so within moments
		b.decisions.Charge(holder, connectionBytes)
	default:
		b.report(verdict, "refused", holder)
		b.decisions.Close(holder)
		socket.cancel()
		return nil
	}
	b.connections[socket.address] = socket
	return socket
}

// Read implements net.Conn. It charges the bytes of request heads.
func (s *callerSocket) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		if refused := s.chargeHead(n); refused != nil {
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: refused} // closes the connection; on other errors package net/http answers 400
		}
	}
	return n, err
}

func (s *callerSocket) chargeHead(n int) error {
	s.budget.mu.Lock()
	if s.requests > 0 {
		s.budget.mu.Unlock()
		return nil // a body, which its request charges
	}
	s.budget.decisions.Move(time.Now(), s.holder, int64(n))
	s.budget.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, headWait)
	defer cancel()
	bytes := headCopies * n
	if err := (&Hold{budget: s.budget, holder: s.holder}).Reserve(ctx, bytes); err != nil {
		return err
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.head += bytes
	return nil
}

// Close implements net.Conn.
func (s *callerSocket) Close() error {
	s.cancel()
	s.budget.mu.Lock()
	s.budget.decisions.Close(s.holder)
	if s.budget.connections[s.address] == s {
		delete(s.budget.connections, s.address)
	}
	s.budget.noteFreed()
	s.budget.mu.Unlock()
	return s.Conn.Close()
}

// CloseWrite ends the outgoing direction.
func (s *callerSocket) CloseWrite() error {
	if half, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return s.Close()
}

// SetLinger sets what Close does with unsent bytes, as net.TCPConn.SetLinger does.
func (s *callerSocket) SetLinger(seconds int) error {
	if socket, ok := s.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return errors.New("the connection has no option to linger; use a TCP connection")
}

// SyscallConn implements syscall.Conn.
func (s *callerSocket) SyscallConn() (syscall.RawConn, error) { return syscallConn(s.Conn) }

func syscallConn(socket any) (syscall.RawConn, error) {
	if conn, ok := socket.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, syscall.EINVAL
}

// BeginRequest records that a request is served on the connection of the caller with the
// address, which identifies the connection however it is wrapped. finish must be called at
// the request's end.
func (b *Budget) BeginRequest(address string) (finish func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	socket := b.connections[address]
	if socket == nil {
		return func() {}
	}
	socket.requests++
	b.decisions.SetPhase(time.Now(), socket.holder, memory.Kept)
	return func() { b.finishRequest(socket) }
}

// Discard records that the request on the connection of the caller with the address is
// refused and only the rest of its body is read. Others may get its connection from then on.
func (b *Budget) Discard(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if socket := b.connections[address]; socket != nil && socket.requests == 1 {
		b.decisions.SetIdle(time.Now(), socket.holder)
	}
}

func (b *Budget) finishRequest(socket *callerSocket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	socket.requests--
	if socket.requests > 0 || b.connections[socket.address] != socket {
		return
	}
	b.decisions.SetPhase(time.Now(), socket.holder, memory.Idle)
	b.decisions.Release(socket.holder, int64(socket.head))
	socket.head = 0
	b.noteFreed()
}
