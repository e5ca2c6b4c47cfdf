// Package link puts faults on the connections that a listener accepts: delay,
// silence in one direction or both, resets.
//
// # Usage
//
//	l := link.New(listener)
//	go http.Serve(l, handler)
//	l.Set(link.Silent)
package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what is wrong with a link.
type Fault int32

// The faults.
const (
	// None means that the link is well.
	None Fault = iota
	// Delayed holds every reply up.
	Delayed
	// CutOut loses what the server sends, CutIn what it is sent.
	CutOut
	CutIn
	// Silent loses both, on the connections that are open; new ones work.
	Silent
)

const delay = 60 * time.Millisecond

// Listener accepts connections with faults. It is safe for concurrent use.
type Listener struct {
	net.Listener
	fault atomic.Int32

	mu   sync.Mutex
	open map[*conn]bool
}

// New returns a Listener over another one.
func New(l net.Listener) *Listener { return &Listener{Listener: l, open: map[*conn]bool{}} }

// Set sets what is wrong from now on. Silent stays with the connections that are
// open at the moment.
func (l *Listener) Set(f Fault) {
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

// Reset resets all open connections.
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
	c := &conn{Conn: nc, link: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return c, nil
}

type conn struct {
	net.Conn
	link   *Listener
	silent atomic.Bool
}

func (c *conn) fault() Fault {
	if c.silent.Load() {
		return Silent
	}
	return Fault(c.link.fault.Load())
}

// Read implements net.Conn. What is lost is read and forgotten.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if f := c.fault(); err == nil && (f == CutIn || f == Silent) {
			continue
		}
		return n, err
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	switch c.fault() {
	case CutOut, Silent:
		return len(p), nil
	case Delayed:
		time.Sleep(delay)
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.link.mu.Lock()
	delete(c.link.open, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}
