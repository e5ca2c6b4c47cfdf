package balance

import "sync/atomic"

const (
	// idleWindow is the size of the window (the limit on this host's requests in flight
	// at a server) for a server to which this host has sent no requests lately. It allows
	// two requests in flight.
	idleWindow = 2
	// widenPercent is the service time below which an answer widens the window, in per
	// cent of the service time of the fastest other replica. Six of seven answers of a
	// warm server are below this value, but only one of twenty answers of a server that
	// is four times slower because its caches are cold.
	widenPercent = 150
	// lateWindow is the size of the window after an answer that is very late (see
	// veryLateFactor).
	lateWindow = 1
)

// window limits the number of requests that this host has in flight at a server. It
// widens while the server's answers are not late in comparison with those of the other
// replicas. The zero value is a window of size idleWindow.
//
// The window protects a replica whose caches have become cold (lost their contents)
// without the hosts' knowledge. When another replica leaves, its share of the load moves
// to the remaining replicas at once. Without a window, each host sends the cold replica
// six more requests before more than one or two answers of the replica have arrived, and
// the replica fails. With a window, the load rises only as fast as answers arrive that
// are not late, and a very late answer stops the rise.
type window struct {
	size atomic.Int32
	// peak is the highest number of requests in flight since the last tick.
	peak atomic.Int32
}

// limit returns the number of requests that the host may have in flight at the server.
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

// widenIfFull widens the window by one, up to maxSize, if the n requests in flight fill
// it.
func (w *window) widenIfFull(n, maxSize int32) {
	if limit := w.limit(); n >= limit && limit < maxSize {
		w.size.Store(limit + 1)
	}
}

// narrow reduces the window to lateWindow.
func (w *window) narrow() { w.size.Store(lateWindow) }

// tick narrows by one a window that is wider than the recent use requires, since the
// server may no longer be able to handle the load that it handled earlier. n is the
// number of requests in flight now.
func (w *window) tick(n int32) {
	peak := w.peak.Swap(n)
	if limit := w.limit(); limit > max(peak+1, idleWindow) {
		w.size.Store(limit - 1)
	}
}
