package wire

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/sockets"
	"lacewingmount.dev/timeline"
)

const dialTimeout = 500 * time.Millisecond // of one TCP connection attempt

// Client calls the methods of one process. It connects on the first call and
// reconnects when needed. It is safe for concurrent use.
type Client struct {
	address    string
	clock      *timeline.Clock
	dial       Dial
	dialing    chan struct{} // semaphore: holds one item while a call connects
	mu         sync.Mutex
	sharedConn *sharedConn // for new calls; nil until the first one
}

// sharedConn is a connection with the number of calls in progress on it.
type sharedConn struct {
	conn    *jsonrpc2.Conn
	calls   int
	retired bool // gets no new calls and is closed after the last one
}

// Dial connects to the process at address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP connects to address over TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return sockets.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
}

// NewClient returns a client of the process at address; it connects on first use.
func NewClient(address string, clock *timeline.Clock) *Client {
	return NewClientWithDial(DialTCP, address, clock)
}

// NewClientWithDial is NewClient with a custom dial function.
func NewClientWithDial(dial Dial, address string, clock *timeline.Clock) *Client {
	return &Client{address: address, clock: clock, dial: dial, dialing: make(chan struct{}, 1)}
}

// Call sends request and decodes the answer into answer, unless answer is nil. It
// fails with kind Unavailable if nothing was sent, with kind Ambiguous if no answer
// arrived, or with the kind that the other process returned. It returns at most
// writeTimeout after ctx ends.
func (c *Client) Call(ctx context.Context, method string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "cannot encode "+method, "report this as a defect")
	}
	used, err := c.acquire(ctx)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "cannot connect to "+c.address, "check that the process runs and is reachable")
	}
	defer c.release(used)
	var received envelope
	err = used.conn.Call(ctx, method, envelope{Stamp: c.clock.Now(), Body: body}, &received)
	if err != nil {
		return c.handleCallError(used, method, err)
	}
	sentMethods.forMethod(method).count(body, received.Body)
	c.clock.Observe(received.Stamp)
	if answer == nil {
		return nil
	}
	return json.Unmarshal(received.Body, answer)
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sharedConn != nil {
		_ = c.sharedConn.conn.Close()
		c.sharedConn = nil
	}
}

// acquire returns the connection for a new call. If there is none, one call
// connects; the others wait for it until their own ctx ends.
func (c *Client) acquire(ctx context.Context) (*sharedConn, error) {
	if used := c.tryAcquire(); used != nil {
		return used, nil
	}
	select {
	case c.dialing <- struct{}{}:
		defer func() { <-c.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if used := c.tryAcquire(); used != nil {
		return used, nil
	}
	socket, err := c.dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sharedConn = &sharedConn{conn: newConn(context.Background(), socket, ignoreCalls), calls: 1}
	return c.sharedConn, nil
}

// tryAcquire counts a call on the current connection and returns it, or nil if there
// is none.
func (c *Client) tryAcquire() *sharedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sharedConn == nil || isClosed(c.sharedConn.conn) {
		return nil
	}
	c.sharedConn.calls++
	return c.sharedConn
}

// isClosed reports whether the other process has closed the connection.
func isClosed(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// ignoreCalls ignores calls from the server: only clients make calls.
var ignoreCalls = jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, nil
})

// release ends a call on the connection.
func (c *Client) release(used *sharedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	used.calls--
	if used.retired && used.calls == 0 {
		_ = used.conn.Close()
	}
}

// handleCallError converts the error of a call. It retires the connection unless
// the other process answered with an error or the caller cancelled the call.
func (c *Client) handleCallError(used *sharedConn, method string, err error) error {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return decodeError(remote)
	}
	if !errors.Is(err, context.Canceled) {
		c.retire(used)
	}
	return errs.Wrap(err, errs.Ambiguous, "no answer from "+c.address+" to "+method, "check the network between the VMs")
}

// retire excludes the connection from new calls. Calls in progress on it may still
// get their answer.
func (c *Client) retire(used *sharedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	used.retired = true
	if c.sharedConn == used {
		c.sharedConn = nil
	}
}
