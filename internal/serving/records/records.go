// Package records joins the parts of a sharded answer: the greatest fixed-size
// records of all parts, in falling order.
//
// # Usage
//
//	body := records.Greatest(10, parts)
package records

import (
	"bytes"
	"slices"
)

// Size is the length of one record in bytes.
const Size = 16

// Greatest returns the count greatest records of the parts, greatest first.
// Equal records all count. Bytes behind the last whole record of a part are no
// record.
func Greatest(count int, parts [][]byte) []byte {
	total := 0
	for _, p := range parts {
		total += len(p) / Size
	}
	all := make([][]byte, 0, total)
	for _, p := range parts {
		for i := 0; i+Size <= len(p); i += Size {
			all = append(all, p[i:i+Size])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if len(all) > count {
		all = all[:count]
	}
	return slices.Concat(all...)
}
