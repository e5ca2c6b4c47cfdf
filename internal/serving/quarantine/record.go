package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minServers is the number of servers that must have ended while they ran a request,
	// and minAttempts the number of attempts in which that happened, before the request is
	// held back. Sound requests that run beside a deadly one meet the end of their servers
	// too, but seldom in two attempts without an answer in between.
	minServers  = 3
	minAttempts = 2
	// minSilenceGap is the time between the silence of one server and the last reply of
	// another for which they count as having gone silent one after the other. It exceeds the
	// time for which a busy host may leave a reply unread.
	minSilenceGap = 150 * time.Millisecond
	// maxServices, maxServers and maxAttempts bound the evidence of one request. More
	// changes no decision.
	maxServices = 8
	maxServers  = 2 * minServers
	maxAttempts = 2 * minAttempts
)

const (
	// firstTerm is the time for which a request is held back at first. Each further term,
	// after a crash that followed the last one, is termGrowth times as long, up to maxTerm.
	// After a term the request is served again until its next crash, so that a sound
	// request is not held back for ever.
	firstTerm  = 2 * time.Minute
	termGrowth = 5
	maxTerm    = 24 * time.Hour
	trialShare = 0.2
	// SuspicionTime is the time for which evidence is kept after the last crash, or after
	// the end of the last term.
	SuspicionTime = 10 * time.Minute
)

// Silence says that a server went silent while it ran a request, at some time between its
// last reply, at AliveAt, and SilentBy. AliveAt is zero if no reply is known.
type Silence struct {
	Server            string
	AliveAt, SilentBy time.Time
}

// evidence is what speaks against a request at one service: the servers that ended while
// they ran it, and the attempts in which they did, since the service last answered it.
type evidence struct {
	servers []string
	// attempts are those in which a server ended, and silentAttempts those in which one went
	// silent.
	attempts, silentAttempts []uint64
	// lastAlive is the latest AliveAt of the servers that went silent, and firstSilent the
	// earliest SilentBy; zero if there is none.
	lastAlive, firstSilent time.Time
	since                  time.Time
}

// merge adds what o holds and reports whether anything was new.
func (e *evidence) merge(o evidence) bool {
	n, gap := e.size(), e.lastAlive.Sub(e.firstSilent)
	e.servers = union(e.servers, o.servers, maxServers)
	e.attempts = union(e.attempts, o.attempts, maxAttempts)
	e.silentAttempts = union(e.silentAttempts, o.silentAttempts, maxAttempts)
	e.lastAlive, e.firstSilent = latest(e.lastAlive, o.lastAlive), earliest(e.firstSilent, o.firstSilent)
	e.since = earliest(e.since, o.since)
	return e.size() > n || e.lastAlive.Sub(e.firstSilent) > gap
}

func (e *evidence) size() int { return len(e.servers) + len(e.attempts) + len(e.silentAttempts) }

// latest returns the later of two times, and earliest the earlier one. Zero times do not
// count.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// union adds those elements of b to a that it lacks, until a has limit elements.
func union[T comparable](a, b []T, limit int) []T {
	for _, x := range b {
		if len(a) < limit && !slices.Contains(a, x) {
			a = append(a, x)
		}
	}
	return a
}

// record is what is known of one request.
type record struct {
	services map[string]*evidence
	// changedAt is the time at which the record was created or last changed.
	changedAt time.Time
	// heldUntil is the end of the current or last term, and terms the number of terms.
	heldUntil time.Time
	terms     int
	// isUntold means that other hosts have not been told of a change, which happened at
	// untoldSince.
	isUntold    bool
	untoldSince time.Time
	// isTold means that other hosts know the request.
	isTold bool
}

// add adds evidence from a service and reports whether anything was new.
func (r *record) add(service string, e evidence) bool {
	known := r.services[service]
	if known == nil {
		if len(r.services) == maxServices {
			return false
		}
		known = &evidence{}
		r.services[service] = known
	}
	return known.merge(e)
}

// isConvincing reports whether the evidence suffices to hold the request back.
//
// Servers also go silent by themselves, many at the same moment: with their data centre, or
// because this host is cut off. Silence therefore counts only if no single moment explains
// it, that is, if one server still replied after another had gone silent.
func (r *record) isConvincing() bool {
	var attempts, allAttempts []uint64
	var lastAlive, firstSilent time.Time
	servers := 0
	for _, e := range r.services {
		attempts = union(attempts, e.attempts, minAttempts)
		allAttempts = union(union(allAttempts, e.attempts, minAttempts), e.silentAttempts, minAttempts)
		lastAlive, firstSilent = latest(lastAlive, e.lastAlive), earliest(firstSilent, e.firstSilent)
		servers += len(e.servers)
	}
	switch {
	case servers < minServers:
		return false
	case len(attempts) >= minAttempts:
		return true
	default:
		return len(allAttempts) >= minAttempts && !firstSilent.IsZero() && lastAlive.Sub(firstSilent) > minSilenceGap
	}
}

// isOnTrial reports whether the request is served again after a term, until its next crash.
func (r *record) isOnTrial(now time.Time) bool { return r.terms > 0 && !now.Before(r.heldUntil) }

// isUrgent reports whether a further attempt would suffice to hold the request back.
func (r *record) isUrgent() bool {
	servers := 0
	for _, e := range r.services {
		servers += len(e.servers)
	}
	return servers >= minServers
}

// judge begins a term if the evidence suffices, or if the request was on trial. It reports
// whether a term began.
func (r *record) judge(now time.Time) bool {
	if now.Before(r.heldUntil) || !r.isOnTrial(now) && !r.isConvincing() {
		return false
	}
	r.heldUntil = now.Add(termOf(r.terms))
	r.terms++
	return true
}

// hold takes over a term that another host began. This host's lasts up to trialShare longer,
// so that not all hosts put the request on trial at once.
func (r *record) hold(now time.Time, left time.Duration, terms int) {
	left += time.Duration(trialShare * rand.Float64() * float64(left))
	if until := now.Add(left); until.After(r.heldUntil) {
		r.heldUntil = until
	}
	r.terms = max(r.terms, min(terms, maxTermSteps), 1)
}

// termOf returns the length of the term that follows the given number of terms.
func termOf(terms int) time.Duration {
	term := firstTerm
	for range min(terms, maxTermSteps) {
		term *= termGrowth
	}
	return min(term, maxTerm)
}

// maxTermSteps is the number of terms after which a term is no longer than maxTerm.
const maxTermSteps = 5

// isExpired reports whether the record no longer matters.
func (r *record) isExpired(now time.Time) bool {
	last := r.changedAt
	if r.heldUntil.After(last) {
		last = r.heldUntil
	}
	return now.Sub(last) > SuspicionTime
}
