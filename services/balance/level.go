package balance

import (
	"slices"
	"time"
)

// setPlacement sets the first host of the server's subset (the hosts that may send
// requests to it, in order), the rank of this host in the subset, the number of hosts in
// the subset, and the number of connections that each of these hosts may use.
func (t *Tracker) setPlacement(firstHost string, rank, hostCount, connectionsPerHost int, noAdaptiveLimits bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstHost = firstHost
	t.rank, t.hostCount, t.connectionsPerHost, t.noAdaptiveLimits = rank, hostCount, connectionsPerHost, noAdaptiveLimits
	t.computeShare()
}

// setAccepting records whether the server accepts new work. If it accepts work again
// after more than warmIdleTime without work, its caches may be cold, so the limit on its
// requests (its level) is reset to 1.
func (t *Tracker) setAccepting(accepts bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !accepts && t.notAcceptingSince.IsZero():
		t.notAcceptingSince = time.Now()
	case accepts && !t.notAcceptingSince.IsZero():
		if time.Since(t.notAcceptingSince) > warmIdleTime {
			t.resetLevel(1)
		}
		t.notAcceptingSince = time.Time{}
	}
}

// computeShare divides the level (the limit on the requests of all hosts together to the
// server) equally among the hosts of the subset and sets this host's share. If the level
// is not divisible, each of the first hosts of the subset receives one request more. The
// caller holds mu.
func (t *Tracker) computeShare() {
	share := t.connectionsPerHost
	if !t.noAdaptiveLimits && t.knowledge.Level < t.hostCount*t.connectionsPerHost {
		share = t.knowledge.Level / max(t.hostCount, 1)
		if t.rank < t.knowledge.Level%max(t.hostCount, 1) {
			share++
		}
	}
	if t.rank >= t.hostCount {
		share = 0
	}
	t.share.Store(int32(min(share, t.connectionsPerHost)))
	t.level.Store(int32(t.knowledge.Level))
	t.isRamping.Store(!t.noAdaptiveLimits && t.knowledge.Level < FullLevel)
}

// resetLevel lowers the level to the given one and starts a new epoch of the server's
// record, so that the lower level replaces the higher one at all hosts. If the level is
// not higher than the given one, the epoch does not change, so that many failures with
// one cause do not start many epochs. The caller holds mu.
func (t *Tracker) resetLevel(level int) {
	t.successes, t.successLatencySum = 0, 0
	t.levelChangedAt = time.Now()
	if t.knowledge.Level <= level {
		return
	}
	t.knowledge.Epoch++
	t.knowledge.Sequence = 0
	t.setLevel(level)
}

// setLevel changes the level and restarts the count of successes. The caller holds mu.
func (t *Tracker) setLevel(level int) {
	t.knowledge.Level = level
	t.levelChangedAt = time.Now()
	t.successes, t.successLatencySum = 0, 0
	t.hasUnsentChange = true
	t.computeShare()
}

// mergeKnowledge replaces this host's record of the server by the record k of another
// host if k is newer, and reports whether it did.
func (t *Tracker) mergeKnowledge(k Knowledge) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !k.newer(t.knowledge) {
		return false
	}
	if k.Level != t.knowledge.Level || k.Epoch != t.knowledge.Epoch {
		t.levelChangedAt = time.Now()
		t.successes, t.successLatencySum = 0, 0
	}
	rebuild := !slices.Equal(k.Holdings, t.knowledge.Holdings) || k.Draining != t.knowledge.Draining
	t.knowledge = k
	t.isDraining.Store(k.Draining)
	t.hasUnsentChange = true
	t.computeShare()
	if rebuild {
		t.notify()
	}
	return true
}

// tick narrows the window if it is wider than recent use requires. Once every
// shareRegrowInterval, it restores one request of a share that was cut after the server
// shed load. If this host is the first of the subset, tick also raises the level if
// mayRaiseLevel allows it.
func (t *Tracker) tick(now time.Time) {
	t.window.tick(t.inFlight.Load())
	if t.shareCut.Load() > 0 {
		t.mu.Lock()
		if now.Sub(t.shareCutAt) >= shareRegrowInterval {
			t.shareCut.Add(-1)
			t.shareCutAt = now
		}
		t.mu.Unlock()
	}
	if !t.isRamping.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rank != 0 || !t.mayRaiseLevel(now) {
		return
	}
	level := max(t.knowledge.Level+1, t.knowledge.Level*3/2)
	if level >= t.hostCount*t.connectionsPerHost {
		level = FullLevel
	}
	t.knowledge.Sequence++
	t.setLevel(level)
}

// TakeSuccessReport returns the ID of the host that raises the server's level, and a
// report to that host of this host's successful requests to the server. It restarts the
// count of successes. It reports false if the server does not ramp up, no other host
// raises the level, or there are no successes.
func (t *Tracker) TakeSuccessReport() (string, SuccessReport, bool) {
	if !t.isRamping.Load() {
		return "", SuccessReport{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.successes == 0 || t.rank == 0 || t.firstHost == "" {
		return "", SuccessReport{}, false
	}
	r := SuccessReport{t.knowledge.Server, t.knowledge.Epoch, t.successes, t.successLatencySum}
	t.successes, t.successLatencySum = 0, 0
	return t.firstHost, r, true
}

// addSuccesses adds the successes that another host reports. It ignores a report whose
// epoch differs from that of this host's record of the server.
func (t *Tracker) addSuccesses(r SuccessReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Epoch == t.knowledge.Epoch && r.Successes > 0 && r.TotalLatency > 0 {
		t.successes += r.Successes
		t.successLatencySum += r.TotalLatency
	}
}

// mayRaiseLevel reports whether the level may be raised. The level must have been in
// force for levelRaiseInterval, with enough successes since (see minLevelSuccesses), and
// their mean latency must not exceed slowLatencyFactor times the reference latency. The
// caller holds mu.
func (t *Tracker) mayRaiseLevel(now time.Time) bool {
	if now.Sub(t.levelChangedAt) < levelRaiseInterval {
		return false
	}
	if t.successes < min(max(minLevelSuccesses, t.knowledge.Level), maxLevelSuccesses) {
		return false
	}
	reference := time.Duration(t.referenceLatency.Load())
	return reference == 0 || t.successLatencySum <= slowLatencyFactor*reference*time.Duration(t.successes)
}
