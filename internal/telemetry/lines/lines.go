// Package lines writes log lines without ever blocking the program, at a bounded
// rate, and counts what it drops.
//
// # Usage
//
//	w := lines.New(os.Stdout, lines.Options{PerSecond: 200})
//	defer w.Close()
//	log := zerolog.New(w)
//
// Whoever writes request lines asks Admit once for a request, so that a request
// has all of its lines or none:
//
//	if w.Admit(lines.Failed) { log.Info()... }
//
// Failed and refused requests are admitted before late ones, and these before good
// ones: each class may use a larger part of the rate.
package lines

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Class is how much the lines of a request matter.
type Class int

// The classes.
const (
	// Good requests were answered whole and in time.
	Good Class = iota
	// Late requests were answered late or in part.
	Late
	// Failed requests were refused or not answered.
	Failed
)

// shares are the parts of the rate that each class may use.
var shares = [...]float64{Good: 0.2, Late: 0.6, Failed: 1}

const (
	// defaultPerSecond bounds the requests that get lines each second; at about
	// 0.5 KB a line and 10 µs it costs less than 1 % of a small host's core.
	defaultPerSecond = 100
	// bufferedLines is how many lines may wait for the output.
	bufferedLines = 1024
)

// Options are the parameters of a Writer. The zero value is completed by defaults.
type Options struct {
	// PerSecond is how many requests get lines each second.
	PerSecond int
}

// Writer writes lines in the background. It is safe for concurrent use.
type Writer struct {
	opts    Options
	queue   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	denied  atomic.Int64

	mu     sync.Mutex
	second time.Time
	used   int
	closed bool
}

// New returns a Writer to w.
func New(w io.Writer, opts Options) *Writer {
	if opts.PerSecond == 0 {
		opts.PerSecond = defaultPerSecond
	}
	l := &Writer{opts: opts, queue: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go l.run(w)
	return l
}

func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	for line := range l.queue {
		if _, err := w.Write(line); err != nil {
			// There is nowhere to tell; the count is in the metrics.
			l.dropped.Add(1)
		}
	}
}

// Write queues a line, or drops and counts it if the output is behind.
func (l *Writer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		l.dropped.Add(1)
		return len(line), nil
	}
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Admit reports whether a request of a class gets its lines.
func (l *Writer) Admit(c Class) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.used = now, 0
	}
	if float64(l.used) >= shares[c]*float64(l.opts.PerSecond) {
		l.denied.Add(1)
		return false
	}
	l.used++
	return true
}

// Dropped returns how many lines were lost because the output was behind.
func (l *Writer) Dropped() int64 { return l.dropped.Load() }

// Denied returns how many requests got no lines because of the rate.
func (l *Writer) Denied() int64 { return l.denied.Load() }

// Close writes what is queued. Lines after it are dropped.
func (l *Writer) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	<-l.done
}
