package source

import (
	"context"
	"sync"
)

// Latch blocks the callers of Wait while it is closed. It can be opened and closed
// repeatedly. The zero value is closed. A Latch is safe for concurrent use.
type Latch struct {
	mu     sync.Mutex
	isOpen bool
	opened chan struct{}
}

// Set opens or closes the latch.
func (l *Latch) Set(isOpen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case isOpen == l.isOpen:
		return
	case isOpen:
		close(l.channel())
	default:
		l.opened = nil
	}
	l.isOpen = isOpen
}

// channel returns the channel that is closed when the latch opens. The caller must hold
// mu.
func (l *Latch) channel() chan struct{} {
	if l.opened == nil {
		l.opened = make(chan struct{})
	}
	return l.opened
}

// Wait waits until the latch is open. It returns false if ctx ends first.
func (l *Latch) Wait(ctx context.Context) bool {
	l.mu.Lock()
	opened := l.channel()
	l.mu.Unlock()
	select {
	case <-opened:
		return true
	case <-ctx.Done():
		return false
	}
}
