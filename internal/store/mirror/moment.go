package mirror

import "cmp"

// Moment is a moment of the store. Within an era, the revision grows with each change. A new
// era begins if the store returns to an earlier content, and gives revisions out again.
type Moment struct{ Era, Revision int64 }

// Compare returns a negative number if m is earlier than o, a positive one if it is later, and
// 0 if they are the same.
func (m Moment) Compare(o Moment) int {
	return cmp.Or(cmp.Compare(m.Era, o.Era), cmp.Compare(m.Revision, o.Revision))
}
