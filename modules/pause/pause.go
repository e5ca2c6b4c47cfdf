// Package pause waits for a duration or until a context ends.
//
// # Usage
//
//	if !pause.For(ctx, 50*time.Millisecond) {
//		return ctx.Err()
//	}
package pause

import (
	"context"
	"time"
)

// For waits for d and reports true, or reports false if ctx ends first. If d is zero or
// negative, For returns at once and reports false only if ctx has ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-ctx.Done():
		return false
	}
}
