package pause

import "time"

// Alarm is a timer whose channel can be used in a select. A function that time.AfterFunc
// calls sends on the channel, because a select on the channel of an expired time.Timer
// crashes the runtime of Go 1.26.8 in a synctest bubble under the race detector (SIGSEGV
// in timer.maybeRunChan).
type Alarm struct {
	expired chan struct{}
	timer   *time.Timer
}

// NewAlarm returns an Alarm that expires after d.
func NewAlarm(d time.Duration) *Alarm {
	t := &Alarm{expired: make(chan struct{}, 1)}
	t.timer = time.AfterFunc(d, func() {
		select {
		case t.expired <- struct{}{}:
		default:
		}
	})
	return t
}

// C returns the channel that receives a value when the timer expires.
func (t *Alarm) C() <-chan struct{} { return t.expired }

// Reset makes the timer expire after d and discards an expiry that has not been
// received. An expiry that happens while Reset runs may still be received.
func (t *Alarm) Reset(d time.Duration) {
	t.timer.Reset(d)
	select {
	case <-t.expired:
	default:
	}
}

// Stop prevents the timer from expiring.
func (t *Alarm) Stop() { t.timer.Stop() }
