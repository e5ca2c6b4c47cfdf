// Package tcp opens and accepts TCP connections that notice a silent peer.
//
// # Usage
//
//	conn, err := tcp.Dialer().DialContext(ctx, "tcp4", address)
//	listener, err := tcp.Listen(ctx, address)
//
// Something between two hosts may lose track of an open connection, which is
// then silent for good. Keep-alive probes find that on an idle connection, the
// user timeout on one with unacknowledged bytes.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount let a silent connection
	// break within 3 s, inside the time in which the deployments want a
	// configuration in force.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 2500 * time.Millisecond
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dialer returns a Dialer of such connections.
func Dialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen returns a listener of such connections.
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
