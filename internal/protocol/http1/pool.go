package http1

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/internal/protocol/tcp"
)

const (
	// connectTimeout is the longest wait for a connection; a lost opening packet
	// is repeated after one second, which is too late for most requests.
	connectTimeout = 900 * time.Millisecond
	// idleLimit is how long an unused connection is kept if the server states no
	// time.
	idleLimit = 50 * time.Second
	// spareLimit is how long a connection is kept beside one that was used later.
	// Servers count connections against a limit, and those of a host that lost
	// power for as long as they think them open.
	spareLimit = 1500 * time.Millisecond
	// idleMargin is subtracted from the time that a server states, because the
	// next request must arrive before it.
	idleMargin = 300 * time.Millisecond
	// freshLimit is how long a connection counts as just used: servers that
	// forget idle connections keep them for longer than that.
	freshLimit = time.Second
	// maxBody bounds the body of an answer in bytes.
	maxBody = 16 << 20
)

// Pool keeps connections to servers. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu   sync.Mutex
	idle map[string][]*conn
	open int
}

// NewPool returns a Pool without connections.
func NewPool(opts Options) *Pool {
	if opts.MaxBody == 0 {
		opts.MaxBody = maxBody
	}
	if opts.Dial == nil {
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return tcp.Dialer().DialContext(ctx, "tcp4", address)
		}
	}
	return &Pool{opts: opts, idle: map[string][]*conn{}}
}

// Exchange sends a call and reads its whole answer. It ends when ctx does; the
// connection is closed then, which tells the server to stop.
func (p *Pool) Exchange(ctx context.Context, address string, call *Call) (*Reply, error) {
	c, err := p.connection(ctx, address, call.Fresh)
	if err != nil {
		return nil, unsent("connect", err)
	}
	reply, reusable, err := c.exchange(ctx, call, p.opts)
	if err != nil || !reusable {
		p.discard(c)
		return reply, err
	}
	p.keep(c)
	return reply, nil
}

func (p *Pool) connection(ctx context.Context, address string, fresh bool) (*conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.isUsable(time.Now(), fresh) {
			return c, nil
		}
		p.discard(c)
	}
}

// take removes the connection that was used last.
func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	start := time.Now()
	nc, err := p.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if p.opts.Connected != nil {
		p.opts.Connected(address, time.Since(start))
	}
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	return newConn(address, nc), nil
}

func (p *Pool) keep(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *Pool) discard(c *conn) {
	c.nc.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Forget closes the idle connections to addresses that are not used any more.
func (p *Pool) Forget(addresses []string) {
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

// HasIdle reports whether a connection to an address waits for a call.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Prune closes connections that have been idle for too long. A controller calls
// it about once a second.
func (p *Pool) Prune(now time.Time) {
	var dropped []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for i, c := range list {
			isSpare := i < len(list)-1
			if c.isExpired(now) || isSpare && now.Sub(c.usedAt) > spareLimit {
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
