package query

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/modules/pause"
)

const (
	// quarantineCrashes is how many servers must have broken a connection under
	// a request before it is refused. One alone blames nobody.
	quarantineCrashes = 2
	// quarantineTime is how long a request is refused after its last crash.
	quarantineTime = time.Minute
)

// Suspect is a request that was in flight on servers that crashed. Hosts tell
// each other of suspects.
type Suspect struct {
	Fingerprint uint64   `cbor:"1,keyasint"`
	Servers     []string `cbor:"2,keyasint"`
	// AgeMS is the time since the last crash in milliseconds.
	AgeMS int64 `cbor:"3,keyasint"`
}

type suspicion struct {
	servers map[string]bool
	crash   time.Time
	dirty   bool
}

// Quarantine holds requests suspected of crashing servers. The zero value is
// empty and ready to use.
type Quarantine struct {
	count     atomic.Int64
	successes successTable
	mu        sync.Mutex
	suspects  map[uint64]*suspicion
}

// IsHeld reports whether requests with a fingerprint are refused.
func (q *Quarantine) IsHeld(fingerprint uint64) bool {
	if q.count.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[fingerprint]
	if s == nil {
		return false
	}
	if time.Since(s.crash) > quarantineTime || q.successes.isSince(fingerprint, s.crash) {
		q.remove(fingerprint)
		return false
	}
	return len(s.servers) >= quarantineCrashes
}

// Crashed records servers that crashed under a request.
func (q *Quarantine) Crashed(fingerprint uint64, servers ...string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.add(fingerprint, servers, time.Now())
}

// Learn takes in a suspect of another host and reports whether it was news. A
// request that succeeded here after the crash is no suspect.
func (q *Quarantine) Learn(s Suspect) bool {
	crash := time.Now().Add(-time.Duration(s.AgeMS) * time.Millisecond)
	if s.AgeMS < 0 || s.AgeMS > quarantineTime.Milliseconds() || q.successes.isSince(s.Fingerprint, crash) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.add(s.Fingerprint, s.Servers, crash)
}

func (q *Quarantine) add(fingerprint uint64, servers []string, crash time.Time) bool {
	if q.suspects == nil {
		q.suspects = map[uint64]*suspicion{}
	}
	s := q.suspects[fingerprint]
	if s == nil {
		s = &suspicion{servers: map[string]bool{}}
		q.suspects[fingerprint] = s
		q.count.Add(1)
	}
	news := false
	for _, server := range servers {
		news = news || !s.servers[server]
		s.servers[server] = true
	}
	if crash.After(s.crash) {
		s.crash = crash
	}
	s.dirty = s.dirty || news
	return news
}

// Succeeded records that a request ran to its end on some server, which a
// request that crashes servers never does.
func (q *Quarantine) Succeeded(fingerprint uint64) {
	q.successes.record(fingerprint)
	if q.count.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(fingerprint)
}

func (q *Quarantine) remove(fingerprint uint64) {
	if _, ok := q.suspects[fingerprint]; ok {
		delete(q.suspects, fingerprint)
		q.count.Add(-1)
	}
}

// TakeChanged returns the suspects that changed since the last call.
func (q *Quarantine) TakeChanged() []Suspect {
	if q.count.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []Suspect
	for fingerprint, s := range q.suspects {
		if !s.dirty {
			continue
		}
		s.dirty = false
		suspect := Suspect{Fingerprint: fingerprint, AgeMS: time.Since(s.crash).Milliseconds()}
		for server := range s.servers {
			suspect.Servers = append(suspect.Servers, server)
		}
		list = append(list, suspect)
	}
	return list
}

// crashWatch counts the crashes under one query. A request that crashes servers
// succeeds on none, so the first success of any shard clears it: servers that
// fail together for another reason must not end the query.
type crashWatch struct {
	quarantine  *Quarantine
	fingerprint uint64
	shards      int
	crashes     atomic.Int32
	success     chan struct{}
	second      chan struct{}
	once        sync.Once
}

func (c *crashWatch) init(q *Quarantine, req Request, shards int) {
	c.shards = shards
	c.second = make(chan struct{})
	c.quarantine = q
	c.fingerprint = req.fingerprint()
	c.success = make(chan struct{})
}

func (c *crashWatch) succeeded() {
	c.once.Do(func() {
		close(c.success)
		c.quarantine.Succeeded(c.fingerprint)
	})
}

// isSuspect reports whether a server crashed under the query and none answered.
func (c *crashWatch) isSuspect() bool {
	select {
	case <-c.success:
		return false
	default:
		return c.crashes.Load() > 0
	}
}

// failed records a crash and decides whether the request may be sent again. It
// waits a short time for the other shards, if there are any, since their end
// tells whether the request is to blame: a success clears it, a second crash
// without any success puts it in quarantine.
func (c *crashWatch) failed(ctx context.Context, server string, patience time.Duration) error {
	if c.crashes.Add(1) == quarantineCrashes {
		close(c.second)
	}
	select {
	case <-c.success:
		return nil
	default:
	}
	c.quarantine.Crashed(c.fingerprint, server)
	if c.crashes.Load() < quarantineCrashes && !c.quarantine.IsHeld(c.fingerprint) {
		if c.shards == 1 || !c.isSecondWithin(ctx, patience) {
			return nil
		}
	}
	timer := pause.NewAlarm(patience)
	defer timer.Stop()
	select {
	case <-c.success:
		return nil
	case <-timer.C():
	case <-ctx.Done():
	}
	return fault.New(fault.RequestQuarantined, fault.Unknown, "the request was in flight when %d servers crashed", c.crashes.Load())
}

// isSecondWithin reports whether a second server crashes under the query within
// a time and before any answers.
func (c *crashWatch) isSecondWithin(ctx context.Context, d time.Duration) bool {
	timer := pause.NewAlarm(d)
	defer timer.Stop()
	select {
	case <-c.second:
		return true
	case <-c.success:
	case <-timer.C():
	case <-ctx.Done():
	}
	return false
}
