// Package httpguard accepts the connections of clients that nobody controls, in front of a
// server of net/http. It bounds what such clients can make the server hold.
//
// # Usage
//
//	l := httpguard.New(listener, httpguard.Options{RequestMemory: 16 << 20, MaxConns: 2000, ...})
//	server.ConnState = func(nc net.Conn, s http.ConnState) {
//		if c, ok := nc.(*httpguard.Conn); ok && s == http.StateIdle {
//			c.EndRequest()
//		}
//	}
//	server.Serve(l)
//
// net/http parses a head into a map before any handler runs. A head of 16 KiB can have 4,000
// lines, which become a hundred times the memory of usual requests, so that a bound on bytes
// does not bound memory. A Conn therefore holds the bytes of a head back until the head is
// whole, and passes it on when there is memory for what it becomes. It follows the framing of
// bodies, so that it sees the head of each request of a connection.
//
// Requests of usual size reserve nothing: their memory is bounded by the number of
// connections. Beyond that number, the connection is closed that has been without a request
// for longest, since a crowd of idle connections must not keep other clients out.
package httpguard

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// lineMemory and byteMemory are the memory in bytes that a line and a byte of a head
	// take while its request is processed: a map entry with its key and value in the
	// request, in its copy for the servers, and in the encoded head.
	lineMemory = 256
	byteMemory = 3
	// smallRequest is the memory in bytes up to which a request reserves nothing.
	smallRequest = 16 << 10
	// receiveBuffer is the size in bytes of the system's buffer for a connection. What lies
	// there counts as memory of the host too. With half of it, acknowledgements are delayed
	// while a body arrives.
	receiveBuffer = 32 << 10
)

// memoryOf returns the memory in bytes that a request with the given head takes.
func memoryOf(head []byte) int64 {
	return int64(byteMemory*len(head) + lineMemory*bytes.Count(head, []byte("\n")))
}

// Options are the limits of a Listener.
type Options struct {
	// MaxHeadBytes returns the maximum size of a head in bytes.
	MaxHeadBytes func() int
	// HeadTimeout is the time within which a head must arrive, and the longest time for
	// which a request waits for memory.
	HeadTimeout time.Duration
	// RequestMemory is the memory in bytes for all requests together that exceed the usual
	// size. A larger request takes all of it.
	RequestMemory int64
	// MaxConns is the maximum number of connections.
	MaxConns int
}

func (o *Options) maxHeadBytes() int { return o.MaxHeadBytes() }

// Listener accepts connections of clients as Conns. It is safe for concurrent use.
type Listener struct {
	net.Listener
	opts   Options
	memory *semaphore.Weighted
	// refused counts the requests that were not passed on, and evicted the connections that
	// were closed because there were too many.
	refused, evicted atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// New returns a Listener that accepts the connections of l.
func New(l net.Listener, opts Options) *Listener {
	return &Listener{Listener: l, opts: opts, memory: semaphore.NewWeighted(opts.RequestMemory), conns: map[*Conn]struct{}{}}
}

// Refused returns the number of requests that were not passed on because they exceeded a
// limit or there was no memory for them.
func (l *Listener) Refused() int64 { return l.refused.Load() }

// Evicted returns the number of connections that were closed because there were too many.
func (l *Listener) Evicted() int64 { return l.evicted.Load() }

// Accept implements net.Listener. It returns a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.makeRoom() {
			l.evicted.Add(1)
			nc.Close()
			continue
		}
		if tc, ok := nc.(*net.TCPConn); ok {
			// The buffer stays larger if the system does not allow this.
			_ = tc.SetReadBuffer(receiveBuffer)
		}
		c := &Conn{Conn: nc, listener: l, since: time.Now()}
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

// makeRoom closes the connection that has been without a request for longest if there are
// too many, and reports whether there is room for another.
func (l *Listener) makeRoom() bool {
	for {
		oldest, n := l.oldestIdle()
		if n < l.opts.MaxConns {
			return true
		}
		if oldest == nil {
			return false
		}
		if oldest.closeIfIdle() {
			l.evicted.Add(1)
		}
	}
}

// oldestIdle returns the connection that has been without a request for longest, if there are
// too many connections, and the number of connections.
func (l *Listener) oldestIdle() (*Conn, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.conns)
	if n < l.opts.MaxConns {
		return nil, n
	}
	var oldest *Conn
	var oldestSince time.Time
	for c := range l.conns {
		if since, ok := c.idleSince(); ok && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = c, since
		}
	}
	return oldest, n
}

// idleSince returns the time since which the connection has had no request in progress.
func (c *Conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, len(c.pending) == 0
}

func (l *Listener) release(n int64) {
	if n > 0 {
		l.memory.Release(n)
	}
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
