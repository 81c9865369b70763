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

const dialTimeout = 500 * time.Millisecond

// Client calls the methods of one process and reconnects when needed. It is
// safe for concurrent use.
type Client struct {
	address string
	clock   *timeline.Clock
	dial    Dial
	dialing chan struct{} // holds one item while a call connects
	mu      sync.Mutex
	link    *link // for new calls; nil until the first one
}

// link is a connection with the number of calls that wait for an answer on it.
type link struct {
	conn    *jsonrpc2.Conn
	calls   int
	retired bool // no new calls; closed after the last one
}

// Dial connects to the process at address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP connects over TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return sockets.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
}

// NewClient returns a client of the process at address; it connects on first use.
func NewClient(address string, clock *timeline.Clock) *Client {
	return NewClientVia(DialTCP, address, clock)
}

// NewClientVia is NewClient with another way to connect.
func NewClientVia(dial Dial, address string, clock *timeline.Clock) *Client {
	return &Client{address: address, clock: clock, dial: dial, dialing: make(chan struct{}, 1)}
}

// Call sends question and decodes the answer into answer. It fails with kind
// Unavailable if no byte was sent, Ambiguous if the answer was lost, or the
// kind that the other process gave. It ends at most writeTimeout after ctx.
func (c *Client) Call(ctx context.Context, method string, question, answer any) error {
	body, err := json.Marshal(question)
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
		return c.failed(used, method, err)
	}
	sentMethods.of(method).count(body, received.Body)
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
	if c.link != nil {
		_ = c.link.conn.Close()
		c.link = nil
	}
}

// acquire returns the link for a new call. One call connects if there is none;
// others wait for it no longer than their own ctx.
func (c *Client) acquire(ctx context.Context) (*link, error) {
	if used := c.use(); used != nil {
		return used, nil
	}
	select {
	case c.dialing <- struct{}{}:
		defer func() { <-c.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if used := c.use(); used != nil {
		return used, nil
	}
	socket, err := c.dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link = &link{conn: newConn(context.Background(), socket, ignoreCalls), calls: 1}
	return c.link, nil
}

// use counts a call on the present link; it returns nil if there is none.
func (c *Client) use() *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link == nil || closed(c.link.conn) {
		return nil
	}
	c.link.calls++
	return c.link
}

// closed reports whether the other process has closed the connection.
func closed(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// ignoreCalls answers nothing: calls only go from clients to servers.
var ignoreCalls = jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, nil
})

func (c *Client) release(used *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	used.calls--
	if used.retired && used.calls == 0 {
		_ = used.conn.Close()
	}
}

// failed retires the connection unless the other process answered with an error
// or the call was given up before its deadline.
func (c *Client) failed(used *link, method string, err error) error {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return decodeError(remote)
	}
	if !errors.Is(err, context.Canceled) {
		c.retire(used)
	}
	return errs.Wrap(err, errs.Ambiguous, "no answer from "+c.address+" to "+method, "check the network between the VMs")
}

// retire keeps new calls off the link. Other calls on it may still get their answer.
func (c *Client) retire(used *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	used.retired = true
	if c.link == used {
		c.link = nil
	}
}
