package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
)

// LinkSettings are the settings of a process that runs fake network links.
type LinkSettings struct {
	Admin string     `yaml:"admin" validate:"hostname_port"`
	Links []LinkAddr `yaml:"links" validate:"min=1,dive"`
}

// LinkAddr is one link: connections to Listen are forwarded to Target.
type LinkAddr struct {
	Name   string `yaml:"name" validate:"required"`
	Listen string `yaml:"listen" validate:"hostname_port"`
	Target string `yaml:"target" validate:"hostname_port"`
}

// LinkFaults are the faults of one link. A cut direction discards bytes without
// closing the connection, like a lost network path.
type LinkFaults struct {
	CutForward  bool          `json:"cut_forward"`  // from the caller to the target
	CutBackward bool          `json:"cut_backward"` // from the target to the caller
	SilenceOld  bool          `json:"silence_old"`  // discards all further bytes of connections that are open when it is set
	ResetOld    bool          `json:"reset_old"`    // resets the connections that are open when it is set
	Delay       time.Duration `json:"delay"`        // added to each read, nanoseconds
}

// Link forwards TCP connections and injects faults into them.
type Link struct {
	target     string
	slow       bool
	mu         sync.Mutex
	faults     LinkFaults
	generation int // bytes of connections from an earlier generation are discarded
	open       map[*net.TCPConn]bool
	refused    map[string]bool // addresses of callers whose connections the target did not accept
	done       <-chan struct{}
}

// The properties of a slow link. With small segments and a small buffer, the longest
// answers do not fit into the kernel buffers of the connection to the target.
const (
	slowSegment = 256       // bytes
	slowBuffer  = 4 << 10   // bytes
	slowRate    = 160 << 10 // bytes per second from the target to the caller
)

// NewLink returns a link to target without faults.
func NewLink(target string) *Link {
	return &Link{target: target, open: map[*net.TCPConn]bool{}, refused: map[string]bool{}}
}

// NewSlowLink returns a link to target that is slow, besides the faults that are set.
func NewSlowLink(target string) *Link {
	l := NewLink(target)
	l.slow = true
	return l
}

// SlowLinkTime returns how long a slow link takes to forward an answer.
func SlowLinkTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / slowRate
}

// Refused reports whether the target did not accept the connection of the caller with
// this address.
func (l *Link) Refused(caller string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused[caller]
}

// dial connects to the target.
func (l *Link) dial() (net.Conn, error) {
	var dialer net.Dialer
	if l.slow {
		dialer.Control = func(_, _ string, conn syscall.RawConn) error {
			var failure error
			err := conn.Control(func(fd uintptr) {
				failure = errors.Join(
					syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, slowSegment),
					syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBuffer))
			})
			return errors.Join(err, failure)
		}
	}
	return dialer.Dial("tcp", l.target)
}

// SetFaults replaces the faults.
func (l *Link) SetFaults(faults LinkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
	if faults.SilenceOld {
		l.generation++
	}
	if !faults.ResetOld {
		return
	}
	for conn := range l.open {
		_ = conn.SetLinger(0) // fails only if the connection is already closed, as does Close
		_ = conn.Close()
	}
}

// track adds a connection to the open ones, or removes it.
func (l *Link) track(conn net.Conn, isOpen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !isOpen {
		delete(l.open, conn.(*net.TCPConn))
		return
	}
	l.open[conn.(*net.TCPConn)] = true
}

// Serve accepts and forwards connections until ctx ends, and then closes the listener.
func (l *Link) Serve(ctx context.Context, listener net.Listener) {
	l.done = ctx.Done()
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.relay(conn)
	}
}

func (l *Link) relay(caller net.Conn) {
	target, err := l.dial()
	if err != nil {
		l.mu.Lock()
		l.refused[caller.RemoteAddr().String()] = true
		l.mu.Unlock()
		_ = caller.Close()
		return
	}
	l.mu.Lock()
	generation := l.generation
	l.mu.Unlock()
	l.track(caller, true)
	l.track(target, true)
	var both sync.WaitGroup
	both.Go(func() { l.copy(target, caller, generation, true) })
	both.Go(func() { l.copy(caller, target, generation, false) })
	both.Wait()
	l.track(caller, false)
	l.track(target, false)
}

// copy forwards the bytes of one direction until either side closes.
func (l *Link) copy(to, from net.Conn, generation int, forward bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	slow := l.slow && !forward
	if slow {
		buffer = buffer[:slowBuffer]
	}
	for {
		n, err := from.Read(buffer)
		cut, delay := l.faultState(generation, forward)
		if slow {
			delay += SlowLinkTime(n)
		}
		time.Sleep(delay)
		if !cut && n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err == io.EOF && cut {
			<-l.done // a cut network path doesn't forward the close either
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) faultState(generation int, forward bool) (cut bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut = generation != l.generation || (forward && l.faults.CutForward) || (!forward && l.faults.CutBackward)
	return cut, l.faults.Delay
}

// LinkAdmin returns the control interface of several links: PUT /faults/NAME.
func LinkAdmin(links map[string]*Link) http.Handler {
	router := echo.New()
	router.PUT("/faults/:name", func(c echo.Context) error {
		link, ok := links[c.Param("name")]
		if !ok {
			return echo.ErrNotFound
		}
		var faults LinkFaults
		if err := (&echo.DefaultBinder{}).BindBody(c, &faults); err != nil {
			return err
		}
		link.SetFaults(faults)
		return c.NoContent(http.StatusNoContent)
	})
	return router
}
