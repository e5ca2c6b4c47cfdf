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
	// statusRefused is the status with which a server refuses a call that did
	// not run.
	statusRefused = http.StatusServiceUnavailable
)

// Client is a Server over HTTP. It keeps a pool of connections for each server.
type Client struct {
	silence time.Duration
	mu      sync.RWMutex
	conns   map[string]*connections
}

// connections are the connections to one server: kept ones, and one-off ones
// for calls that must not meet a silent connection.
type connections struct {
	kept  *http.Transport
	fresh *http.Transport
	limit atomic.Int32
}

// NewClient returns a Client. A kept connection that gives nothing for the
// silence is dropped together with the idle ones of the same server, so that
// the next call uses a new connection.
func NewClient(silence time.Duration) *Client {
	return &Client{silence: silence, conns: map[string]*connections{}}
}

// SetLimit bounds the number of kept connections to a server.
func (c *Client) SetLimit(u *table.Upstream, connections int) {
	conns := c.connectionsTo(u)
	if conns.limit.Swap(int32(connections)) == int32(connections) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	replacement := newConnections(connections)
	replacement.limit.Store(int32(connections))
	c.conns[u.Address().String()] = replacement
	conns.kept.CloseIdleConnections()
}

// Forget drops the idle connections of a server.
func (c *Client) Forget(u *table.Upstream) { c.connectionsTo(u).kept.CloseIdleConnections() }

func newConnections(limit int) *connections {
	dial := (&net.Dialer{Timeout: connectTimeout}).DialContext
	return &connections{
		kept: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     limit,
			MaxIdleConnsPerHost: max(limit, 2),
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		fresh: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
	}
}

func (c *Client) connectionsTo(u *table.Upstream) *connections {
	address := u.Address().String()
	c.mu.RLock()
	conns := c.conns[address]
	c.mu.RUnlock()
	if conns != nil {
		return conns
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conns = c.conns[address]; conns == nil {
		conns = newConnections(0)
		c.conns[address] = conns
	}
	return conns
}

// Do implements Server.
func (c *Client) Do(ctx context.Context, u *table.Upstream, call Call) (*Answer, error) {
	body, err := EncodeCall(call)
	if err != nil {
		return nil, fault.Wrap(fault.MalformedBody, fault.NotRun, err, "the call cannot be encoded")
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline())
	defer cancel()
	status, content, err := c.exchange(ctx, u, http.MethodPost, "/v1/query", body, call.fresh)
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

// State implements Server.
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

// exchange sends one request and reads the whole answer. While the answer has
// not begun, a timer watches for silence.
func (c *Client) exchange(ctx context.Context, u *table.Upstream, method, path string, body []byte, fresh bool) (int, []byte, error) {
	conns := c.connectionsTo(u)
	transport := conns.kept
	if fresh {
		transport = conns.fresh
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent, silent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+u.Address().String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fault.Wrap(fault.Internal, fault.NotRun, err, "the request cannot be made")
	}
	// The library must not send a request again on its own: that decision, and
	// what it proves, belongs to the caller of this package.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if !fresh {
		watch := time.AfterFunc(c.silence, func() {
			silent.Store(true)
			conns.kept.CloseIdleConnections()
			cancel()
		})
		defer watch.Stop()
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, nil, connectionFault(u, err, sent.Load(), silent.Load())
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswer))
	if err != nil {
		return 0, nil, connectionFault(u, err, true, silent.Load())
	}
	return resp.StatusCode, content, nil
}

// connectionFault tells what a failed exchange proves. Before the first byte of
// the request was written, the server cannot have run it.
func connectionFault(u *table.Upstream, err error, sent, silent bool) error {
	outcome := fault.Unknown
	if !sent || errors.Is(err, syscall.ECONNREFUSED) {
		outcome = fault.NotRun
	}
	switch {
	case silent:
		return fault.Wrap(fault.ConnectionSilent, outcome, err, "%s gave nothing on an open connection", u.ID())
	case errors.Is(err, context.DeadlineExceeded):
		return fault.Wrap(fault.DeadlineExceeded, outcome, err, "%s gave no answer in time", u.ID())
	case errors.Is(err, context.Canceled):
		return fault.Wrap(fault.Cancelled, outcome, err, "the call to %s was cancelled", u.ID())
	default:
		return fault.Wrap(fault.ConnectionFailed, outcome, err, "connection to %s failed", u.ID())
	}
}
