// Package pause waits for a time or for the end of a context.
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

// For waits for d and reports whether it passed before ctx ended. A time that is
// not above zero is over at once.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := NewAlarm(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-ctx.Done():
		return false
	}
}
