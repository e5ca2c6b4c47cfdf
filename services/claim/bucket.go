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
	// sliceEntries is how many claims one object holds before the next begins.
	sliceEntries = 1000
	// storeRetry is the pause after a failed call of the store.
	storeRetry = 50 * time.Millisecond
	// storeTimeout bounds one round of reading and writing.
	storeTimeout = 2 * time.Second
)

// entry is one claim in the store.
type entry struct {
	Key         Digest `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
	Nonce       string `cbor:"3,keyasint"`
	Host        string `cbor:"4,keyasint"`
	At          int64  `cbor:"5,keyasint"`
}

// slice is one object of a bucket. Claims are added to the last slice only; a
// sealed one is full.
type slice struct {
	Sealed  bool    `cbor:"1,keyasint"`
	Entries []entry `cbor:"2,keyasint"`
}

type job struct {
	ctx   context.Context
	req   Request
	reply chan Reply
}

// bucket is a group of keys whose claims one write can carry together. What it
// remembers is checked by the version of each conditional write, so that it may
// be out of date without harm.
type bucket struct {
	store  platform.Store
	prefix string
	pace   time.Duration

	mu      sync.Mutex
	pending []*job
	active  bool

	// The fields below belong to the goroutine that writes.
	loaded  bool
	entries map[Digest]entry
	last    slice
	number  int
	version uint64
	wroteAt time.Time
}

func newBucket(store platform.Store, n int, pace time.Duration) *bucket {
	return &bucket{store: store, prefix: fmt.Sprintf("claims/%04d/", n), pace: pace}
}

func formatSequence(n uint64) string { return strconv.FormatUint(n, 36) }

// do carries out one request, together with others that wait.
func (b *bucket) do(ctx context.Context, req Request) (Reply, error) {
	j := &job{ctx: ctx, req: req, reply: make(chan Reply, 1)}
	b.mu.Lock()
	b.pending = append(b.pending, j)
	if !b.active {
		b.active = true
		go b.run()
	}
	b.mu.Unlock()
	select {
	case r := <-j.reply:
		return r, nil
	case <-ctx.Done():
		return Reply{}, fault.Wrap(fault.StoreUnavailable, fault.Unknown, ctx.Err(), "the store did not confirm the claim in time")
	}
}

// take returns the requests that still have time, or ends the writer.
func (b *bucket) take() []*job {
	b.mu.Lock()
	defer b.mu.Unlock()
	var live []*job
	for _, j := range b.pending {
		if j.ctx.Err() == nil {
			live = append(live, j)
		}
	}
	b.pending = nil
	b.active = len(live) > 0
	return live
}

// giveBack puts requests that the store left undecided in front of the others.
func (b *bucket) giveBack(jobs []*job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(jobs, b.pending...)
}

// run writes as long as requests wait.
func (b *bucket) run() {
	for {
		jobs := b.take()
		if len(jobs) == 0 {
			return
		}
		if undecided := b.round(jobs); len(undecided) > 0 {
			b.giveBack(undecided)
			time.Sleep(storeRetry)
		}
	}
}

// round decides the requests by one write. It returns those that the store left
// undecided; after any doubt the bucket is read again.
func (b *bucket) round(jobs []*job) []*job {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if !b.loaded && b.load(ctx) != nil {
		return jobs
	}
	var doubtful []*job
	next := b.last
	next.Entries = append([]entry{}, b.last.Entries...)
	added := map[Digest]entry{}
	for _, j := range jobs {
		switch known, ok := b.lookup(j.req.Key, added); {
		case j.req.Release:
			doubtful = append(doubtful, j)
			next.Entries = without(next.Entries, j.req)
		case ok && known.Nonce != j.req.Nonce && added[j.req.Key].Nonce == "":
			// The claim may have been given back since it was read.
			j.reply <- replyOf(known)
		case ok:
			doubtful = append(doubtful, j)
		default:
			e := entry{j.req.Key, j.req.Fingerprint, j.req.Nonce, j.req.Host, time.Now().Unix()}
			added[j.req.Key] = e
			next.Entries = append(next.Entries, e)
			doubtful = append(doubtful, j)
		}
	}
	if len(doubtful) == 0 {
		return nil
	}
	if b.write(ctx, next) != nil {
		b.loaded = false
		return doubtful
	}
	b.answer(doubtful)
	return nil
}

func (b *bucket) lookup(key Digest, added map[Digest]entry) (entry, bool) {
	if e, ok := added[key]; ok {
		return e, true
	}
	e, ok := b.entries[key]
	return e, ok
}

func replyOf(e entry) Reply { return Reply{Nonce: e.Nonce, Host: e.Host, Fingerprint: e.Fingerprint} }

// answer tells each request who holds its key after a confirmed write.
func (b *bucket) answer(jobs []*job) {
	for _, j := range jobs {
		j.reply <- replyOf(b.entries[j.req.Key])
	}
}

// without removes the claim of one attempt.
func without(entries []entry, req Request) []entry {
	kept := entries[:0]
	for _, e := range entries {
		if e.Key != req.Key || e.Nonce != req.Nonce {
			kept = append(kept, e)
		}
	}
	return kept
}

// load reads all slices of the bucket.
func (b *bucket) load(ctx context.Context) error {
	objects, err := b.store.List(ctx, b.prefix)
	if err != nil {
		return err
	}
	b.entries = map[Digest]entry{}
	b.last, b.number, b.version = slice{}, 0, 0
	oldest := time.Now().Add(-Retention).Unix()
	for _, o := range objects {
		var s slice
		if err := cbor.Unmarshal(o.Value(), &s); err != nil {
			return fault.Wrap(fault.CorruptReply, fault.Unknown, err, "claims object %q cannot be read", o.Name())
		}
		for _, e := range s.Entries {
			if e.At >= oldest {
				b.entries[e.Key] = e
			}
		}
		if _, err := fmt.Sscanf(o.Name()[len(b.prefix):], "%d", &b.number); err != nil {
			return fault.Wrap(fault.CorruptReply, fault.Unknown, err, "claims object %q has no number", o.Name())
		}
		b.last, b.version = s, o.Version()
	}
	if b.last.Sealed {
		b.last, b.version = slice{}, 0
		b.number++
	}
	b.loaded = true
	return nil
}

// write replaces the last slice if nobody else has. A full one is sealed, and
// the next write begins another.
func (b *bucket) write(ctx context.Context, next slice) error {
	if wait := b.pace - time.Since(b.wroteAt); wait > 0 {
		time.Sleep(wait)
	}
	b.wroteAt = time.Now()
	next.Sealed = len(next.Entries) >= sliceEntries
	body, err := cbor.Marshal(next)
	if err != nil {
		return err
	}
	version, err := b.store.Put(ctx, fmt.Sprintf("%s%08d", b.prefix, b.number), body, b.version)
	if err != nil {
		return err
	}
	for _, e := range b.last.Entries {
		delete(b.entries, e.Key)
	}
	for _, e := range next.Entries {
		b.entries[e.Key] = e
	}
	b.last, b.version = next, version
	if next.Sealed {
		b.last, b.version = slice{}, 0
		b.number++
	}
	return nil
}
