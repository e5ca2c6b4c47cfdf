package httpguard

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// initialHeadBytes is the size of the first buffer for a head; most heads fit into it.
	initialHeadBytes = 1 << 10
	// maxEmptyBytes is the maximum number of bytes of empty lines before a request.
	maxEmptyBytes = 8
	// refusalTimeout is the time within which a client must take a refusal.
	refusalTimeout = time.Second
)

// Conn is a connection from a client. It passes on a request only once its head has arrived
// whole, is within the limits, and there is memory to process it.
type Conn struct {
	net.Conn
	listener *Listener
	// buffer holds bytes that have arrived and not been passed on, of which the first ready
	// ones may be. scanned is the number of bytes of an incomplete head that were searched
	// for its end; lineStart is where its last line begins. headEnd is the length of a whole
	// head that waits for memory.
	buffer                      []byte
	ready                       int
	scanned, lineStart, headEnd int
	// emptyBytes is the number of bytes of empty lines before the request.
	emptyBytes int
	// framing is that of the body that follows, of which left bytes are missing if it has a
	// length.
	framing framing
	left    int64
	chunks  chunkScanner
	// buffered is the length of buffer, for other goroutines.
	buffered atomic.Int64

	mu sync.Mutex
	// pending holds the memory reserved for each request that has been passed on and not
	// ended.
	pending []int64
	// since is the time at which the connection was accepted or its last request ended.
	since time.Time
	// headDeadline is the time by which the head that has begun to arrive must be whole;
	// readDeadline is the one that the server has set.
	headDeadline, readDeadline time.Time
	// cancelWait ends the wait for memory.
	cancelWait context.CancelFunc
	isClosed   bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for c.ready == 0 {
		switch c.framing {
		case withLength, chunked:
			if len(c.buffer) == 0 {
				return c.readBody(p)
			}
			c.takeBody()
		case undefined:
			return 0, io.EOF
		default:
			if err := c.readHead(); err != nil {
				return 0, err
			}
		}
	}
	n := copy(p, c.buffer[:c.ready])
	c.ready -= n
	c.discard(n)
	return n, nil
}

// discard removes the first n bytes of the buffer.
func (c *Conn) discard(n int) {
	if n == len(c.buffer) {
		c.buffer = nil
	} else {
		c.buffer = c.buffer[n:]
	}
	c.buffered.Store(int64(len(c.buffer)))
}

// takeBody marks the buffered bytes that belong to the body as ready.
func (c *Conn) takeBody() { c.ready = c.advance(c.buffer) }

// readBody reads a part of the body straight into p. Bytes of the next request go into the
// buffer.
func (c *Conn) readBody(p []byte) (int, error) {
	if c.framing == withLength {
		p = p[:min(int64(len(p)), c.left)]
	}
	n, err := c.Conn.Read(p)
	used := c.advance(p[:n])
	if used < n {
		c.buffer = append([]byte(nil), p[used:n]...)
		c.buffered.Store(int64(len(c.buffer)))
	}
	return used, err
}

// advance returns the number of bytes of b that belong to the body, and notes its end.
func (c *Conn) advance(b []byte) int {
	if c.framing == withLength {
		n := min(int64(len(b)), c.left)
		if c.left -= n; c.left == 0 {
			c.framing = noBody
		}
		return int(n)
	}
	n, isEnd, ok := c.chunks.scan(b)
	switch {
	case !ok:
		// The server refuses the request when it reads this.
		c.framing = undefined
		return len(b)
	case isEnd:
		c.framing, c.chunks = noBody, chunkScanner{}
	}
	return n
}

// readHead reads until the buffer holds a whole head and there is memory for the request.
func (c *Conn) readHead() error {
	for {
		end, err := c.findHeadEnd()
		if err != nil {
			return err
		}
		if end > 0 {
			return c.admit(c.buffer[:end])
		}
		if len(c.buffer) > 0 && c.isIdle() {
			c.setHeadDeadline(time.Now().Add(c.listener.opts.HeadTimeout))
		}
		if err := c.fill(); err != nil {
			return err
		}
	}
}

// fill reads more bytes into the buffer, up to one more than a head may have.
func (c *Conn) fill() error {
	most := c.listener.opts.maxHeadBytes() + 1
	if len(c.buffer) == cap(c.buffer) {
		grown := make([]byte, len(c.buffer), min(max(initialHeadBytes, 2*len(c.buffer)), most))
		copy(grown, c.buffer)
		c.buffer = grown
	}
	n, err := c.Conn.Read(c.buffer[len(c.buffer):cap(c.buffer)])
	c.buffer = c.buffer[:len(c.buffer)+n]
	c.buffered.Store(int64(len(c.buffer)))
	if n > 0 {
		return nil
	}
	return err
}

// findHeadEnd returns the length of the head in the buffer, or 0 if it is not whole. It drops
// empty lines before the head.
func (c *Conn) findHeadEnd() (int, error) {
	if c.headEnd > 0 {
		return c.headEnd, nil
	}
	for len(c.buffer) > 0 && c.scanned == 0 && (c.buffer[0] == '\r' || c.buffer[0] == '\n') {
		if c.emptyBytes++; c.emptyBytes > maxEmptyBytes {
			return 0, c.refuse("400 Bad Request")
		}
		c.discard(1)
	}
	for c.scanned < len(c.buffer) {
		i := bytes.IndexByte(c.buffer[c.scanned:], '\n')
		if i < 0 {
			c.scanned = len(c.buffer)
			break
		}
		line := c.buffer[c.lineStart : c.scanned+i]
		c.scanned += i + 1
		c.lineStart = c.scanned
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			if c.scanned > c.listener.opts.maxHeadBytes() {
				break
			}
			c.headEnd = c.scanned
			return c.headEnd, nil
		}
	}
	if len(c.buffer) > c.listener.opts.maxHeadBytes() {
		return 0, c.refuse("431 Request Header Fields Too Large")
	}
	return 0, nil
}

// admit reserves memory for the request with the given head and makes the head ready.
func (c *Conn) admit(head []byte) error {
	reserved, err := c.reserve(memoryOf(head))
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		c.listener.release(reserved)
		return net.ErrClosed
	}
	c.pending = append(c.pending, reserved)
	c.headDeadline = time.Time{}
	if err := c.applyDeadline(); err != nil {
		return err
	}
	c.framing, c.left = framingOf(head)
	c.ready, c.scanned, c.lineStart, c.headEnd, c.emptyBytes = len(head), 0, 0, 0, 0
	return nil
}

// reserve reserves memory and returns how much. It waits for it, unless the server interrupts
// the read.
func (c *Conn) reserve(n int64) (int64, error) {
	if n <= smallRequest {
		return 0, nil
	}
	n = min(n, c.listener.opts.RequestMemory)
	if c.listener.memory.TryAcquire(n) {
		return n, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.listener.opts.HeadTimeout)
	defer cancel()
	c.mu.Lock()
	c.cancelWait = cancel
	isInterrupted := !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
	c.mu.Unlock()
	if !isInterrupted && c.listener.memory.Acquire(ctx, n) == nil {
		return n, nil
	}
	if isInterrupted || errors.Is(ctx.Err(), context.Canceled) {
		return 0, os.ErrDeadlineExceeded
	}
	return 0, c.refuse("503 Service Unavailable")
}

// refuse answers a request that was not passed on, unless another one is in progress, and
// ends the connection.
func (c *Conn) refuse(status string) error {
	c.listener.refused.Add(1)
	c.framing = undefined
	if c.isIdle() && c.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		// The client may have left, or may not read.
		_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	}
	return io.EOF
}

// isIdle reports whether no request is in progress.
func (c *Conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0
}

// EndRequest releases the memory of the request that was answered. The owner of the server
// calls it when the server reports the connection as idle.
func (c *Conn) EndRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 {
		c.listener.release(c.pending[0])
		c.pending = c.pending[1:]
	}
	c.since = time.Now()
}

// Buffered returns the number of bytes that have arrived and not been passed on.
func (c *Conn) Buffered() int { return int(c.buffered.Load()) }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, os.ErrInvalid
	}
	return sc.SyscallConn()
}

// CloseWrite lets the client read the whole answer before the connection closes.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.cancelWait != nil && !t.IsZero() && !time.Now().Before(t) {
		c.cancelWait()
	}
	return c.applyDeadline()
}

// setHeadDeadline sets the time by which a head must be whole, unless it is set already.
func (c *Conn) setHeadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headDeadline.IsZero() {
		c.headDeadline = t
		// If this fails, so does the read that follows.
		_ = c.applyDeadline()
	}
}

// applyDeadline sets the earlier one of both deadlines. The caller holds mu.
func (c *Conn) applyDeadline() error {
	t := c.readDeadline
	if !c.headDeadline.IsZero() && (t.IsZero() || c.headDeadline.Before(t)) {
		t = c.headDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	if !c.isClosed {
		c.isClosed = true
		for _, n := range c.pending {
			c.listener.release(n)
		}
		c.pending = nil
	}
	if c.cancelWait != nil {
		c.cancelWait()
	}
	c.mu.Unlock()
	c.listener.remove(c)
	return c.Conn.Close()
}

// closeIfIdle closes the connection if no request is in progress, and reports whether it did.
func (c *Conn) closeIfIdle() bool {
	c.mu.Lock()
	if c.isClosed || len(c.pending) > 0 {
		c.mu.Unlock()
		return false
	}
	c.isClosed = true
	c.mu.Unlock()
	c.Close()
	return true
}
