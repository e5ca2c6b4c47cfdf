// Package records merges shard replies, each a sequence of fixed-size records, into the
// greatest records of all replies in descending order.
//
//	body := records.Greatest(10, replies)
package records

import (
	"bytes"
	"slices"
)

// Size is the length of a record in bytes.
const Size = 16

// Greatest returns the count greatest records of all replies, the greatest first. Records
// are compared byte by byte, and equal records are all kept. An incomplete record at the
// end of a reply is ignored.
func Greatest(count int, replies [][]byte) []byte {
	total := 0
	for _, r := range replies {
		total += len(r) / Size
	}
	all := make([][]byte, 0, total)
	for _, r := range replies {
		for i := 0; i+Size <= len(r); i += Size {
			all = append(all, r[i:i+Size])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if len(all) > count {
		all = all[:count]
	}
	return slices.Concat(all...)
}
