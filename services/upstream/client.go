package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/table"
)

const (
	connectTimeout  = time.Second
	idleConnTimeout = 30 * time.Second
	// statusRefused is the HTTP status with which a server refuses a call that it
	// has not run.
	statusRefused = http.StatusServiceUnavailable
)

// Client is a Transport over HTTP. It keeps a pool of connections for each server.
type Client struct {
	responseTimeout time.Duration
	mu              sync.RWMutex
	transports      map[string]*serverTransports
}

// serverTransports holds the HTTP transports to one server. A pooled connection
// may have stopped delivering data. Calls that must not use such a connection go
// over singleUse, which opens a new connection for each call.
type serverTransports struct {
	pooled    *http.Transport
	singleUse *http.Transport
	// limit is the maximum number of pooled connections; 0 means no limit.
	limit atomic.Int32
}

// NewClient returns a Client. If a call over a pooled connection has no complete
// response after responseTimeout, the client closes that connection and all idle
// connections to the same server, so that the next call uses a new connection.
func NewClient(responseTimeout time.Duration) *Client {
	return &Client{responseTimeout: responseTimeout, transports: map[string]*serverTransports{}}
}

// SetLimit sets the maximum number of pooled connections to a server; 0 means no
// limit.
func (c *Client) SetLimit(u *table.Upstream, limit int) {
	transports := c.transportsFor(u)
	if transports.limit.Swap(int32(limit)) == int32(limit) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	replacement := newServerTransports(limit)
	replacement.limit.Store(int32(limit))
	c.transports[u.Address().String()] = replacement
	transports.pooled.CloseIdleConnections()
}

// CloseIdleConnections closes the idle connections to a server.
func (c *Client) CloseIdleConnections(u *table.Upstream) {
	c.transportsFor(u).pooled.CloseIdleConnections()
}

func newServerTransports(limit int) *serverTransports {
	dial := (&net.Dialer{Timeout: connectTimeout}).DialContext
	return &serverTransports{
		pooled: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     limit,
			MaxIdleConnsPerHost: max(limit, 2),
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		singleUse: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
	}
}

func (c *Client) transportsFor(u *table.Upstream) *serverTransports {
	address := u.Address().String()
	c.mu.RLock()
	transports := c.transports[address]
	c.mu.RUnlock()
	if transports != nil {
		return transports
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if transports = c.transports[address]; transports == nil {
		transports = newServerTransports(0)
		c.transports[address] = transports
	}
	return transports
}

// Do implements Transport.
func (c *Client) Do(ctx context.Context, u *table.Upstream, call Call) (*Answer, error) {
	body, err := EncodeCall(call)
	if err != nil {
		return nil, fault.Wrap(fault.MalformedBody, fault.NotRun, err, "the call cannot be encoded")
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline())
	defer cancel()
	status, content, err := c.exchange(ctx, u, http.MethodPost, "/v1/query", body, call.needsNewConnection)
	if err != nil {
		return nil, err
	}
	switch status {
	case http.StatusOK:
		return DecodeAnswer(call, content)
	case statusRefused:
		if refusal, ok := decodeRefusal(u.ID(), call, content); ok {
			return nil, refusal
		}
	}
	return nil, fault.New(fault.UpstreamFailed, fault.Unknown, "%s answered %d", u.ID(), status)
}

// State implements Transport.
func (c *Client) State(ctx context.Context, u *table.Upstream) (State, error) {
	status, content, err := c.exchange(ctx, u, http.MethodGet, "/v1/state", nil, true)
	if err != nil {
		return State{}, err
	}
	if status != http.StatusOK {
		return State{}, fault.New(fault.UpstreamFailed, fault.Unknown, "%s answered %d for its state", u.ID(), status)
	}
	return decodeState(content)
}

// exchange sends one request and returns the status and body of the response. On
// a pooled connection, the complete response must arrive within responseTimeout.
func (c *Client) exchange(ctx context.Context, u *table.Upstream, method, path string, body []byte, useNewConnection bool) (int, []byte, error) {
	transports := c.transportsFor(u)
	transport := transports.pooled
	if useNewConnection {
		transport = transports.singleUse
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var headersWritten, responseTimedOut atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { headersWritten.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+u.Address().String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fault.Wrap(fault.Internal, fault.NotRun, err, "the request cannot be made")
	}
	// Without GetBody, net/http cannot resend the request on its own. The caller
	// of this package decides whether to resend it, depending on whether the
	// fault proves that the request did not run.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if !useNewConnection {
		timer := time.AfterFunc(c.responseTimeout, func() {
			responseTimedOut.Store(true)
			transports.pooled.CloseIdleConnections()
			cancel()
		})
		defer timer.Stop()
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, nil, connectionFault(u, err, headersWritten.Load(), responseTimedOut.Load())
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes))
	if err != nil {
		return 0, nil, connectionFault(u, err, true, responseTimedOut.Load())
	}
	return resp.StatusCode, content, nil
}

// connectionFault returns the fault for a failed exchange. Its outcome is NotRun if
// the request headers were not written or the connection was refused, because the
// server cannot have run the request then.
func connectionFault(u *table.Upstream, err error, headersWritten, responseTimedOut bool) error {
	outcome := fault.Unknown
	if !headersWritten || errors.Is(err, syscall.ECONNREFUSED) {
		outcome = fault.NotRun
	}
	switch {
	case responseTimedOut:
		return fault.Wrap(fault.ConnectionSilent, outcome, err, "%s gave nothing on an open connection", u.ID())
	case errors.Is(err, context.DeadlineExceeded):
		return fault.Wrap(fault.DeadlineExceeded, outcome, err, "%s gave no answer in time", u.ID())
	case errors.Is(err, context.Canceled):
		return fault.Wrap(fault.Cancelled, outcome, err, "the call to %s was cancelled", u.ID())
	default:
		return fault.Wrap(fault.ConnectionFailed, outcome, err, "connection to %s failed", u.ID())
	}
}
