package recency

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestRecordIsFoundOnlySinceEarlierTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table Table
		const key = 0xfedcba9876543210
		start := time.Now()
		time.Sleep(time.Second)
		table.Record(key)
		time.Sleep(time.Hour)
		if !table.HasSince(key, start) {
			t.Error("the record is not found since a time before it")
		}
		if table.HasSince(key, start.Add(2*time.Second)) {
			t.Error("the record is found since a time after it")
		}
		if table.HasSince(key+1, start) || table.HasSince(key+1<<40, start) {
			t.Error("another key is found")
		}
	})
}

func TestLaterKeyOverwritesKeyOfSameSlot(t *testing.T) {
	var table Table
	before := time.Now().Add(-time.Second)
	table.Record(7 + 1<<40)
	table.Record(7 + 1<<41)
	if table.HasSince(7+1<<40, before) || !table.HasSince(7+1<<41, before) {
		t.Error("want only the later key")
	}
}
