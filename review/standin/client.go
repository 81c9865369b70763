package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id     string
	sentAt time.Time
	took   time.Duration
	status int   // 0 if the channel ended without a complete answer
	err    error // if status is 0
	kept   bool  // the channel had served a request before
	to     string
}

// client sends one request at a time, on a channel that it keeps.
type client struct {
	rec     *record
	address func() string // where the platform sends a new channel; "" if nowhere
	conn    net.Conn
	reader  *bufio.Reader
	used    bool
}

// request describes what a client sends.
type request struct {
	method, host, path, key string
	budget                  time.Duration
	body                    int           // bytes
	upload                  time.Duration // time over which the body is sent; 0 for at once
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends the request, with a new id, and waits for the answer until the time budget ends.
func (c *client) send(q request) answer {
	a := answer{id: newID(), sentAt: time.Now()}
	if c.conn != nil && c.closed() {
		c.close()
	}
	if c.conn == nil {
		address := c.address()
		if address == "" {
			a.err = fmt.Errorf("no machine takes channels")
			return a
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			a.err = fmt.Errorf("no channel: %w", err)
			return a
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	}
	a.kept, a.to = c.used, c.conn.RemoteAddr().String()
	end := a.sentAt.Add(q.budget)
	c.conn.SetDeadline(end)
	c.rec.log("client sends %s %s %s bytes=%d to %s kept=%v", a.id, q.method, q.path, q.body, c.conn.RemoteAddr(), a.kept)
	status, closes, err := c.exchange(q, a.id)
	a.took = time.Since(a.sentAt)
	if err != nil {
		a.err = err
		c.rec.log("client got no complete answer to %s after %.3f s: %v", a.id, a.took.Seconds(), err)
		c.close()
		return a
	}
	a.status, c.used = status, true
	c.rec.log("client got %d for %s after %.3f s", status, a.id, a.took.Seconds())
	if closes {
		c.close()
	}
	return a
}

func (c *client) exchange(q request, id string) (status int, closes bool, err error) {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nKey: %s\r\n", q.method, q.path, q.host, id, q.budget.Milliseconds(), q.key)
	if q.method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", q.body)
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"); err != nil {
		return 0, false, err
	}
	written := make(chan error, 1)
	conn := c.conn
	go func() { written <- writeBody(conn, q) }()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return 0, false, err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, false, err
	}
	select {
	case err := <-written:
		return response.StatusCode, response.Close || err != nil, nil
	default: // an answer before the end of the body; the client stops sending
		c.conn.Close()
		return response.StatusCode, true, nil
	}
}

// writeBody sends the body, all at once or spread over the time of the upload.
func writeBody(conn net.Conn, q request) error {
	const piece = 256 << 10
	buffer := make([]byte, min(piece, max(1, q.body)))
	began := time.Now()
	for sent := 0; sent < q.body; {
		if q.upload > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / float64(q.body) * float64(q.upload)))))
		}
		n, err := conn.Write(buffer[:min(len(buffer), q.body-sent)])
		if err != nil {
			return err
		}
		sent += n
	}
	return nil
}

// closed reports whether the other side has closed the idle channel.
func (c *client) closed() bool {
	c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	timeout, ok := err.(net.Error)
	return !(ok && timeout.Timeout())
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
