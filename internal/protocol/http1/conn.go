package http1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/godwithatch/godwithatch/internal/protocol/tcp"
)

const (
	// readBufferSize is the size of the read buffer of a connection in bytes; most
	// responses fit into it.
	readBufferSize = 2 << 10
	// maxInlineBody is the size in bytes up to which a request body is written before the
	// response is read. A larger body is written in the background, because its write may
	// block if the server responds before it has read the body.
	maxInlineBody = 16 << 10
	// maxPreallocatedBody is the Content-Length in bytes up to which memory for the
	// response body is allocated before the body arrives.
	maxPreallocatedBody = 64 << 10
	// maxSkippedResponses is the maximum number of responses to other requests that are
	// skipped in one exchange.
	maxSkippedResponses = 3
)

// conn is one connection to a server. It carries one exchange at a time.
type conn struct {
	address  string
	nc       net.Conn
	openedAt time.Time
	r        *bufio.Reader
	head     *headReader
	lastUsed time.Time
	// idleTimeout is the time for which the connection may be idle before it is closed.
	idleTimeout time.Duration
	// hasReceivedResponse reports whether an exchange on the connection succeeded.
	hasReceivedResponse bool
	// received is the number of final responses that were read from the connection.
	received int
	// writeBuffer holds the encoded request and is reused by later exchanges.
	writeBuffer []byte
}

func newConn(address string, nc net.Conn) *conn {
	head, now := &headReader{nc: nc}, time.Now()
	return &conn{address: address, nc: nc, openedAt: now, head: head, r: bufio.NewReaderSize(head, readBufferSize), lastUsed: now, idleTimeout: defaultIdleTimeout}
}

func (c *conn) isExpired(now time.Time) bool { return now.Sub(c.lastUsed) > c.idleTimeout }

// isUsable reports whether an idle connection can carry another request. If requireFresh
// is set, the connection must have been idle for at most maxFreshIdle.
func (c *conn) isUsable(now time.Time, requireFresh bool) bool {
	if c.isExpired(now) || requireFresh && now.Sub(c.lastUsed) > maxFreshIdle {
		return false
	}
	return !tcp.HasInput(c.nc)
}

// exchange writes a request and reads its response. It also reports whether the
// connection may be reused.
func (c *conn) exchange(ctx context.Context, call *Call, p *Pool) (*Reply, bool, error) {
	stop := context.AfterFunc(ctx, c.abort)
	defer stop()
	sentAt := time.Now()
	written, err := c.write(call)
	if err != nil {
		return nil, false, c.wrapError(ctx, "write", err)
	}
	reply, reusable, err := c.read(call, p)
	if err != nil {
		return nil, false, c.wrapError(ctx, "read", err)
	}
	select {
	case err := <-written:
		reusable = reusable && err == nil
	default:
		// The server responded before it had received the whole body. The rest of
		// the body must not precede another request on this connection.
		reusable = false
	}
	c.lastUsed, c.hasReceivedResponse = time.Now(), true
	reply.SentAt, reply.IsConnectionKept = sentAt, reusable && stop()
	return reply, reply.IsConnectionKept, nil
}

// abort sets a deadline in the past, so that blocked reads and writes return at once.
func (c *conn) abort() {
	if err := c.nc.SetDeadline(time.Unix(1, 0)); err != nil {
		// The connection is closed already, so no read or write is blocked.
		return
	}
}

// wrapError returns the Failure for an error of the operation op. If ctx has ended, the
// Failure wraps the cause of ctx instead of err, because abort interrupted the operation.
func (c *conn) wrapError(ctx context.Context, op string, err error) error {
	if ctx.Err() != nil {
		return sentError(op, context.Cause(ctx))
	}
	if !c.hasReceivedResponse && errors.Is(err, syscall.ECONNRESET) {
		return resetError(op, err)
	}
	return sentError(op, err)
}

// write sends the request. A body larger than maxInlineBody is written in the background.
// The returned channel receives the error of the write, or nil, when the write ends.
func (c *conn) write(call *Call) (<-chan error, error) {
	written := make(chan error, 1)
	c.writeBuffer = call.appendRequest(c.writeBuffer[:0])
	if len(call.Body) <= maxInlineBody {
		c.writeBuffer = append(c.writeBuffer, call.Body...)
		_, err := c.nc.Write(c.writeBuffer)
		written <- err
		return written, err
	}
	go func() {
		buffers := net.Buffers{c.writeBuffer, call.Body}
		_, err := buffers.WriteTo(c.nc)
		written <- err
	}()
	return written, nil
}

// appendRequest appends the request line and the header of the request to b.
func (call *Call) appendRequest(b []byte) []byte {
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

// read returns the response to call and reports whether the connection may be
// reused. It skips responses that echo the ID of another request. After a response
// without an ID the connection is not reused, because a late copy of that response could
// not be told from the next one.
func (c *conn) read(call *Call, p *Pool) (*Reply, bool, error) {
	maxBody := p.opts.MaxBody
	if call.MaxBody > 0 {
		maxBody = min(maxBody, call.MaxBody)
	}
	for skipped := 0; ; skipped++ {
		reply, reusable, err := c.readFinalResponse(call, maxBody, &p.memory)
		if err != nil {
			return nil, false, err
		}
		reply.Match = matchOf(reply.Header, call, p.opts.EchoHeader, c.received == 0)
		p.matches[reply.Match].Add(1)
		c.received++
		if reply.Match != Foreign {
			return reply, reusable && reply.Match == Echoed && skipped == 0, nil
		}
		if skipped == maxSkippedResponses || !reusable && c.r.Buffered() == 0 {
			return nil, false, protocolError("response carries the ID of another request: " + strconv.Quote(reply.Header.Get(p.opts.EchoHeader)))
		}
	}
}

// readFinalResponse reads the next final response, that is, one without a 1xx status,
// whichever request it belongs to. It also reports whether the connection may be
// reused.
func (c *conn) readFinalResponse(call *Call, maxBody int64, m *memory) (*Reply, bool, error) {
	// The body is not closed: Close would read the rest of it, which may have no end.
	resp, err := c.readHead(call) //nolint:bodyclose // The connection is closed unless the body was read whole.
	if err != nil {
		return nil, false, err
	}
	body, err := readBody(resp, maxBody, m)
	if err != nil {
		return nil, false, err
	}
	isFramed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	reusable := isFramed && !resp.Close && c.r.Buffered() == 0
	c.updateIdleTimeout(resp.Header, call.IdleTimeout)
	return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, reusable, nil
}

// defaultRequest and headRequest tell http.ReadResponse whether a response belongs to a
// HEAD request and so has no body. Only their method matters.
var (
	defaultRequest = &http.Request{Method: http.MethodGet}
	headRequest    = &http.Request{Method: http.MethodHead}
)

// minStatus and maxStatus are the least and the greatest status of a response (RFC 9110,
// section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// readHead reads the head of the next final response. It discards responses with a 1xx
// status. All these heads together have at most maxHeadBytes. A status that does not exist is
// an error, and so is a change of protocols, which no request asks for.
func (c *conn) readHead(call *Call) (*http.Response, error) {
	req := defaultRequest
	if call.Method == http.MethodHead {
		req = headRequest
	}
	c.head.beginHead()
	defer c.head.endHead()
	for {
		resp, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, err
		}
		switch status := resp.StatusCode; {
		case status < minStatus, status > maxStatus, status == http.StatusSwitchingProtocols:
			return nil, protocolError("response has the status " + strconv.Itoa(status))
		case status >= http.StatusOK:
			return resp, nil
		}
	}
}

// updateIdleTimeout sets the idle timeout to configured, or to defaultIdleTimeout if
// configured is 0. If the server's Keep-Alive header gives a timeout, the idle timeout is
// at most that timeout less idleTimeoutMargin.
func (c *conn) updateIdleTimeout(h http.Header, configured time.Duration) {
	c.idleTimeout = defaultIdleTimeout
	if configured > 0 {
		c.idleTimeout = configured
	}
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		// A timeout beyond idleTimeout changes nothing, and might not fit into a Duration.
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 && seconds < int(c.idleTimeout/time.Second)+1 {
			c.idleTimeout = min(c.idleTimeout, time.Duration(seconds)*time.Second-idleTimeoutMargin)
		}
	}
}
