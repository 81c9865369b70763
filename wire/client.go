package wire

import (
	"context"
	"encoding/json"
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
	mu      sync.Mutex
	conn    *jsonrpc2.Conn
}

// NewClient returns a client of the process at address; it connects on first use.
func NewClient(address string, clock *timeline.Clock) *Client {
	return &Client{address: address, clock: clock}
}

// Call sends question and decodes the answer into answer. It fails with kind
// Unavailable if no byte was sent, Ambiguous if the answer was lost, or the
// kind that the other process gave.
func (c *Client) Call(ctx context.Context, method string, question, answer any) error {
	body, err := json.Marshal(question)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "cannot encode "+method, "report this as a defect")
	}
	conn, err := c.connect(ctx)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "cannot connect to "+c.address, "check that the process runs and is reachable")
	}
	var received envelope
	err = conn.Call(ctx, method, envelope{Stamp: c.clock.Now(), Body: body}, &received)
	if err != nil {
		return c.failed(conn, method, err)
	}
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
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	socket, err := sockets.Dialer(dialTimeout).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	ignore := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return nil, nil })
	c.conn = jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(socket), ignore)
	return c.conn, nil
}

// failed retires the connection unless the other process answered with an error.
func (c *Client) failed(conn *jsonrpc2.Conn, method string, err error) error {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return decodeError(remote)
	}
	c.retire(conn)
	return errs.Wrap(err, errs.Ambiguous, "no answer from "+c.address+" to "+method, "check the network between the VMs")
}

func (c *Client) retire(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = conn.Close()
	if c.conn == conn {
		c.conn = nil
	}
}
