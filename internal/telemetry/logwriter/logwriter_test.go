package logwriter

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	b       strings.Builder
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.b.Write(p)
}

func TestWriteDoesNotBlockOnStuckOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		w := New(out, Options{})
		start := time.Now()
		for range 10 * queueCapacity {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if time.Since(start) != 0 {
			t.Fatalf("writing took %s, want 0s", time.Since(start))
		}
		close(out.release)
		w.Close()
		written := int64(strings.Count(out.b.String(), "\n"))
		if written+w.Dropped() != 10*queueCapacity || written < queueCapacity {
			t.Fatalf("%d lines written, %d dropped", written, w.Dropped())
		}
	})
}

// More than ten times as many requests as RequestsPerSecond arrive, and a few of them
// have failed. The number of logged requests must stay within the limit, and all failed
// requests must be logged although others are not.
func TestAdmitLimitsRateAndPrefersFailedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(&strings.Builder{}, Options{RequestsPerSecond: 100})
		defer w.Close()
		var admitted [3]int
		for range 10 {
			for range 1000 {
				for _, c := range []Class{Good, Late} {
					if w.Admit(c) {
						admitted[c]++
					}
				}
			}
			for range 40 {
				if w.Admit(Failed) {
					admitted[Failed]++
				}
			}
			time.Sleep(time.Second)
		}
		if total := admitted[Good] + admitted[Late] + admitted[Failed]; total > 1000 {
			t.Fatalf("%d requests were logged in 10 s, want at most 1000", total)
		}
		if admitted[Failed] != 400 {
			t.Fatalf("%d of 400 failed requests were logged, want all", admitted[Failed])
		}
		if w.Denied() == 0 {
			t.Fatal("no denied request was counted")
		}
	})
}
