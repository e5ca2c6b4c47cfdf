package pause

import "time"

// Alarm is a timer for a select. Its channel is filled by a function that the timer
// calls: a select that meets the channel of a runtime timer which has run out crashes
// the runtime of Go 1.26.8 in a synctest bubble under the race detector (SIGSEGV in
// timer.maybeRunChan).
type Alarm struct {
	fired chan struct{}
	timer *time.Timer
}

// NewAlarm returns an Alarm that goes off after d.
func NewAlarm(d time.Duration) *Alarm {
	a := &Alarm{fired: make(chan struct{}, 1)}
	a.timer = time.AfterFunc(d, func() {
		select {
		case a.fired <- struct{}{}:
		default:
		}
	})
	return a
}

// C receives a value when the alarm goes off.
func (a *Alarm) C() <-chan struct{} { return a.fired }

// Reset sets the alarm anew. One that goes off at the same moment may be received
// once more.
func (a *Alarm) Reset(d time.Duration) {
	a.timer.Reset(d)
	select {
	case <-a.fired:
	default:
	}
}

// Stop ends the alarm.
func (a *Alarm) Stop() { a.timer.Stop() }
