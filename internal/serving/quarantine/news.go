package quarantine

import (
	"time"

	"github.com/godwithatch/godwithatch/modules/rendezvous"
)

// Report is what one host tells others of a request.
type Report struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Services is the evidence, one entry for each service.
	Services []ServiceReport `json:"services"`
	// HeldMs is the time in milliseconds for which the request is still held back, or 0 if
	// it is only suspected. Terms is the number of terms so far.
	HeldMs int64 `json:"held_ms"`
	Terms  int   `json:"terms"`
}

// IsHeld reports whether the host that made the report holds the request back.
func (r *Report) IsHeld() bool { return r.HeldMs > 0 }

// ServiceReport is the evidence of one service.
type ServiceReport struct {
	Service string `json:"service"`
	// Servers are the starts of servers that ended or went silent, Attempts the attempts in
	// which one ended, and SilentAttempts those in which one went silent.
	Servers        []string `json:"servers"`
	Attempts       []uint64 `json:"attempts"`
	SilentAttempts []uint64 `json:"silent_attempts,omitempty"`
	// AliveMs is the time in milliseconds since the last reply of any server that went
	// silent, 0 if there was none; SilentMs is the time since the first of them had gone
	// silent.
	AliveMs  int64 `json:"alive_ms,omitempty"`
	SilentMs int64 `json:"silent_ms,omitempty"`
	// AgeMs is the time in milliseconds since the first of these ends.
	AgeMs int64 `json:"age_ms"`
}

// Clearance says that a service has answered a request that is suspected of ending servers.
type Clearance struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Service     string      `json:"service"`
	// IsForAll means that all hosts are told, because they may hold the request back.
	IsForAll bool `json:"for_all"`
}

// News is what a host tells others.
type News struct {
	// Suspicions go to the collectors of their request, and Verdicts to all hosts.
	Suspicions, Verdicts []Report
	Clearances           []Clearance
}

// IsEmpty reports whether there is nothing to tell.
func (n *News) IsEmpty() bool {
	return len(n.Suspicions) == 0 && len(n.Verdicts) == 0 && len(n.Clearances) == 0
}

// TakeNews returns what other hosts must be told now, and the time after which there may be
// more to tell; 0 if there is nothing further.
func (t *Table) TakeNews(now time.Time) (News, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := News{Clearances: t.cleared}
	t.cleared = nil
	next := time.Duration(0)
	for f, r := range t.records {
		if !r.isUntold {
			continue
		}
		// Evidence against a request that is held back goes to all hosts too: each of them
		// must know of which services an answer counts.
		isHeld := now.Before(r.heldUntil)
		if wait := r.untoldSince.Add(reportDelay).Sub(now); wait > 0 && !isHeld && !r.isUrgent() {
			if next == 0 || wait < next {
				next = wait
			}
			continue
		}
		r.isUntold, r.isTold = false, true
		if isHeld {
			news.Verdicts = append(news.Verdicts, reportOf(f, r, now))
		} else {
			news.Suspicions = append(news.Suspicions, reportOf(f, r, now))
		}
	}
	return news, next
}

// Reports returns what this host knows of all requests that are held back, for a host that
// has just started.
func (t *Table) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for f, r := range t.records {
		if now.Before(r.heldUntil) {
			r.isTold = true
			reports = append(reports, reportOf(f, r, now))
		}
	}
	return reports
}

func reportOf(f Fingerprint, r *record, now time.Time) Report {
	report := Report{Fingerprint: f, HeldMs: max(r.heldUntil.Sub(now).Milliseconds(), 0), Terms: r.terms}
	for service, e := range r.services {
		report.Services = append(report.Services, ServiceReport{
			Service: service, Servers: e.servers, Attempts: e.attempts, SilentAttempts: e.silentAttempts,
			AliveMs: ageMs(now, e.lastAlive), SilentMs: ageMs(now, e.firstSilent), AgeMs: now.Sub(e.since).Milliseconds(),
		})
	}
	return report
}

// ageMs returns the time from t to now in milliseconds, at least 1, or 0 if t is zero.
func ageMs(now, t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(now.Sub(t).Milliseconds(), 1)
}

// timeOf returns the time that was ms milliseconds before now, or the zero time if ms is 0.
func timeOf(now time.Time, ms int64) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return now.Add(-clampMs(ms))
}

// Merge adds what another host reports. It returns the services that have answered the
// request since, or shortly before; evidence of these does not count.
func (t *Table) Merge(report Report) []Clearance {
	now := time.Now()
	var answered []Clearance
	var counted []ServiceReport
	for _, s := range report.Services {
		since := now.Add(-clampMs(s.AgeMs))
		if t.answers.HasSince(answerKey(report.Fingerprint, s.Service), since.Add(-answerMemory)) {
			answered = append(answered, Clearance{Fingerprint: report.Fingerprint, Service: s.Service})
			continue
		}
		counted = append(counted, s)
	}
	if len(counted) > 0 {
		t.merge(report, counted, now)
	}
	return answered
}

func (t *Table) merge(report Report, services []ServiceReport, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(report.Fingerprint, now)
	isNew := false
	for _, s := range services {
		isNew = r.add(s.Service, evidence{
			servers: s.Servers, attempts: s.Attempts, silentAttempts: s.SilentAttempts,
			lastAlive: timeOf(now, s.AliveMs), firstSilent: timeOf(now, s.SilentMs), since: now.Add(-clampMs(s.AgeMs)),
		}) || isNew
	}
	r.isTold = true
	if isNew {
		r.changedAt = now
	}
	if report.IsHeld() {
		r.hold(now, clampMs(report.HeldMs), report.Terms)
	} else if isNew || r.isOnTrial(now) {
		t.judge(r, now)
	}
}

// clampMs returns a number of milliseconds as a duration between 0 and maxTerm.
func clampMs(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxTerm.Milliseconds())) * time.Millisecond
}

// MergeClearance takes over that a service has answered a request at another host. The other
// hosts are told if they may hold the request back and do not know.
func (t *Table) MergeClearance(c Clearance) {
	t.answers.Record(answerKey(c.Fingerprint, c.Service))
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[c.Fingerprint]
	if r == nil {
		return
	}
	now := time.Now()
	r.isTold = !c.IsForAll && now.Before(r.heldUntil)
	t.clear(c.Fingerprint, r, c.Service, now)
}

// collectorCount is the number of hosts that collect the suspicions of one request. More
// than one, because a host may be down.
const collectorCount = 2

// Collectors returns the hosts that collect the suspicions of a request, and after them
// those that do if a collector does not answer. All hosts that know the same hosts choose
// the same.
func Collectors(f Fingerprint, hosts []string) (collectors, substitutes []string) {
	order := rendezvous.Order(f.String(), hosts, func(h string) string { return h })
	n := min(collectorCount, len(order))
	return order[:n], order[n:min(2*collectorCount, len(order))]
}
