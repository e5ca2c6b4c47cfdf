// Package claim ensures that a request with an idempotency key runs at most once.
//
// # Usage
//
// Before a non-idempotent request is sent anywhere, its key is claimed by a
// conditional write to the store. Only the holder of the claim ever sends the
// request:
//
//	service := claim.NewService(claim.Options{Self: "kingston-1", Store: store, ...})
//	claim, err := service.Claim(ctx, key, fingerprint)
//
// Keys are spread over buckets. Rendezvous hashing assigns each bucket an owner
// among the live hosts, to which the other hosts forward their claims, so that many
// claims share one write. Ownership only affects speed: the versions of the stored
// objects keep claims exclusive even when two hosts write to the same bucket, when
// a paused host resumes, or when a reply from the store is lost. A claim needs no
// lease, because it never passes to another holder: if its holder dies, the outcome
// stays unknown.
//
// While the store is down, keys cannot be claimed, and requests with a key are
// refused with an unknown outcome, because an earlier copy of the request may have
// run.
package claim

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/platform"
	"github.com/godwithatch/godwithatch/services/query"
)

// Retention is the time for which a key stays claimed, unless its claim is
// released earlier.
const Retention = 24 * time.Hour

const (
	// maxWritesPerSecond limits the writes of all buckets together.
	maxWritesPerSecond = 200
	// resultRetention is the time for which the holder of a claim keeps the result
	// of the request, for a Caller that sends the same key again.
	resultRetention = 10 * time.Minute
	// ownerTimeout limits the call to the host that owns a bucket and writes its
	// claims. After the timeout, this host writes to the bucket itself.
	ownerTimeout = 500 * time.Millisecond
)

// Digest is the truncated SHA-256 hash that identifies a key in the store.
type Digest [16]byte

func digestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:len(Digest{})])
}

// Request asks for a claim on an idempotency key, or releases the claim if Release
// is set.
type Request struct {
	Key         Digest `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
	// Nonce identifies the attempt, so that a repeated request recognises its own
	// claim after a reply from the store was lost.
	Nonce   string `cbor:"3,keyasint"`
	Host    string `cbor:"4,keyasint"`
	Release bool   `cbor:"5,keyasint,omitempty"`
}

// Reply names the attempt that holds a key. If Nonce equals the nonce of the
// request, the requesting attempt holds the key.
type Reply struct {
	Nonce       string `cbor:"1,keyasint"`
	Host        string `cbor:"2,keyasint"`
	Fingerprint uint64 `cbor:"3,keyasint"`
}

// Peers sends requests to the owner of a bucket and to the holder of a claim.
type Peers interface {
	// Claim forwards a request to the owner of its bucket.
	Claim(ctx context.Context, owner string, req Request) (Reply, error)
	// Result waits until the attempt with the nonce has ended on the holder, and
	// returns the attempt's result, or nil if there is none.
	Result(ctx context.Context, holder string, nonce string) (*query.Result, error)
}

// Options holds the dependencies and settings of a Service.
type Options struct {
	Self        string
	Incarnation string
	Store       platform.Store
	Peers       Peers
	Buckets     int
	// Owner returns the host that writes the claims of a bucket for all hosts, or
	// "" if no owner is known.
	Owner func(bucket int) string
}

// Service claims keys. It is safe for concurrent use.
type Service struct {
	opts Options

	mu          sync.Mutex
	sequence    uint64
	buckets     map[int]*bucket
	attempts    map[string]*Attempt
	lastSweepAt time.Time
}

// NewService returns a Service.
func NewService(opts Options) *Service {
	return &Service{opts: opts, buckets: map[int]*bucket{}, attempts: map[string]*Attempt{}}
}

func (s *Service) bucketIndex(key Digest) int {
	return int(xxhash.Sum64(key[:]) % uint64(s.opts.Buckets))
}

// Claim implements query.Claimer.
func (s *Service) Claim(ctx context.Context, key string, fingerprint uint64) (query.Claim, error) {
	req := Request{Key: digestOf(key), Fingerprint: fingerprint, Nonce: s.newNonce(), Host: s.opts.Self}
	attempt := s.addAttempt(req)
	reply, err := s.submit(ctx, req)
	if err != nil {
		attempt.finish(nil)
		return nil, fault.Wrap(fault.StoreUnavailable, fault.Unknown, err, "the key could not be claimed; an earlier copy of the request may have run")
	}
	if reply.Nonce == req.Nonce {
		return attempt, nil
	}
	attempt.finish(nil)
	return s.previousResult(ctx, req, reply)
}

// previousResult returns a claim with the result of the attempt that holds the key.
// It returns an OutcomeUnknown fault if that result is not known, and a KeyMismatch
// fault if the key was claimed for another request.
func (s *Service) previousResult(ctx context.Context, req Request, reply Reply) (query.Claim, error) {
	if reply.Fingerprint != req.Fingerprint {
		return nil, fault.New(fault.KeyMismatch, fault.Unknown, "the key was used for another request")
	}
	result, err := s.Result(ctx, reply.Nonce)
	if reply.Host != s.opts.Self {
		result, err = s.opts.Peers.Result(ctx, reply.Host, reply.Nonce)
	}
	if err != nil || result == nil {
		return nil, fault.New(fault.OutcomeUnknown, fault.Unknown, "the key is claimed by an attempt through host %q whose outcome is not known", reply.Host)
	}
	return &Attempt{previous: result}, nil
}

func (s *Service) newNonce() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return s.opts.Self + "/" + s.opts.Incarnation + "/" + formatSequence(s.sequence)
}

// submit forwards a request to the owner of its bucket. If this host is the
// owner, no owner is known, or the call to the owner fails, this host executes
// the request itself.
func (s *Service) submit(ctx context.Context, req Request) (Reply, error) {
	owner := s.opts.Owner(s.bucketIndex(req.Key))
	if owner != s.opts.Self && owner != "" {
		limited, cancel := context.WithTimeout(ctx, ownerTimeout)
		reply, err := s.opts.Peers.Claim(limited, owner, req)
		cancel()
		if err == nil {
			return reply, nil
		}
	}
	return s.Execute(ctx, req)
}

// Execute carries out a request on the store, on behalf of this host or another
// host.
func (s *Service) Execute(ctx context.Context, req Request) (Reply, error) {
	return s.bucket(s.bucketIndex(req.Key)).execute(ctx, req)
}

// bucket returns the bucket with index n and creates it on first use.
func (s *Service) bucket(n int) *bucket {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[n]
	if b == nil {
		writeInterval := time.Duration(s.opts.Buckets) * time.Second / maxWritesPerSecond
		b = newBucket(s.opts.Store, n, writeInterval)
		s.buckets[n] = b
	}
	return b
}

// Result waits until the attempt with the nonce has ended on this host, and
// returns the attempt's result, or nil if there is none. It returns an error if
// the context ends first.
func (s *Service) Result(ctx context.Context, nonce string) (*query.Result, error) {
	s.mu.Lock()
	attempt := s.attempts[nonce]
	s.mu.Unlock()
	if attempt == nil {
		return nil, nil
	}
	select {
	case <-attempt.done:
		return attempt.result, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// addAttempt registers an attempt, so that later attempts with the same key can
// get its result.
func (s *Service) addAttempt(req Request) *Attempt {
	a := &Attempt{service: s, req: req, done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweepAttempts(time.Now())
	s.attempts[req.Nonce] = a
	return a
}

// sweepAttempts removes attempts that ended longer than resultRetention ago. It does
// nothing if the last sweep was less than a minute ago. The caller holds mu.
func (s *Service) sweepAttempts(now time.Time) {
	if now.Sub(s.lastSweepAt) < time.Minute {
		return
	}
	s.lastSweepAt = now
	for nonce, a := range s.attempts {
		if !a.endedAt.IsZero() && now.Sub(a.endedAt) > resultRetention {
			delete(s.attempts, nonce)
		}
	}
}

// Attempt is an attempt of this process to claim a key. If another attempt has
// claimed the key before, the Attempt holds only the result of that attempt.
type Attempt struct {
	service  *Service
	req      Request
	done     chan struct{}
	endedAt  time.Time
	result   *query.Result
	previous *query.Result
}

var _ query.Claim = (*Attempt)(nil)

// PreviousResult implements query.Claim.
func (a *Attempt) PreviousResult() *query.Result { return a.previous }

// Complete implements query.Claim.
func (a *Attempt) Complete(result *query.Result) { a.finish(result) }

// MarkUnknown implements query.Claim.
func (a *Attempt) MarkUnknown() { a.finish(nil) }

// Release implements query.Claim. A failed release is not reported: the key then
// stays claimed, which is safe.
func (a *Attempt) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ownerTimeout)
	defer cancel()
	release := a.req
	release.Release = true
	_, _ = a.service.submit(ctx, release)
	a.finish(nil)
}

// finish records the end of the attempt and its result, if there is one.
func (a *Attempt) finish(result *query.Result) {
	a.service.mu.Lock()
	defer a.service.mu.Unlock()
	a.result = result
	a.endedAt = time.Now()
	close(a.done)
}
