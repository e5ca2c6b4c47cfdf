//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// cutTime is the time for which the fronts of a zone are cut off from the store.
	cutTime = 5400 * time.Millisecond
	// addInterval is the time between two new servers, and addTime the time for which they
	// come.
	addInterval, addTime = 300 * time.Millisecond, 3 * time.Second
)

// playMirror: the fronts of a zone are cut off from the store. Just after that, servers are
// replaced: new ones are added, and the entries of the old ones are removed, which go on
// serving for a while.
func playMirror(r *rig, hasTrouble bool) string {
	servers := startShards(r, 0, false)
	r.startAll()
	time.Sleep(3 * time.Second)
	c := newClients(r, "/sweep/")
	for _, zone := range r.zones {
		c.run(zone.name, zonePerSecond)
	}
	time.Sleep(3 * time.Second)
	const cutZone = 1
	if hasTrouble {
		for _, f := range r.fronts {
			if f.zone == r.zones[cutZone].name {
				f.toStore.cut()
				r.log("%s is cut off from the store", f.name)
			}
		}
	}
	time.Sleep(cutTime)
	healed := time.Now()
	if hasTrouble {
		for _, f := range r.fronts {
			if f.zone == r.zones[cutZone].name {
				f.toStore.heal()
				r.log("%s reaches the store again", f.name)
			}
		}
	}
	var old []*server
	for n := range shards {
		s := servers[n*len(r.zones)+cutZone]
		s.isRecorded = true
		r.store.Delete("servers", s.id)
		r.log("entry of %s removed, accepted", s.id)
		old = append(old, s)
	}
	removed := time.Now()
	for n := 0; time.Since(removed) < addTime; n++ {
		s := &server{rig: r, id: fmt.Sprintf("i-new-%d", n), service: old[n%shards].service, zone: r.zones[cutZone].name, slots: 3, work: 5 * time.Millisecond, coldTime: coldTime, coldFactor: 1.6}
		s.begin(fmt.Sprintf("127.61.8.%d", n+1), true, time.Now())
		time.Sleep(addInterval)
	}
	time.Sleep(5 * time.Second)
	c.close()
	// The fronts are in touch contactMs after the cut.
	from := removed.Add(time.Duration(r.drainMs) * time.Millisecond)
	if inTouch := healed.Add(time.Duration(r.contactMs) * time.Millisecond); hasTrouble && inTouch.After(from) {
		from = inTouch
	}
	late, longest := 0, time.Duration(0)
	for _, s := range old {
		n, last := s.since(from)
		if n > 0 {
			late, longest = late+n, max(longest, last.Sub(removed))
			r.log("%d requests reached %s, the last %d ms after the store had accepted that it is gone", n, s.id, last.Sub(removed).Milliseconds())
		}
	}
	if late == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d requests reached servers, the last %d ms after the store had accepted that they are gone (bound %d ms), from fronts in touch", late, longest.Milliseconds(), r.drainMs)
}
