// Package sockets opens TCP connections that notice a dead peer: keepalive
// probes end a connection without traffic, TCP_USER_TIMEOUT one whose data stays
// unacknowledged.
package sockets

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	keepAliveIdle     = 5 * time.Second // without traffic before the first probe
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
	// UserTimeout is how long sent data may stay unacknowledged.
	UserTimeout = 10 * time.Second
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// Dialer returns a dialer that gives up after timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: setUserTimeout}
}

// Listen opens a TCP listener whose connections have the same options.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	return config.Listen(ctx, "tcp", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT; accepted connections inherit it from the listener.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var result error
	err := raw.Control(func(fd uintptr) {
		result = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return result
}

// Idleness is the state of a connection on which nothing is expected.
type Idleness int

// States of an idle connection.
const (
	Closed Idleness = iota // by the peer, or not a socket
	Quiet                  // open, nothing to read
	Noisy                  // the peer sent bytes that nobody asked for
)

// Peek returns the state of an idle connection without reading from it.
func Peek(conn net.Conn) Idleness {
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
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			state = Quiet
		case err == nil && n > 0:
			state = Noisy
		}
	})
	return state
}
