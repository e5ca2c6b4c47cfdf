package query

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/modules/pause"
	"github.com/godwithatch/godwithatch/modules/recency"
)

const (
	// quarantineThreshold is the number of servers that must have broken a
	// connection during the same request before that request is refused. A single
	// broken connection does not show that the request is the cause.
	quarantineThreshold = 2
	// quarantineDuration is the time for which a request is refused after the
	// last crash of a server during that request.
	quarantineDuration = time.Minute
)

// Suspect is a request that was in flight on servers that crashed. Hosts send
// their suspects to each other.
type Suspect struct {
	Fingerprint uint64   `cbor:"1,keyasint"`
	Servers     []string `cbor:"2,keyasint"`
	// AgeMS is the time since the last crash in milliseconds.
	AgeMS int64 `cbor:"3,keyasint"`
}

type crashRecord struct {
	servers      map[string]bool
	lastCrash    time.Time
	isUnreported bool
}

// Quarantine holds requests suspected of crashing servers. The zero value is
// empty and ready to use.
type Quarantine struct {
	suspectCount atomic.Int64
	successes    recency.Table
	mu           sync.Mutex
	suspects     map[uint64]*crashRecord
}

// IsBlocked reports whether requests with the given fingerprint (the hash of route and
// payload) are refused.
func (q *Quarantine) IsBlocked(fingerprint uint64) bool {
	if q.suspectCount.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[fingerprint]
	if s == nil {
		return false
	}
	if time.Since(s.lastCrash) > quarantineDuration || q.successes.HasSince(fingerprint, s.lastCrash) {
		q.remove(fingerprint)
		return false
	}
	return len(s.servers) >= quarantineThreshold
}

// RecordCrash records servers that crashed during a request.
func (q *Quarantine) RecordCrash(fingerprint uint64, servers ...string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.add(fingerprint, servers, time.Now())
}

// Merge adds a suspect reported by another host, and reports whether the suspect
// names a server that was not yet recorded for this request. It ignores a suspect
// if the request succeeded through this host after the crash.
func (q *Quarantine) Merge(s Suspect) bool {
	crashedAt := time.Now().Add(-time.Duration(s.AgeMS) * time.Millisecond)
	if s.AgeMS < 0 || s.AgeMS > quarantineDuration.Milliseconds() || q.successes.HasSince(s.Fingerprint, crashedAt) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.add(s.Fingerprint, s.Servers, crashedAt)
}

func (q *Quarantine) add(fingerprint uint64, servers []string, crashedAt time.Time) bool {
	if q.suspects == nil {
		q.suspects = map[uint64]*crashRecord{}
	}
	s := q.suspects[fingerprint]
	if s == nil {
		s = &crashRecord{servers: map[string]bool{}}
		q.suspects[fingerprint] = s
		q.suspectCount.Add(1)
	}
	isNew := false
	for _, server := range servers {
		isNew = isNew || !s.servers[server]
		s.servers[server] = true
	}
	if crashedAt.After(s.lastCrash) {
		s.lastCrash = crashedAt
	}
	s.isUnreported = s.isUnreported || isNew
	return isNew
}

// RecordSuccess records that a request completed on some server and removes it
// from the suspects, because a request that crashes servers never completes.
func (q *Quarantine) RecordSuccess(fingerprint uint64) {
	q.successes.Record(fingerprint)
	if q.suspectCount.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(fingerprint)
}

func (q *Quarantine) remove(fingerprint uint64) {
	if _, ok := q.suspects[fingerprint]; ok {
		delete(q.suspects, fingerprint)
		q.suspectCount.Add(-1)
	}
}

// TakeChanged returns the suspects for which servers were added since the last call of
// TakeChanged.
func (q *Quarantine) TakeChanged() []Suspect {
	if q.suspectCount.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []Suspect
	for fingerprint, s := range q.suspects {
		if !s.isUnreported {
			continue
		}
		s.isUnreported = false
		suspect := Suspect{Fingerprint: fingerprint, AgeMS: time.Since(s.lastCrash).Milliseconds()}
		for server := range s.servers {
			suspect.Servers = append(suspect.Servers, server)
		}
		list = append(list, suspect)
	}
	return list
}

// crashDetector counts the servers that crash during one query and decides
// whether the request is to blame. A request that crashes servers succeeds on
// none of them, so the first success on any shard clears the request. If servers
// fail at the same time for another reason, the query must continue.
type crashDetector struct {
	quarantine   *Quarantine
	fingerprint  uint64
	shards       int
	crashes      atomic.Int32
	firstSuccess chan struct{}
	secondCrash  chan struct{}
	successOnce  sync.Once
}

func (c *crashDetector) init(q *Quarantine, req Request, shards int) {
	c.shards = shards
	c.secondCrash = make(chan struct{})
	c.quarantine = q
	c.fingerprint = req.fingerprint()
	c.firstSuccess = make(chan struct{})
}

func (c *crashDetector) recordSuccess() {
	c.successOnce.Do(func() {
		close(c.firstSuccess)
		c.quarantine.RecordSuccess(c.fingerprint)
	})
}

// isSuspect reports whether a server crashed during the query and no server has
// answered it yet.
func (c *crashDetector) isSuspect() bool {
	select {
	case <-c.firstSuccess:
		return false
	default:
		return c.crashes.Load() > 0
	}
}

// recordCrash records a crash and returns a fault if the request must not be sent
// again. If the query has other shards, recordCrash first waits up to grace for
// their results, which show whether the request is to blame. A success clears the
// request. A second crash without any success quarantines the request.
func (c *crashDetector) recordCrash(ctx context.Context, server string, grace time.Duration) error {
	if c.crashes.Add(1) == quarantineThreshold {
		close(c.secondCrash)
	}
	select {
	case <-c.firstSuccess:
		return nil
	default:
	}
	c.quarantine.RecordCrash(c.fingerprint, server)
	if c.crashes.Load() < quarantineThreshold && !c.quarantine.IsBlocked(c.fingerprint) {
		if c.shards == 1 || !c.hasSecondCrashWithin(ctx, grace) {
			return nil
		}
	}
	timer := pause.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-c.firstSuccess:
		return nil
	case <-timer.C():
	case <-ctx.Done():
	}
	return fault.New(fault.RequestQuarantined, fault.Unknown, "the request was in flight when %d servers crashed", c.crashes.Load())
}

// hasSecondCrashWithin reports whether a second server crashes during the query
// within d and before any server answers.
func (c *crashDetector) hasSecondCrashWithin(ctx context.Context, d time.Duration) bool {
	timer := pause.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.secondCrash:
		return true
	case <-c.firstSuccess:
	case <-timer.C():
	case <-ctx.Done():
	}
	return false
}
