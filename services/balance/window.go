package balance

import "sync/atomic"

const (
	// leastWindow is the window of a server that this host has not used lately: one
	// request and a second one beside it.
	leastWindow = 2
	// widenPercent is what part of the time in a slot of the fastest replica an answer
	// may take to widen the window. Six of seven do at a warm server, one of twenty at
	// a cold one that is four times slower.
	widenPercent = 150
	// lateWindow is the window after an answer that came much too late.
	lateWindow = 1
)

// window bounds how many requests a host has at a server by what the server has lately
// answered in time from this host. The zero value is a window of leastWindow.
//
// It answers this load: a replica leaves, and its share of the load moves to the others
// at once. If one of those has turned cold unannounced, each host sees an answer or two
// of it before it has sent six requests more, and the server falls. With a window the
// load moves as fast as answers in time come back, and a late one stops it.
type window struct {
	size atomic.Int32
	// peak is the most requests since the last tick.
	peak atomic.Int32
}

// limit returns how many requests the host may have at the server.
func (w *window) limit() int32 {
	if n := w.size.Load(); n > 0 {
		return n
	}
	return leastWindow
}

// took records that the host has n requests at the server.
func (w *window) took(n int32) {
	if n > w.peak.Load() {
		w.peak.Store(n)
	}
}

// inTime widens a window that is in full use by n requests, up to most.
func (w *window) inTime(n, most int32) {
	if limit := w.limit(); n >= limit && limit < most {
		w.size.Store(limit + 1)
	}
}

// late narrows the window.
func (w *window) late() { w.size.Store(lateWindow) }

// tick narrows a window that is wider than its use of n requests now, since what the
// server bore then may not be what it bears now.
func (w *window) tick(n int32) {
	peak := w.peak.Swap(n)
	if limit := w.limit(); limit > max(peak+1, leastWindow) {
		w.size.Store(limit - 1)
	}
}
