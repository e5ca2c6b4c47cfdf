package claim

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/platform"
)

const (
	// maxSegmentClaims is the number of claims at which an object of a bucket in
	// the store is full and the next object is started.
	maxSegmentClaims = 1000
	// storeRetryDelay is the pause after a failed call to the store.
	storeRetryDelay = 50 * time.Millisecond
	// storeTimeout limits the time to read the bucket and write one batch.
	storeTimeout = 2 * time.Second
)

// storedClaim is one claim in the store. ClaimedAt is a Unix time in seconds.
type storedClaim struct {
	Key         Digest `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
	Nonce       string `cbor:"3,keyasint"`
	Host        string `cbor:"4,keyasint"`
	ClaimedAt   int64  `cbor:"5,keyasint"`
}

// segment is the content of one object of a bucket. Claims are added to the last
// segment only. A sealed segment is full and is not written again.
type segment struct {
	Sealed  bool          `cbor:"1,keyasint"`
	Entries []storedClaim `cbor:"2,keyasint"`
}

// pendingRequest is a request that waits for its reply.
type pendingRequest struct {
	ctx   context.Context
	req   Request
	reply chan Reply
}

// bucket is a group of keys whose claims can share one write. The copy of the
// stored claims in a bucket may be out of date without harm, because a
// conditional write fails if the version of the stored object has changed.
type bucket struct {
	store         platform.Store
	prefix        string
	writeInterval time.Duration

	mu        sync.Mutex
	pending   []*pendingRequest
	hasWriter bool

	// Only the writer goroutine uses the fields below. segmentNumber and
	// segmentVersion are the number and the object version of lastSegment.
	isLoaded       bool
	storedClaims   map[Digest]storedClaim
	lastSegment    segment
	segmentNumber  int
	segmentVersion uint64
	lastWriteAt    time.Time
}

// newBucket returns the bucket with index n, which writes at most once per
// writeInterval.
func newBucket(store platform.Store, n int, writeInterval time.Duration) *bucket {
	return &bucket{store: store, prefix: fmt.Sprintf("claims/%04d/", n), writeInterval: writeInterval}
}

func formatSequence(n uint64) string { return strconv.FormatUint(n, 36) }

// execute carries out one request in a batch with the other pending requests.
func (b *bucket) execute(ctx context.Context, req Request) (Reply, error) {
	j := &pendingRequest{ctx: ctx, req: req, reply: make(chan Reply, 1)}
	b.mu.Lock()
	b.pending = append(b.pending, j)
	if !b.hasWriter {
		b.hasWriter = true
		go b.runWriter()
	}
	b.mu.Unlock()
	select {
	case r := <-j.reply:
		return r, nil
	case <-ctx.Done():
		return Reply{}, fault.Wrap(fault.StoreUnavailable, fault.Unknown, ctx.Err(), "the store did not confirm the claim in time")
	}
}

// takePending removes all pending requests and returns those whose context has
// not ended. If no such request is left, it marks the writer as stopped.
func (b *bucket) takePending() []*pendingRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	var live []*pendingRequest
	for _, j := range b.pending {
		if j.ctx.Err() == nil {
			live = append(live, j)
		}
	}
	b.pending = nil
	b.hasWriter = len(live) > 0
	return live
}

// requeue puts requests that the store has not confirmed ahead of the other
// pending requests.
func (b *bucket) requeue(jobs []*pendingRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(jobs, b.pending...)
}

// runWriter processes batches until no request is pending.
func (b *bucket) runWriter() {
	for {
		jobs := b.takePending()
		if len(jobs) == 0 {
			return
		}
		if undecided := b.processBatch(jobs); len(undecided) > 0 {
			b.requeue(undecided)
			time.Sleep(storeRetryDelay)
		}
	}
}

// processBatch carries out the requests with at most one write to the store, and
// returns those that the store has not confirmed. The outcome of a failed write
// may be unknown, so the next batch then reads the bucket again.
func (b *bucket) processBatch(jobs []*pendingRequest) []*pendingRequest {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if !b.isLoaded && b.loadSegments(ctx) != nil {
		return jobs
	}
	var undecided []*pendingRequest
	next := b.lastSegment
	next.Entries = append([]storedClaim{}, b.lastSegment.Entries...)
	added := map[Digest]storedClaim{}
	for _, j := range jobs {
		switch known, ok := b.lookup(j.req.Key, added); {
		case j.req.Release:
			undecided = append(undecided, j)
			next.Entries = removeClaim(next.Entries, j.req)
		case ok && known.Nonce != j.req.Nonce && added[j.req.Key].Nonce == "":
			// The claim may have been released since it was read, in which case
			// the reply names its former holder.
			j.reply <- replyOf(known)
		case ok:
			undecided = append(undecided, j)
		default:
			e := storedClaim{j.req.Key, j.req.Fingerprint, j.req.Nonce, j.req.Host, time.Now().Unix()}
			added[j.req.Key] = e
			next.Entries = append(next.Entries, e)
			undecided = append(undecided, j)
		}
	}
	if len(undecided) == 0 {
		return nil
	}
	if b.writeSegment(ctx, next) != nil {
		b.isLoaded = false
		return undecided
	}
	b.sendReplies(undecided)
	return nil
}

// lookup returns the claim of a key from the current batch or the stored claims.
func (b *bucket) lookup(key Digest, added map[Digest]storedClaim) (storedClaim, bool) {
	if e, ok := added[key]; ok {
		return e, true
	}
	e, ok := b.storedClaims[key]
	return e, ok
}

func replyOf(e storedClaim) Reply {
	return Reply{Nonce: e.Nonce, Host: e.Host, Fingerprint: e.Fingerprint}
}

// sendReplies answers each request with the holder of its key. It must be called
// only after a confirmed write.
func (b *bucket) sendReplies(jobs []*pendingRequest) {
	for _, j := range jobs {
		j.reply <- replyOf(b.storedClaims[j.req.Key])
	}
}

// removeClaim removes the claim of the attempt that made the request. It reuses
// the array of entries.
func removeClaim(entries []storedClaim, req Request) []storedClaim {
	kept := entries[:0]
	for _, e := range entries {
		if e.Key != req.Key || e.Nonce != req.Nonce {
			kept = append(kept, e)
		}
	}
	return kept
}

// loadSegments reads all segments of the bucket and drops claims older than Retention.
func (b *bucket) loadSegments(ctx context.Context) error {
	objects, err := b.store.List(ctx, b.prefix)
	if err != nil {
		return err
	}
	b.storedClaims = map[Digest]storedClaim{}
	b.lastSegment, b.segmentNumber, b.segmentVersion = segment{}, 0, 0
	oldest := time.Now().Add(-Retention).Unix()
	for _, o := range objects {
		var s segment
		if err := cbor.Unmarshal(o.Value(), &s); err != nil {
			return fault.Wrap(fault.CorruptReply, fault.Unknown, err, "claims object %q cannot be read", o.Name())
		}
		for _, e := range s.Entries {
			if e.ClaimedAt >= oldest {
				b.storedClaims[e.Key] = e
			}
		}
		if _, err := fmt.Sscanf(o.Name()[len(b.prefix):], "%d", &b.segmentNumber); err != nil {
			return fault.Wrap(fault.CorruptReply, fault.Unknown, err, "claims object %q has no number", o.Name())
		}
		b.lastSegment, b.segmentVersion = s, o.Version()
	}
	if b.lastSegment.Sealed {
		b.lastSegment, b.segmentVersion = segment{}, 0
		b.segmentNumber++
	}
	b.isLoaded = true
	return nil
}

// writeSegment replaces the last segment in the store by next. It fails if another
// host has changed the segment. If next is full, writeSegment seals it, and the
// following write starts a new segment.
func (b *bucket) writeSegment(ctx context.Context, next segment) error {
	if wait := b.writeInterval - time.Since(b.lastWriteAt); wait > 0 {
		time.Sleep(wait)
	}
	b.lastWriteAt = time.Now()
	next.Sealed = len(next.Entries) >= maxSegmentClaims
	body, err := cbor.Marshal(next)
	if err != nil {
		return err
	}
	version, err := b.store.Put(ctx, fmt.Sprintf("%s%08d", b.prefix, b.segmentNumber), body, b.segmentVersion)
	if err != nil {
		return err
	}
	for _, e := range b.lastSegment.Entries {
		delete(b.storedClaims, e.Key)
	}
	for _, e := range next.Entries {
		b.storedClaims[e.Key] = e
	}
	b.lastSegment, b.segmentVersion = next, version
	if next.Sealed {
		b.lastSegment, b.segmentVersion = segment{}, 0
		b.segmentNumber++
	}
	return nil
}
