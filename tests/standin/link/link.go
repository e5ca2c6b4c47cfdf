// Package link injects faults into the connections that a listener accepts: delays,
// loss of all data in one or both directions, and resets.
//
// # Usage
//
//	l := link.New(listener)
//	go http.Serve(l, handler)
//	l.SetFault(link.Silent)
package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is a failure mode of the connections of a Listener.
type Fault int32

// The failure modes. Incoming and outgoing are as seen by the server that owns the
// listener.
const (
	// None passes all data on without delay.
	None Fault = iota
	// Delayed delays each write of the server by writeDelay.
	Delayed
	// DropOutgoing discards the data that the server sends.
	DropOutgoing
	// DropIncoming discards the data that is sent to the server.
	DropIncoming
	// Silent discards the data in both directions on the connections that are open when
	// SetFault is called. Connections that are accepted later work.
	Silent
)

const writeDelay = 60 * time.Millisecond

// Listener wraps a net.Listener and injects faults into the connections that it
// accepts. It is safe for concurrent use.
type Listener struct {
	net.Listener
	fault atomic.Int32

	mu   sync.Mutex
	open map[*conn]bool
}

// New returns a Listener that accepts its connections from l and starts without a
// fault.
func New(l net.Listener) *Listener { return &Listener{Listener: l, open: map[*conn]bool{}} }

// SetFault sets the failure mode of all present and future connections. Silent instead
// affects only the connections that are open now, until they are closed; it leaves the
// failure mode of the others unchanged.
func (l *Listener) SetFault(f Fault) {
	if f != Silent {
		l.fault.Store(int32(f))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent.Store(true)
	}
}

// Reset closes all open connections, TCP connections with a TCP reset.
func (l *Listener) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			t.SetLinger(0) //nolint:errcheck // The connection may be closed already.
		}
		c.Conn.Close()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return c, nil
}

// conn is an accepted connection. Each Read and Write applies the failure mode that the
// listener has at that time.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
}

func (c *conn) fault() Fault {
	if c.silent.Load() {
		return Silent
	}
	return Fault(c.listener.fault.Load())
}

// Read implements net.Conn. Under a fault that discards incoming data, Read drops the
// data and waits for more.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if f := c.fault(); err == nil && (f == DropIncoming || f == Silent) {
			continue
		}
		return n, err
	}
}

// Write implements net.Conn. It reports data that a fault discards as written.
func (c *conn) Write(p []byte) (int, error) {
	switch c.fault() {
	case DropOutgoing, Silent:
		return len(p), nil
	case Delayed:
		time.Sleep(writeDelay)
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn and removes the connection from its listener.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
