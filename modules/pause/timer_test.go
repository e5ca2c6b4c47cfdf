package pause

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestTimerExpiresOnceAndAgainAfterReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		timer := NewTimer(time.Second)
		defer timer.Stop()
		<-timer.C()
		if d := time.Since(start); d != time.Second {
			t.Errorf("expired after %s", d)
		}
		timer.Reset(2 * time.Second)
		select {
		case <-timer.C():
			t.Error("expired immediately after Reset")
		default:
		}
		<-timer.C()
		if d := time.Since(start); d != 3*time.Second {
			t.Errorf("expired after %s", d)
		}
	})
}

func TestTimerResetDiscardsPendingExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := NewTimer(time.Second)
		defer timer.Stop()
		time.Sleep(1500 * time.Millisecond)
		timer.Reset(time.Second)
		start := time.Now()
		<-timer.C()
		if d := time.Since(start); d != time.Second {
			t.Errorf("expired after %s", d)
		}
	})
}
