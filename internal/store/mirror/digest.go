package mirror

// Digest identifies the objects of one kind: mirrors that hold the same objects have the same
// digest. A revision does not identify them, since a store that has lost changes gives their
// revisions out again. The zero Digest means that the objects are not known.
type Digest uint64

// emptyDigest is the digest of a kind without objects.
const emptyDigest Digest = 1

// with returns the digest after the objects with the given hashes were added.
func (d Digest) with(hash uint64) Digest { return d + Digest(hash) }

// without returns the digest after the object with the given hash was removed.
func (d Digest) without(hash uint64) Digest { return d - Digest(hash) }

// Digest returns the digest of the objects that the mirror holds of a kind, or 0 if it does
// not hold the kind.
func (m *Mirror[T]) Digest(kind string) Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.kinds[kind]; k != nil {
		return k.digest()
	}
	return 0
}

// Adopt sets the digest of a kind to the one that a source has stated for the moment at, if
// the mirror holds that moment after an update of the source. A host whose version encodes or
// hashes objects in another way than its source would otherwise differ from it for ever.
func (m *Mirror[T]) Adopt(kind string, at Moment, d Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[kind]
	if d == 0 || k == nil || k.at != at {
		return
	}
	if n := len(k.digests); n > 0 {
		k.digests[n-1] = d
	} else {
		k.baseDigest = d
	}
}

// digest returns the digest of the current objects.
func (k *kindState[T]) digest() Digest { return k.digestAt(k.at.Revision) }

// digestAt returns the digest of the objects at a revision that is at least completeSince.
func (k *kindState[T]) digestAt(revision int64) Digest {
	for i := len(k.changes) - 1; i >= 0; i-- {
		if k.changes[i].Revision <= revision {
			return k.digests[i]
		}
	}
	return k.baseDigest
}

// differsFrom reports whether a reader that holds objects with the given digest at the moment
// from holds other objects than the mirror did at that moment.
func (k *kindState[T]) differsFrom(from Moment, held Digest) bool {
	if held == 0 || from.Era != k.at.Era || from.Revision < k.completeSince || from.Revision > k.at.Revision {
		return false
	}
	return k.digestAt(from.Revision) != held
}
