package pause

import "time"

// Timer replaces time.Timer in a select. A select on the channel of an expired time.Timer
// crashes the runtime of Go 1.26.8 in a synctest bubble under the race detector (SIGSEGV
// in timer.maybeRunChan). A Timer therefore has its own channel, and a function passed to
// time.AfterFunc sends on this channel. A function that is due at once crashes it too, below
// time.AfterFunc, so that the shortest duration is minDuration.
type Timer struct {
	expired chan struct{}
	timer   *time.Timer
}

const minDuration = time.Nanosecond

// NewTimer returns a Timer that expires after d.
func NewTimer(d time.Duration) *Timer {
	t := &Timer{expired: make(chan struct{}, 1)}
	t.timer = time.AfterFunc(max(d, minDuration), func() {
		select {
		case t.expired <- struct{}{}:
		default:
		}
	})
	return t
}

// C returns the channel that receives a value when the timer expires.
func (t *Timer) C() <-chan struct{} { return t.expired }

// Reset makes the timer expire after d and discards an expiry that has not been
// received. An expiry that happens while Reset runs may still be received.
func (t *Timer) Reset(d time.Duration) {
	t.timer.Reset(max(d, minDuration))
	select {
	case <-t.expired:
	default:
	}
}

// Stop prevents the timer from expiring.
func (t *Timer) Stop() { t.timer.Stop() }
