//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// clockStep is the time by which the time of day of a server's machine is ahead.
	clockStep = 2400 * time.Millisecond
	// upTime is the time after which the server ends that started during that time, and
	// restartTime the time until it starts again.
	upTime, restartTime = 500 * time.Millisecond, time.Second
	// leaveTime is the time for which a leaving server still serves.
	leaveTime = 10 * time.Second
)

// playClock: a server is added while the time of day of its machine is ahead. It ends, and
// starts again under its ID after the time of day has jumped back. Later it leaves.
func playClock(r *rig, hasTrouble bool) string {
	servers := startShards(r, 0, true)
	r.startAll()
	time.Sleep(3 * time.Second)
	c := newClients(r, "/sweep/")
	for _, zone := range r.zones {
		c.run(zone.name, zonePerSecond)
	}
	time.Sleep(3 * time.Second)
	s := servers[0]
	born := time.Now()
	if hasTrouble {
		born = born.Add(clockStep)
		r.log("the time of day at %s is %v ahead", s.id, clockStep)
	}
	s.begin("127.61.1.1", true, born)
	time.Sleep(upTime)
	s.crash()
	r.log("the time of day at %s is true", s.id)
	time.Sleep(restartTime)
	s.begin("", true, time.Now())
	time.Sleep(time.Duration(r.contactMs)*time.Millisecond + time.Second)
	s.setState("draining")
	acknowledged := time.Now()
	time.Sleep(leaveTime)
	s.crash()
	r.store.Delete("servers", s.id)
	r.log("entry of %s removed", s.id)
	time.Sleep(500 * time.Millisecond)
	c.close()
	late, last := s.since(acknowledged.Add(time.Duration(r.drainMs) * time.Millisecond))
	if late == 0 {
		return ""
	}
	r.log("the last request reached %s %d ms after the store had accepted that it is draining", s.id, last.Sub(acknowledged).Milliseconds())
	return fmt.Sprintf("DRAIN: %d requests reached %s later than %d ms after the store had accepted that it is draining", late, s.id, r.drainMs)
}
