// Package sockets opens TCP connections that detect a dead peer: keepalive probes
// end a connection without traffic, and TCP_USER_TIMEOUT ends a connection whose
// sent data is not acknowledged.
package sockets

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	keepAliveIdle     = 5 * time.Second // time without traffic before the first probe
	keepAliveInterval = 2 * time.Second // between probes
	keepAliveProbes   = 3               // unanswered probes that end the connection
	// UserTimeout is the default of how long sent data may stay unacknowledged.
	UserTimeout = 10 * time.Second
)

// Liveness holds the TCP options that determine how soon a dead or stalled peer is detected.
type Liveness struct {
	Idle        time.Duration // time without traffic before the first probe
	Interval    time.Duration // between probes
	Probes      int           // unanswered probes that end the connection
	UserTimeout time.Duration // how long sent data may stay unacknowledged, and the peer may read nothing; 0 for no limit
	MaxUnsent   int           // bytes that writes leave unsent; 0 for as many as fit into the buffers
}

// DefaultLiveness is used by the functions Listen and Dialer.
var DefaultLiveness = Liveness{Idle: keepAliveIdle, Interval: keepAliveInterval, Probes: keepAliveProbes, UserTimeout: UserTimeout}

func (l Liveness) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: l.Idle, Interval: l.Interval, Count: l.Probes}
}

// Dialer returns a dialer with this connect timeout whose connections have the
// options of DefaultLiveness.
func Dialer(timeout time.Duration) *net.Dialer { return DefaultLiveness.Dialer(timeout) }

// Dialer returns a dialer with this connect timeout whose connections have the
// options of l.
func (l Liveness) Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: l.keepAlive(), Control: l.setOptions}
}

// Listen opens a TCP listener whose connections have the options of DefaultLiveness.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return DefaultLiveness.Listen(ctx, address)
}

// Listen opens a TCP listener whose connections have the options of l.
func (l Liveness) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: l.keepAlive(), Control: l.setOptions}
	return config.Listen(ctx, "tcp", address)
}

// setOptions sets the options that package net does not know. Accepted connections inherit
// them from the listener.
func (l Liveness) setOptions(_, _ string, raw syscall.RawConn) error {
	var result error
	err := raw.Control(func(fd uintptr) {
		result = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.UserTimeout.Milliseconds()))
		if result == nil && l.MaxUnsent > 0 {
			result = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, l.MaxUnsent)
		}
	})
	if err != nil {
		return err
	}
	return result
}

// HasPendingConn reports whether the queue of a TCP listener holds a connection that is not
// accepted yet.
func HasPendingConn(listener net.Listener) bool {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	_ = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		pending = err == nil && n > 0 && poll[0].Revents&unix.POLLIN != 0
	})
	return pending
}

// IdleState is the state of a connection on which no data is expected.
type IdleState int

// States of an idle connection.
const (
	Closed          IdleState = iota // by the peer, by an error, or not a socket
	NoData                           // open, with nothing to read
	UnrequestedData                  // open, with unrequested data from the peer
)

// Peek returns the state of an idle connection without consuming data from it.
func Peek(conn net.Conn) IdleState {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return Closed
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	_ = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			state = NoData
		case err == nil && n > 0:
			state = UnrequestedData
		}
	})
	return state
}

// AwaitHangup waits, without consuming data, until the peer has closed its direction of the
// connection or the connection has failed, and returns io.EOF then. It fails if the read
// deadline passes before.
func AwaitHangup(raw syscall.RawConn) error {
	hungUp := false
	err := raw.Read(func(fd uintptr) bool {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		hungUp = err == nil && n > 0
		return hungUp
	})
	if hungUp {
		return io.EOF
	}
	return err
}

// tcpClosed is the state of a TCP connection without either direction (TCP_CLOSE of Linux).
const tcpClosed = 7

// WasReset reports whether a TCP connection has failed, by a reset of the peer or a timeout,
// whose data was read to its end. A read may return io.EOF then, if a write got the error. It
// reports false if conn is no socket.
func WasReset(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	failed := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		failed = err != nil || info.State == tcpClosed
	})
	return failed
}
