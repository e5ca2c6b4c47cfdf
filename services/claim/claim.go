// Package claim makes sure that a request with a key runs at most once.
//
// # Usage
//
// Before a non-idempotent request is sent anywhere, its key is claimed by a
// conditional write to the store. Whoever holds the claim is the only one that
// ever sends the request:
//
//	service := claim.NewService(claim.Options{Self: "kingston-1", Store: store, ...})
//	held, err := service.Claim(ctx, key, fingerprint)
//
// Keys are spread over buckets. Each bucket has an owner among the live hosts,
// by rendezvous hashing, to which the others pass their claims, so that many
// claims share one write. The owner is a matter of speed alone: the store's
// versions keep the claims safe when two hosts act for one bucket, when a paused
// host wakes, and when an answer of the store is lost. A claim needs no lease,
// since it is never handed on: if its holder dies, the outcome stays unknown.
//
// While the store is down, keys cannot be claimed, and their requests are
// refused with the outcome unknown: an earlier copy may have run.
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

// Retention is how long a key is remembered after it was claimed.
const Retention = 24 * time.Hour

const (
	// writesPerSecond bounds the writes of all buckets together.
	writesPerSecond = 200
	// resultMemory is how long the holder keeps an answer for a Caller that
	// sends the key again.
	resultMemory = 10 * time.Minute
	// ownerTimeout bounds the call to the owner of a bucket, after which this
	// host acts for the bucket itself.
	ownerTimeout = 500 * time.Millisecond
)

// Digest identifies a key in the store.
type Digest [16]byte

func digestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:len(Digest{})])
}

// Request asks for a claim or gives it back.
type Request struct {
	Key         Digest `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
	// Nonce marks the attempt, so that its claim is recognised when an answer
	// was lost.
	Nonce   string `cbor:"3,keyasint"`
	Host    string `cbor:"4,keyasint"`
	Release bool   `cbor:"5,keyasint,omitempty"`
}

// Reply tells who holds a key: the asking attempt, if the nonce is its own.
type Reply struct {
	Nonce       string `cbor:"1,keyasint"`
	Host        string `cbor:"2,keyasint"`
	Fingerprint uint64 `cbor:"3,keyasint"`
}

// Peers reaches the owner of a bucket and the holder of a claim.
type Peers interface {
	// Claim passes a request to the owner of its bucket.
	Claim(ctx context.Context, owner string, req Request) (Reply, error)
	// Result waits for the answer of the holder; nil means that it has none.
	Result(ctx context.Context, holder string, nonce string) (*query.Result, error)
}

// Options are the parts of a Service.
type Options struct {
	Self    string
	Boot    string
	Store   platform.Store
	Peers   Peers
	Buckets int
	// Owner returns the host that writes for a bucket.
	Owner func(bucket int) string
}

// Service claims keys. It is safe for concurrent use.
type Service struct {
	opts Options

	mu       sync.Mutex
	sequence uint64
	buckets  map[int]*bucket
	held     map[string]*Held
	sweptAt  time.Time
}

// NewService returns a Service.
func NewService(opts Options) *Service {
	return &Service{opts: opts, buckets: map[int]*bucket{}, held: map[string]*Held{}}
}

func (s *Service) bucketOf(key Digest) int {
	return int(xxhash.Sum64(key[:]) % uint64(s.opts.Buckets))
}

// Claim implements query.Claimer.
func (s *Service) Claim(ctx context.Context, key string, fingerprint uint64) (query.Claim, error) {
	req := Request{Key: digestOf(key), Fingerprint: fingerprint, Nonce: s.nonce(), Host: s.opts.Self}
	held := s.hold(req)
	reply, err := s.ask(ctx, req)
	if err != nil {
		held.finish(nil)
		return nil, fault.Wrap(fault.StoreUnavailable, fault.Unknown, err, "the key could not be claimed; an earlier copy of the request may have run")
	}
	if reply.Nonce == req.Nonce {
		return held, nil
	}
	held.finish(nil)
	return s.earlier(ctx, req, reply)
}

// earlier returns the answer of the attempt that holds the key.
func (s *Service) earlier(ctx context.Context, req Request, reply Reply) (query.Claim, error) {
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
	return &Held{earlier: result}, nil
}

func (s *Service) nonce() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return s.opts.Self + "/" + s.opts.Boot + "/" + formatSequence(s.sequence)
}

// ask passes a request to the owner of its bucket, or acts for it.
func (s *Service) ask(ctx context.Context, req Request) (Reply, error) {
	owner := s.opts.Owner(s.bucketOf(req.Key))
	if owner != s.opts.Self && owner != "" {
		limited, cancel := context.WithTimeout(ctx, ownerTimeout)
		reply, err := s.opts.Peers.Claim(limited, owner, req)
		cancel()
		if err == nil {
			return reply, nil
		}
	}
	return s.Serve(ctx, req)
}

// Serve carries out a request on the store, for this host or another one.
func (s *Service) Serve(ctx context.Context, req Request) (Reply, error) {
	return s.bucket(s.bucketOf(req.Key)).do(ctx, req)
}

func (s *Service) bucket(n int) *bucket {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[n]
	if b == nil {
		pace := time.Duration(s.opts.Buckets) * time.Second / writesPerSecond
		b = newBucket(s.opts.Store, n, pace)
		s.buckets[n] = b
	}
	return b
}

// Result waits for the end of an attempt through this host and returns its
// answer, or nil if there is none.
func (s *Service) Result(ctx context.Context, nonce string) (*query.Result, error) {
	s.mu.Lock()
	held := s.held[nonce]
	s.mu.Unlock()
	if held == nil {
		return nil, nil
	}
	select {
	case <-held.done:
		return held.result, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// hold remembers an attempt, so that others can ask for its answer.
func (s *Service) hold(req Request) *Held {
	h := &Held{service: s, req: req, done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(time.Now())
	s.held[req.Nonce] = h
	return h
}

// sweep forgets answers that were kept long enough. The caller holds mu.
func (s *Service) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < time.Minute {
		return
	}
	s.sweptAt = now
	for nonce, h := range s.held {
		if !h.doneAt.IsZero() && now.Sub(h.doneAt) > resultMemory {
			delete(s.held, nonce)
		}
	}
}

// Held is a claim of this process, or the answer of an earlier run.
type Held struct {
	service *Service
	req     Request
	done    chan struct{}
	doneAt  time.Time
	result  *query.Result
	earlier *query.Result
}

var _ query.Claim = (*Held)(nil)

// PreviousResult implements query.Claim.
func (h *Held) PreviousResult() *query.Result { return h.earlier }

// Complete implements query.Claim.
func (h *Held) Complete(result *query.Result) { h.finish(result) }

// MarkUnknown implements query.Claim.
func (h *Held) MarkUnknown() { h.finish(nil) }

// Release implements query.Claim. If the claim cannot be given back, the key
// stays claimed, which is safe.
func (h *Held) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ownerTimeout)
	defer cancel()
	release := h.req
	release.Release = true
	_, _ = h.service.ask(ctx, release)
	h.finish(nil)
}

func (h *Held) finish(result *query.Result) {
	h.service.mu.Lock()
	defer h.service.mu.Unlock()
	h.result = result
	h.doneAt = time.Now()
	close(h.done)
}
