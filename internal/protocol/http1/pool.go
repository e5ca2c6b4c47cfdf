package http1

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/godwithatch/godwithatch/internal/protocol/tcp"
)

const (
	// connectTimeout limits the time to open a connection. It is shorter than one
	// second: TCP retransmits a lost SYN after one second, which is too late for most
	// requests.
	connectTimeout = 900 * time.Millisecond
	// defaultIdleTimeout is the time for which an idle connection is kept if neither the
	// request nor the server sets an idle timeout.
	defaultIdleTimeout = 50 * time.Second
	// surplusIdleTimeout is the time for which an idle connection is kept if another idle
	// connection to the same server was used more recently. Surplus connections are
	// closed early because servers limit the number of connections, and the connections
	// of a host that has lost power count towards the limit until the server detects the
	// loss.
	surplusIdleTimeout = 1500 * time.Millisecond
	// idleTimeoutMargin is subtracted from the idle timeout that a server announces,
	// because the next request must arrive at the server before that timeout expires.
	idleTimeoutMargin = 300 * time.Millisecond
	// maxFreshIdle is the idle time up to which a connection counts as fresh, that is, as
	// not yet closed by the server. Servers that close idle connections keep them open
	// for longer than maxFreshIdle.
	maxFreshIdle = time.Second
	// defaultMaxBody is the maximum size of a response body in bytes if Options does not
	// set one.
	defaultMaxBody = 16 << 20
)

// Pool keeps open connections to servers for reuse. It is safe for concurrent use.
type Pool struct {
	opts    Options
	memory  memory
	matches matchCounters
	// refusals joins the checks of IsRefusing for the same address.
	refusals singleflight.Group

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used last.
	idle      map[string][]*conn
	openCount int
}

// NewPool returns an empty Pool.
func NewPool(opts Options) *Pool {
	if opts.MaxBody == 0 {
		opts.MaxBody = defaultMaxBody
	}
	if opts.Dial == nil {
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return tcp.Dialer().DialContext(ctx, "tcp4", address)
		}
	}
	return &Pool{opts: opts, memory: memory{limit: opts.MaxBodies}, idle: map[string][]*conn{}}
}

// Clone returns an empty Pool with the same options.
func (p *Pool) Clone() *Pool { return NewPool(p.opts) }

// Exchange sends a request to the server at address and reads the complete response.
// If ctx ends first, Exchange closes the connection, which tells the server to stop.
// Each error is a *Failure.
func (p *Pool) Exchange(ctx context.Context, address string, call *Call) (*Reply, error) {
	c, err := p.acquire(ctx, address, call)
	if err != nil {
		return nil, unsentError("connect", err)
	}
	reply, reusable, err := c.exchange(ctx, call, p)
	if err != nil || !reusable {
		p.discard(c)
		return reply, err
	}
	p.pushIdle(c)
	return reply, nil
}

// acquire returns a usable idle connection to address, or a new connection if there is
// none and the call allows a new one.
func (p *Pool) acquire(ctx context.Context, address string, call *Call) (*conn, error) {
	if c := p.popUsable(address, call.RequireFresh, call.OpenBy); c != nil {
		return c, nil
	}
	if !call.OpenBy.IsZero() {
		return nil, ErrNotConnected
	}
	return p.dial(ctx, address)
}

// popUsable removes and returns a usable idle connection to address that was open at the time
// openBy, unless that is zero, or nil if there is none. It closes the idle connections that it
// finds unusable.
func (p *Pool) popUsable(address string, requireFresh bool, openBy time.Time) *conn {
	for {
		c := p.popIdle(address, openBy)
		if c == nil || c.isUsable(time.Now(), requireFresh) {
			return c
		}
		p.discard(c)
	}
}

// popIdle removes and returns the most recently used idle connection to address that was open
// at the time openBy, unless that is zero, or nil if there is none.
func (p *Pool) popIdle(address string, openBy time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; openBy.IsZero() || !c.openedAt.After(openBy) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	start := time.Now()
	nc, err := p.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if p.opts.OnConnect != nil {
		p.opts.OnConnect(address, time.Since(start))
	}
	p.mu.Lock()
	p.openCount++
	p.mu.Unlock()
	return newConn(address, nc), nil
}

func (p *Pool) pushIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *Pool) discard(c *conn) {
	c.nc.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
}

// CloseIdleConnections closes the idle connections to the given addresses. It is called
// when the addresses are no longer in use.
func (p *Pool) CloseIdleConnections(addresses []string) {
	var dropped []*conn
	p.mu.Lock()
	for _, a := range addresses {
		dropped = append(dropped, p.idle[a]...)
		delete(p.idle, a)
	}
	p.mu.Unlock()
	for _, c := range dropped {
		p.discard(c)
	}
}

// HasIdle reports whether the pool has an idle connection to address.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// OpenConnections returns the number of open connections, idle or in use.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}

// RejectedBodies returns the number of response bodies that were cut off because of
// Options.MaxBodies.
func (p *Pool) RejectedBodies() int64 { return p.memory.rejected.Load() }

// Responses returns the number of final responses with the given match.
func (p *Pool) Responses(m Match) int64 { return p.matches[m].Load() }

// Prune closes the idle connections whose idle timeout has expired at now, and surplus
// idle connections after surplusIdleTimeout. The owner of the pool calls it about once
// a second.
func (p *Pool) Prune(now time.Time) {
	var dropped []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for i, c := range list {
			isSurplus := i < len(list)-1
			if c.isExpired(now) || isSurplus && now.Sub(c.lastUsed) > surplusIdleTimeout {
				dropped = append(dropped, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range dropped {
		p.discard(c)
	}
}
