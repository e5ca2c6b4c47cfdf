// Package tcp opens and accepts TCP connections that detect an unresponsive peer.
//
// # Usage
//
//	conn, err := tcp.Dialer().DialContext(ctx, "tcp4", address)
//	listener, err := tcp.Listen(ctx, address)
//
// The network between two hosts may lose the state of an open connection. The connection
// then delivers no more data. Keep-alive probes detect this on an idle connection, and
// TCP_USER_TIMEOUT detects it on a connection with unacknowledged bytes.
package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount close a connection to an
	// unresponsive peer within 3 s. This is less than the time within which the
	// deployments require a new configuration to take effect.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is the time for which sent bytes may remain unacknowledged before the
	// connection is closed.
	userTimeout = 2500 * time.Millisecond
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dialer returns a dialer whose connections detect an unresponsive peer.
func Dialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen returns a listener on an IPv4 address whose connections detect an
// unresponsive peer.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	cfg := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return cfg.Listen(ctx, "tcp4", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// HasInput reports whether a read of nc would not wait: the peer has sent bytes that are
// not yet read, or has closed the connection. It peeks at the socket without blocking. A
// connection without a file descriptor, as in tests, has no input. A connection may have
// read bytes itself, which its method Buffered then counts.
func HasInput(nc net.Conn) bool {
	if b, ok := nc.(interface{ Buffered() int }); ok && b.Buffered() > 0 {
		return true
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	isEmpty := false
	// Unlike Read of raw, Control does not wait for a pending Read of nc.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isEmpty = errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || !isEmpty
}
