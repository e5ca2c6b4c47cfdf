package engine

import (
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/internal/serving/quarantine"
)

const (
	// maxTimerDelay is the delay of a timer up to which this host counts as running. After a
	// longer one, replies may have arrived that this host has not read yet.
	maxTimerDelay = 100 * time.Millisecond
	// recheckDelay is the time after such a delay in which the replies are read.
	recheckDelay = 200 * time.Millisecond
)

// silenceMonitor records evidence against a request during which servers went silent, as
// after the loss of their machines. The connections do not break then, and new ones are
// neither accepted nor refused. It watches the sends of one run and may outlive the run.
type silenceMonitor struct {
	engine      *Engine
	fingerprint quarantine.Fingerprint
	attempt     uint64

	mu sync.Mutex
	// watches holds a watch for each send, in the order of the sends.
	watches []silenceWatch
	// openCount is the number of open watches. While it is not 0, timer calls check.
	openCount int
	timer     *time.Timer
}

// silenceWatch watches one send. It is open until the server has replied or the evidence has
// been recorded.
type silenceWatch struct {
	isOpen bool
	group  *fleet.Group
	server *fleet.Server
	sentAt time.Time
	ending fleet.Ending
	// due is the time at which the silence of the server is judged.
	due time.Time
}

// begin begins the watch of the next send. It is not open if the server may have been silent
// before.
func (m *silenceMonitor) begin(group *fleet.Group, server *fleet.Server, sentAt time.Time) {
	ending, ok := group.Ending(server, sentAt)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watches = append(m.watches, silenceWatch{ok, group, server, sentAt, ending, sentAt.Add(ending.Silence)})
	if !ok {
		return
	}
	m.openCount++
	if m.openCount == 1 {
		m.timer = time.AfterFunc(ending.Silence, m.check)
	}
}

// end closes the watch of a send that has ended at now, unless it ended without a reply after
// at least Ending.MinSend: the silence of the server then goes on.
func (m *silenceMonitor) end(sendIndex int, outcome fleet.Outcome, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := &m.watches[sendIndex]
	isUnanswered := outcome == fleet.TimedOut || outcome == fleet.Cancelled
	if !w.isOpen || isUnanswered && now.Sub(w.sentAt) >= w.ending.MinSend {
		return
	}
	m.close(w)
	if m.openCount == 0 {
		m.timer.Stop()
	}
}

// close closes a watch. The caller holds mu.
func (m *silenceMonitor) close(w *silenceWatch) {
	w.isOpen = false
	m.openCount--
}

// check judges the sends that are due.
func (m *silenceMonitor) check() {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var next time.Time
	for i := range m.watches {
		w := &m.watches[i]
		if w.isOpen && !now.Before(w.due) {
			m.judge(w, now)
		}
		if w.isOpen && (next.IsZero() || w.due.Before(next)) {
			next = w.due
		}
	}
	if m.openCount > 0 {
		m.timer = time.AfterFunc(next.Sub(now), m.check)
	}
}

// judge records the evidence of a watch that is due, unless the server has replied to any
// request, and closes the watch. The caller holds mu.
func (m *silenceMonitor) judge(w *silenceWatch, now time.Time) {
	if now.Sub(w.due) > maxTimerDelay {
		w.due = now.Add(recheckDelay)
		return
	}
	m.close(w)
	if w.group.RepliedAt(w.server).After(w.ending.SilentBy) {
		return
	}
	m.engine.counters.SilentServers.Add(1)
	m.engine.quarantine.RecordSilence(m.fingerprint, m.attempt, w.group.Service(), quarantine.Silence{
		Server: w.server.Incarnation(), AliveAt: w.ending.AliveAt, SilentBy: w.ending.SilentBy,
	})
}
