package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	sendTime  = 15 * time.Second // a caller that has not sent all by then stops sending and stays open
	writeSize = 256 << 10        // bytes of one write
	stayTime  = 3 * time.Second  // in which the crowd stays open after it has stopped sending
)

// caller writes to its connection what one caller of a crowd sends. An error ends it: the
// process may refuse a caller or close its connection.
type caller func(conn net.Conn) error

// crowd is a number of equal callers.
type crowd struct {
	size int
	send caller
}

// play opens the connections of all crowds at once, and returns when all callers have
// stopped sending and have stayed open for stayTime. The connections stay open until the
// test ends.
func play(t *testing.T, address string, crowds ...crowd) {
	t.Helper()
	var senders sync.WaitGroup
	for _, c := range crowds {
		for range c.size {
			senders.Go(func() {
				conn, err := net.DialTimeout("tcp", address, sendTime)
				if err != nil {
					return
				}
				t.Cleanup(func() { _ = conn.Close() })
				_ = conn.SetDeadline(time.Now().Add(sendTime))
				_ = c.send(conn)
			})
		}
	}
	senders.Wait()
	time.Sleep(stayTime)
}

// head returns the head of a request. length is that of the body, or -1 for a chunked one.
func (r route) head(length int) string {
	framing := "Transfer-Encoding: chunked"
	if length >= 0 {
		framing = fmt.Sprintf("Content-Length: %d", length)
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s\r\n%s\r\n", r.method, r.path, r.host, framing, r.headers())
}

// route is a route of the system under test, with what its requests must contain.
type route struct {
	method, path, host string
	headers            func() string // a line each
}

// declared sends a body of a declared length and stops short of its last byte.
func (r route) declared(length int) caller {
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, r.head(length)); err != nil {
			return err
		}
		return sendRepeated(conn, []byte{'x'}, length-1)
	}
}

// chunked sends a body in chunks of the given size and stops before the last chunk.
func (r route) chunked(length, chunk int) caller {
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, r.head(-1)); err != nil {
			return err
		}
		text := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, bytes.Repeat([]byte{'x'}, chunk))
		return sendRepeated(conn, text, length/chunk*len(text))
	}
}

// announced sends a body that is announced to be longer than what is sent.
func (r route) announced(length, sent int) caller {
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, r.head(length)); err != nil {
			return err
		}
		return sendRepeated(conn, []byte{'x'}, sent)
	}
}

// slowReader sends a request without a body, reads the first bytes of its response and
// stops reading.
func (r route) slowReader(conn net.Conn) error {
	if _, err := io.WriteString(conn, r.head(0)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 512))
	return err
}

// idle opens a connection and sends nothing.
func idle(net.Conn) error { return nil }

// longHead sends most of a request head and stops.
func (r route) longHead(length int) caller {
	return func(conn net.Conn) error {
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Long: ", r.path, r.host); err != nil {
			return err
		}
		return sendRepeated(conn, []byte{'x'}, length)
	}
}

// sendRepeated writes length bytes that consist of repetitions of the text.
func sendRepeated(conn net.Conn, text []byte, length int) error {
	block := bytes.Repeat(text, max(1, writeSize/len(text)))
	for length > 0 {
		n, err := conn.Write(block[:min(length, len(block))])
		if err != nil {
			return err
		}
		length -= n
	}
	return nil
}
