package lines

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	b       strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.b.Write(p)
}

func TestAStuckOutputBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
		w := New(out, Options{})
		start := time.Now()
		for range 10 * bufferedLines {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if time.Since(start) != 0 {
			t.Fatalf("writing took %s", time.Since(start))
		}
		close(out.release)
		w.Close()
		written := int64(strings.Count(out.b.String(), "\n"))
		if written+w.Dropped() != 10*bufferedLines || written < bufferedLines {
			t.Fatalf("%d written, %d dropped", written, w.Dropped())
		}
	})
}

// At ten times the load the volume stays what it is, and failed requests keep
// their lines while others have lost theirs.
func TestVolumeIsBoundedAtTenTimesTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(&strings.Builder{}, Options{PerSecond: 100})
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
			t.Fatalf("%d requests got lines in 10 s, want 1000 at most", total)
		}
		if admitted[Failed] != 400 {
			t.Fatalf("%d of 400 failed requests got lines", admitted[Failed])
		}
		if w.Denied() == 0 {
			t.Fatal("nothing was counted as left out")
		}
	})
}
