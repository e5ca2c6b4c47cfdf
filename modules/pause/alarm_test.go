package pause

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestTimerExpiresOnceAndAgainAfterReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		a := NewAlarm(time.Second)
		defer a.Stop()
		<-a.C()
		if d := time.Since(start); d != time.Second {
			t.Errorf("expired after %s", d)
		}
		a.Reset(2 * time.Second)
		select {
		case <-a.C():
			t.Error("expired immediately after Reset")
		default:
		}
		<-a.C()
		if d := time.Since(start); d != 3*time.Second {
			t.Errorf("expired after %s", d)
		}
	})
}

func TestTimerResetDiscardsPendingExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAlarm(time.Second)
		defer a.Stop()
		time.Sleep(1500 * time.Millisecond)
		a.Reset(time.Second)
		start := time.Now()
		<-a.C()
		if d := time.Since(start); d != time.Second {
			t.Errorf("expired after %s", d)
		}
	})
}
