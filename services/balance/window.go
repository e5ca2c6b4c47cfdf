package balance

import "sync/atomic"

const (
	// idleWindow is the window of a server that this host has not used lately: one
	// request and a second one beside it.
	idleWindow = 2
	// widenPercent is the service time up to which an answer widens the window, in per
	// cent of that of the fastest replica. Six of seven answers of a warm server stay
	// below it, and one of twenty of a cold server that is four times slower.
	widenPercent = 150
	// lateWindow is the window after a very late answer.
	lateWindow = 1
)

// window limits how many requests this host has in flight at a server, by how many the
// server has lately answered in time. The zero value is a window of idleWindow.
//
// It handles the case where a replica leaves and its share of the load moves to the
// others at once. If one of those has turned cold without notice, each host sees one or
// two of its answers before it has sent six more requests, and the server fails. With a
// window, the load moves only as fast as answers arrive in time, and a late answer
// stops it.
type window struct {
	size atomic.Int32
	// peak is the highest number of requests in flight since the last tick.
	peak atomic.Int32
}

// limit returns how many requests the host may have in flight at the server.
func (w *window) limit() int32 {
	if n := w.size.Load(); n > 0 {
		return n
	}
	return idleWindow
}

// recordInFlight records that the host has n requests in flight at the server.
func (w *window) recordInFlight(n int32) {
	if n > w.peak.Load() {
		w.peak.Store(n)
	}
}

// widenIfFull widens the window by one, up to maxSize, if n requests fill it.
func (w *window) widenIfFull(n, maxSize int32) {
	if limit := w.limit(); n >= limit && limit < maxSize {
		w.size.Store(limit + 1)
	}
}

// narrow reduces the window to lateWindow.
func (w *window) narrow() { w.size.Store(lateWindow) }

// tick narrows a window that is wider than its recent use, since the server may no
// longer handle what it handled earlier. n is the number of requests in flight now.
func (w *window) tick(n int32) {
	peak := w.peak.Swap(n)
	if limit := w.limit(); limit > max(peak+1, idleWindow) {
		w.size.Store(limit - 1)
	}
}
