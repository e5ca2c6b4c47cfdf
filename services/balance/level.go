package balance

import (
	"slices"
	"time"
)

// place sets the first host of the server's subset, the rank of this host in it, and the
// connections that each host may use.
func (t *Tracker) place(first string, rank, hosts, perHost int, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.first = first
	t.rank, t.hosts, t.perHost, t.direct = rank, hosts, perHost, direct
	t.computeShare()
}

// accept records whether operators let the server take new work. A server that
// returns after a time without work may be cold, so its limit starts again.
func (t *Tracker) accept(accepts bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !accepts && t.closedAt.IsZero():
		t.closedAt = time.Now()
	case accepts && !t.closedAt.IsZero():
		if time.Since(t.closedAt) > coolingTime {
			t.fall(1)
		}
		t.closedAt = time.Time{}
	}
}

// computeShare spreads the level over the hosts of the subset, the first ones
// getting the rest of the division. The caller holds mu.
func (t *Tracker) computeShare() {
	share := t.perHost
	if !t.direct && t.known.Level < t.hosts*t.perHost {
		share = t.known.Level / max(t.hosts, 1)
		if t.rank < t.known.Level%max(t.hosts, 1) {
			share++
		}
	}
	if t.rank >= t.hosts {
		share = 0
	}
	t.share.Store(int32(min(share, t.perHost)))
	t.level.Store(int32(t.known.Level))
	t.ramping.Store(!t.direct && t.known.Level < FullLevel)
}

// fall starts a new epoch at a low level. The caller holds mu. A server that is
// already as low stays in its epoch, so that many failures of one fall do not
// start many epochs.
func (t *Tracker) fall(level int) {
	t.successes, t.successTime = 0, 0
	t.levelAt = time.Now()
	if t.known.Level <= level {
		return
	}
	t.known.Epoch++
	t.known.Sequence = 0
	t.setLevel(level)
}

// setLevel changes the level. The caller holds mu.
func (t *Tracker) setLevel(level int) {
	t.known.Level = level
	t.levelAt = time.Now()
	t.successes, t.successTime = 0, 0
	t.dirty = true
	t.computeShare()
}

// learn takes in the knowledge of another host.
func (t *Tracker) learn(k Knowledge) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !k.newer(t.known) {
		return false
	}
	if k.Level != t.known.Level || k.Epoch != t.known.Epoch {
		t.levelAt = time.Now()
		t.successes, t.successTime = 0, 0
	}
	rebuild := !slices.Equal(k.Holdings, t.known.Holdings) || k.Draining != t.known.Draining
	t.known = k
	t.draining.Store(k.Draining)
	t.dirty = true
	t.computeShare()
	if rebuild {
		t.notify()
	}
	return true
}

// tick lets the level grow at the first host of the subset, and a share that
// shedding cut regrow at every host.
func (t *Tracker) tick(now time.Time) {
	t.window.tick(t.inFlight.Load())
	if t.cut.Load() > 0 {
		t.mu.Lock()
		if now.Sub(t.cutAt) >= shareRegrowth {
			t.cut.Add(-1)
			t.cutAt = now
		}
		t.mu.Unlock()
	}
	if !t.ramping.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rank != 0 || !t.mayGrow(now) {
		return
	}
	level := max(t.known.Level+1, t.known.Level*3/2)
	if level >= t.hosts*t.perHost {
		level = FullLevel
	}
	t.known.Sequence++
	t.setLevel(level)
}

// TakeCredit returns the successes of this host at a limited server and the host
// to tell, and forgets them. It reports false if there is nothing to tell.
func (t *Tracker) TakeCredit() (string, Credit, bool) {
	if !t.ramping.Load() {
		return "", Credit{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.successes == 0 || t.rank == 0 || t.first == "" {
		return "", Credit{}, false
	}
	c := Credit{t.known.Server, t.known.Epoch, t.successes, t.successTime}
	t.successes, t.successTime = 0, 0
	return t.first, c, true
}

// addCredit counts the successes of another host.
func (t *Tracker) addCredit(c Credit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Epoch == t.known.Epoch && c.Successes > 0 && c.Time > 0 {
		t.successes += c.Successes
		t.successTime += c.Time
	}
}

// mayGrow reports whether the level has lasted and proved itself. The caller
// holds mu.
func (t *Tracker) mayGrow(now time.Time) bool {
	if now.Sub(t.levelAt) < growInterval {
		return false
	}
	if t.successes < min(max(minimumCredits, t.known.Level), maximumCredits) {
		return false
	}
	reference := time.Duration(t.reference.Load())
	return reference == 0 || t.successTime <= slowFactor*reference*time.Duration(t.successes)
}
