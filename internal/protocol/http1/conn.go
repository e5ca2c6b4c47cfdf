package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readBuffer is the size of the read buffer of a connection in bytes; most
	// answers fit.
	readBuffer = 2 << 10
	// inlineBody is the largest body in bytes that is written before the answer
	// is read; a larger one may block on a server that answers early.
	inlineBody = 16 << 10
	// exactBody is the largest stated length of a body in bytes for which memory is
	// taken before the body comes.
	exactBody = 64 << 10
	// maxSkipped bounds the answers to other requests that are read past.
	maxSkipped = 3
)

// conn is one connection to a server. One exchange at a time uses it.
type conn struct {
	address string
	nc      net.Conn
	r       *bufio.Reader
	usedAt  time.Time
	// idleLimit is how long the connection may be idle.
	idleLimit time.Duration
	// isUsed means that an answer came over the connection.
	isUsed bool
	// out is the buffer of what is written.
	out []byte
}

func newConn(address string, nc net.Conn) *conn {
	return &conn{address: address, nc: nc, r: bufio.NewReaderSize(nc, readBuffer), usedAt: time.Now(), idleLimit: idleLimit}
}

func (c *conn) isExpired(now time.Time) bool { return now.Sub(c.usedAt) > c.idleLimit }

// isUsable reports whether an idle connection may carry another request.
func (c *conn) isUsable(now time.Time, fresh bool) bool {
	if c.isExpired(now) || fresh && now.Sub(c.usedAt) > freshLimit {
		return false
	}
	return c.isQuiet()
}

// isQuiet reports whether the server has neither closed the connection nor sent
// bytes that no request waits for.
func (c *conn) isQuiet() bool {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		// In tests a connection may have no descriptor.
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange writes a call and reads its answer. It reports whether the connection
// may be used again.
func (c *conn) exchange(ctx context.Context, call *Call, opts Options) (*Reply, bool, error) {
	stop := context.AfterFunc(ctx, c.abort)
	defer stop()
	written, err := c.write(call)
	if err != nil {
		return nil, false, c.failure(ctx, "write", err)
	}
	reply, reusable, err := c.read(call, opts)
	if err != nil {
		return nil, false, c.failure(ctx, "read", err)
	}
	select {
	case err := <-written:
		reusable = reusable && err == nil
	default:
		// The server answered before it had the whole body; the rest must not
		// meet another request.
		reusable = false
	}
	c.usedAt, c.isUsed = time.Now(), true
	return reply, reusable && stop(), nil
}

// abort ends the reads and writes that wait.
func (c *conn) abort() {
	if err := c.nc.SetDeadline(time.Unix(1, 0)); err != nil {
		// The connection is closed already.
		return
	}
}

// failure returns the reason why ctx ended if that broke the connection.
func (c *conn) failure(ctx context.Context, what string, err error) error {
	if ctx.Err() != nil {
		return sent(what, context.Cause(ctx))
	}
	if !c.isUsed && errors.Is(err, syscall.ECONNRESET) {
		return reset(what, err)
	}
	return sent(what, err)
}

// write sends the call. The channel receives the result of the last byte.
func (c *conn) write(call *Call) (<-chan error, error) {
	written := make(chan error, 1)
	c.out = call.append(c.out[:0])
	if len(call.Body) <= inlineBody {
		c.out = append(c.out, call.Body...)
		_, err := c.nc.Write(c.out)
		written <- err
		return written, err
	}
	go func() {
		buffers := net.Buffers{c.out, call.Body}
		_, err := buffers.WriteTo(c.nc)
		written <- err
	}()
	return written, nil
}

// append appends all that goes before the body.
func (call *Call) append(b []byte) []byte {
	if call.Head != nil {
		b = append(b, call.Head...)
	} else {
		b = call.AppendHead(b)
	}
	for _, f := range call.Fields {
		b = appendField(b, f.Name, f.Value)
	}
	if call.HasBody || len(call.Body) > 0 {
		b = appendField(b, "Content-Length", strconv.Itoa(len(call.Body)))
	}
	return append(b, "\r\n"...)
}

// read returns the answer to the call, past answers to other requests.
func (c *conn) read(call *Call, opts Options) (*Reply, bool, error) {
	for skipped := 0; ; skipped++ {
		reply, reusable, err := c.readOne(call, opts.MaxBody)
		if err != nil {
			return nil, false, err
		}
		echo := reply.Header.Get(opts.EchoHeader)
		if echo == call.Echo || echo == "" && skipped == 0 {
			return reply, reusable && skipped == 0, nil
		}
		if skipped == maxSkipped || !reusable && c.r.Buffered() == 0 {
			return nil, false, corrupt("the answer belongs to request " + strconv.Quote(echo))
		}
	}
}

func (c *conn) readOne(call *Call, limit int64) (*Reply, bool, error) {
	resp, err := c.readHead(call)
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	body, err := readBody(resp, limit)
	if err != nil {
		return nil, false, err
	}
	isFramed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	reusable := isFramed && !resp.Close && c.r.Buffered() == 0
	c.observeIdleLimit(resp.Header, call.KeepIdle)
	return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, reusable, nil
}

// readBody reads the whole body of an answer.
func readBody(resp *http.Response, limit int64) ([]byte, error) {
	const tooLarge = corrupt("the answer is larger than the limit")
	switch n := resp.ContentLength; {
	case resp.Body == http.NoBody:
		// The answer to HEAD states a length all the same.
		return nil, nil
	case n > limit:
		return nil, tooLarge
	case n >= 0 && n <= exactBody:
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if int64(len(body)) > limit {
		return nil, tooLarge
	}
	return body, err
}

// The requests that answers are read for: only their method counts.
var (
	anyRequest  = &http.Request{Method: http.MethodGet}
	headRequest = &http.Request{Method: http.MethodHead}
)

// readHead reads the head of the final answer.
func (c *conn) readHead(call *Call) (*http.Response, error) {
	req := anyRequest
	if call.Method == http.MethodHead {
		req = headRequest
	}
	for {
		resp, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// observeIdleLimit reads the seconds that the server keeps idle connections.
func (c *conn) observeIdleLimit(h http.Header, keep time.Duration) {
	c.idleLimit = idleLimit
	if keep > 0 {
		c.idleLimit = keep
	}
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleLimit = min(c.idleLimit, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
}
