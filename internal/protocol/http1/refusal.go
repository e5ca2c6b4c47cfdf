package http1

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// refusalTimeout is the time within which a new connection shows whether a server still
// accepts connections. It exceeds the round trip between two regions.
const refusalTimeout = 100 * time.Millisecond

// IsRefusing reports whether the server at address refuses new connections, as it does
// after its process has ended. It opens no connection if an idle one shows that the server
// runs, and keeps the one that it opens. A server that does not answer counts as running.
func (p *Pool) IsRefusing(ctx context.Context, address string) bool {
	if c := p.popUsable(address, false, time.Time{}); c != nil {
		p.pushIdle(c)
		return false
	}
	// Many exchanges fail at once if a server ends.
	refused, _, _ := p.refusals.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refusalTimeout)
		defer cancel()
		c, err := p.dial(ctx, address)
		if err == nil {
			p.pushIdle(c)
		}
		return errors.Is(err, syscall.ECONNREFUSED), nil
	})
	return refused == true
}
