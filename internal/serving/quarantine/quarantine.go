// Package quarantine holds back requests that end the servers that run them.
//
// # Usage
//
//	var t quarantine.Table
//	if wait := t.HoldTime(fingerprint); wait > 0 { ... } // refuse the request
//	t.RecordCrash(fingerprint, attempt, "shard7", "i-1")
//	t.RecordSilence(fingerprint, attempt, "shard7", quarantine.Silence{Server: "i-2", ...})
//	t.RecordAnswer(fingerprint, "shard7")
//	<-t.Changed()
//	news, next := t.TakeNews(now) // tell other hosts
//	answered := t.Merge(report)   // learn from other hosts
//
// A request that ends servers comes again, at any host, and each time it takes a server of
// each shard away for seconds. The servers that end take the sound requests with them that
// they run at that moment. What tells the two apart is that a sound request is answered
// before and after, by other servers of the same service. Evidence against a request is
// therefore kept by service, an answer of a service cancels the evidence of that service,
// and evidence counts only if the service has not answered the request shortly before.
//
// A request is held back once minServers servers have ended in minAttempts attempts, or have
// gone silent in so many, one after the other. It is refused without having run, for a term
// that grows each time it ends a server again.
//
// Hosts tell each other what they saw: suspicions go to the few hosts that Collectors
// names, so that attempts at different hosts add up, and the beginning of a term goes to
// all hosts. A host that has been answered by the service says so, which ends the term
// everywhere. No host has to agree; each decides by what it knows.
package quarantine

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/modules/recency"
)

const (
	// maxRecords is the largest number of requests that are remembered.
	maxRecords = 1024
	// answerMemory is the time before a crash in which an answer of the service shows that
	// the request does not end servers. It is short, since a request may begin to end
	// servers when their data change.
	answerMemory = 2 * time.Second
	// reportDelay is the time for which a suspicion is kept back, since an extra send often
	// brings an answer that ends it.
	reportDelay = 50 * time.Millisecond
)

// seed makes the keys of answers unpredictable for clients.
var seed = maphash.MakeSeed()

// Table holds what a host knows of requests that end servers. The zero value is empty and
// ready to use. It is safe for concurrent use.
type Table struct {
	answers recency.Table
	// recordCount is the length of records.
	recordCount atomic.Int64
	termCount   atomic.Int64
	changedOnce sync.Once
	changed     chan struct{}

	mu      sync.Mutex
	records map[Fingerprint]*record
	// cleared are the answers that other hosts must be told.
	cleared []Clearance
}

// answerKey returns the key of the answers of a service to a request.
func answerKey(f Fingerprint, service string) uint64 {
	return maphash.Comparable(seed, struct {
		f       Fingerprint
		service string
	}{f, service})
}

// HoldTime returns the time for which a request is still held back, or 0 if it is not.
func (t *Table) HoldTime(f Fingerprint) time.Duration {
	if t.recordCount.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil {
		return 0
	}
	return max(time.Until(r.heldUntil), 0)
}

// Held returns the number of requests that are held back now, and Terms the number of terms
// that this host began by its own judgement.
func (t *Table) Held() int {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.records {
		if now.Before(r.heldUntil) {
			n++
		}
	}
	return n
}

// Terms returns the number of terms that began by the judgement of this host.
func (t *Table) Terms() int64 { return t.termCount.Load() }

// RecordCrash records that a server of a service ended while it ran a request. server
// identifies the start of the server, and attempt the attempt of the client.
func (t *Table) RecordCrash(f Fingerprint, attempt uint64, service, server string) {
	t.add(f, service, evidence{servers: []string{server}, attempts: []uint64{attempt}})
}

// RecordSilence records that a server of a service went silent while it ran a request, as
// after the loss of its machine.
func (t *Table) RecordSilence(f Fingerprint, attempt uint64, service string, s Silence) {
	t.add(f, service, evidence{servers: []string{s.Server}, silentAttempts: []uint64{attempt}, lastAlive: s.AliveAt, firstSilent: s.SilentBy})
}

// add adds evidence of a service that this host has seen.
func (t *Table) add(f Fingerprint, service string, e evidence) {
	now := time.Now()
	e.since = now
	if t.answers.HasSince(answerKey(f, service), now.Add(-answerMemory)) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(f, now)
	if !r.add(service, e) && !r.isOnTrial(now) {
		return
	}
	r.changedAt = now
	t.markUntold(r, now)
	t.judge(r, now)
}

// judge begins a term of a record if due. The caller holds mu.
func (t *Table) judge(r *record, now time.Time) {
	if !r.judge(now) {
		return
	}
	t.termCount.Add(1)
	t.markUntold(r, now)
}

func (t *Table) markUntold(r *record, now time.Time) {
	if !r.isUntold {
		r.isUntold, r.untoldSince = true, now
	}
	t.notify()
}

// record returns the record of a request. It creates one if there is none, and drops the
// record that changed last if there would be too many, the held ones last. The caller holds
// mu.
func (t *Table) record(f Fingerprint, now time.Time) *record {
	if r := t.records[f]; r != nil {
		return r
	}
	if t.records == nil {
		t.records = map[Fingerprint]*record{}
	}
	if len(t.records) >= maxRecords {
		t.dropOne(now)
	}
	r := &record{services: map[string]*evidence{}, changedAt: now}
	t.records[f] = r
	t.recordCount.Store(int64(len(t.records)))
	return r
}

// dropOne drops the least recently changed record, one that is not held if there is any.
// The caller holds mu.
func (t *Table) dropOne(now time.Time) {
	var oldest Fingerprint
	var found *record
	for f, r := range t.records {
		isHeld := now.Before(r.heldUntil)
		if found != nil {
			isFoundHeld := now.Before(found.heldUntil)
			if isHeld && !isFoundHeld || isHeld == isFoundHeld && !r.changedAt.Before(found.changedAt) {
				continue
			}
		}
		oldest, found = f, r
	}
	t.remove(oldest)
}

// remove removes a record. The caller holds mu.
func (t *Table) remove(f Fingerprint) {
	delete(t.records, f)
	t.recordCount.Store(int64(len(t.records)))
}

// RecordAnswer records that a service answered a request, whatever the answer was: its
// server has not ended.
func (t *Table) RecordAnswer(f Fingerprint, service string) {
	t.answers.Record(answerKey(f, service))
	if t.recordCount.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[f]; r != nil {
		t.clear(f, r, service, time.Now())
	}
}

// clear removes the evidence of a service against a request. If what is left does not
// suffice, the term ends. Other hosts are told if they know the request. The caller holds
// mu.
func (t *Table) clear(f Fingerprint, r *record, service string, now time.Time) {
	if r.services[service] == nil {
		return
	}
	delete(r.services, service)
	wasHeld := now.Before(r.heldUntil)
	if wasHeld && !r.isConvincing() {
		r.heldUntil = now
	}
	if r.isTold && len(t.cleared) < maxRecords {
		t.cleared = append(t.cleared, Clearance{Fingerprint: f, Service: service, IsForAll: wasHeld})
		t.notify()
	}
	if len(r.services) == 0 {
		t.remove(f)
	}
}

// Release forgets a request, as an operator asks for.
func (t *Table) Release(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(f)
}

// Expire forgets what no longer matters. The owner of the table calls it from time to time.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, r := range t.records {
		if r.isExpired(now) {
			t.remove(f)
		}
	}
}

// Changed returns a channel that receives a value when TakeNews has something to tell,
// though perhaps not yet.
func (t *Table) Changed() <-chan struct{} {
	t.initChanged()
	return t.changed
}

func (t *Table) initChanged() { t.changedOnce.Do(func() { t.changed = make(chan struct{}, 1) }) }

func (t *Table) notify() {
	t.initChanged()
	select {
	case t.changed <- struct{}{}:
	default:
	}
}
