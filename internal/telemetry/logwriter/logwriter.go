// Package logwriter writes log lines in the background, so that a slow output never
// blocks the program. It limits the number of requests that are logged each second, and
// counts the lines and requests that it drops.
//
// # Usage
//
//	w := logwriter.New(os.Stdout, logwriter.Options{RequestsPerSecond: 200})
//	defer w.Close()
//	log := zerolog.New(w)
//
// Code that logs a request calls Admit once for it, so that either all or none of
// its lines are written:
//
//	if w.Admit(logwriter.Failed) { log.Info()... }
//
// Failed and refused requests take precedence over late requests, and late requests over
// good ones: a more important class may use a larger share of the limit on logged
// requests.
package logwriter

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Class ranks requests by the importance of their log lines.
type Class int

// The classes, in ascending order of importance.
const (
	// Good requests were answered completely and within the latency objective, after
	// which an answer is worth less to the caller.
	Good Class = iota
	// Late requests were answered after the latency objective or partially.
	Late
	// Failed requests were refused or got no answer.
	Failed
)

// classRateShares holds a fraction of Options.RequestsPerSecond for each class. A request
// is logged only if fewer requests than this fraction, of all classes together, have been
// logged in the current one-second window.
var classRateShares = [...]float64{Good: 0.2, Late: 0.6, Failed: 1}

const (
	// defaultRequestsPerSecond is the default of Options.RequestsPerSecond. At about 0.5
	// KB and 10 µs a line, logging this many requests takes less than 1 % of a core of a
	// small host.
	defaultRequestsPerSecond = 100
	// queueCapacity is the maximum number of lines that wait to be written to the output.
	queueCapacity = 1024
)

// Options configures a Writer. A field that is zero takes its default.
type Options struct {
	// RequestsPerSecond is the maximum number of requests that are logged each second;
	// 0 means 100.
	RequestsPerSecond int
}

// Writer writes log lines in the background. It is safe for concurrent use.
type Writer struct {
	opts           Options
	queue          chan []byte
	done           chan struct{}
	droppedLines   atomic.Int64
	deniedRequests atomic.Int64

	mu sync.Mutex
	// windowStart is the start of the current one-second window in which admitted
	// requests are counted.
	windowStart time.Time
	// admittedInWindow is the number of requests admitted in the current one-second
	// window.
	admittedInWindow int
	closed           bool
}

// New returns a Writer that writes to w. Close ends its goroutine.
func New(w io.Writer, opts Options) *Writer {
	if opts.RequestsPerSecond == 0 {
		opts.RequestsPerSecond = defaultRequestsPerSecond
	}
	l := &Writer{opts: opts, queue: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go l.run(w)
	return l
}

func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	for line := range l.queue {
		if _, err := w.Write(line); err != nil {
			// The error can't be logged, since the log output itself has failed. The
			// metrics expose the count of dropped lines.
			l.droppedLines.Add(1)
		}
	}
}

// Write queues a copy of line. If the queue is full or the Writer is closed, Write drops
// the line and counts it. It never blocks and never returns an error.
func (l *Writer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		l.droppedLines.Add(1)
		return len(line), nil
	}
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.droppedLines.Add(1)
	}
	return len(line), nil
}

// Admit reports whether the log lines of a request of class c may be written, and
// counts the request as logged or as denied.
func (l *Writer) Admit(c Class) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.admittedInWindow = now, 0
	}
	if float64(l.admittedInWindow) >= classRateShares[c]*float64(l.opts.RequestsPerSecond) {
		l.deniedRequests.Add(1)
		return false
	}
	l.admittedInWindow++
	return true
}

// Dropped returns the number of lines that were lost because the output was too slow or
// failed, or because the Writer was closed.
func (l *Writer) Dropped() int64 { return l.droppedLines.Load() }

// Denied returns the number of requests that were not logged because of the limit on
// requests per second.
func (l *Writer) Denied() int64 { return l.deniedRequests.Load() }

// Close waits until the queued lines have been written. Lines that are passed to Write
// later are dropped.
func (l *Writer) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	<-l.done
}
