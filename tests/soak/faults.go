package main

import (
	"syscall"
	"time"

	"github.com/godwithatch/godwithatch/tests/standin/link"
	"github.com/godwithatch/godwithatch/tests/standin/metadata"
	"github.com/godwithatch/godwithatch/tests/standin/shardserver"
)

// run loads the fronts and injects faults, several at a time, until d has passed.
func (s *soak) run(d time.Duration) {
	time.Sleep(time.Second)
	end := time.Now().Add(d)
	stopped := make(chan struct{})
	for i := range callers {
		go s.call(i, end, stopped)
	}
	for time.Now().Before(end) {
		s.inject()
		time.Sleep(time.Duration(s.rng.IntN(700)) * time.Millisecond)
	}
	s.heal()
	for range callers {
		<-stopped
	}
}

// inject starts one fault that ends by itself.
func (s *soak) inject() {
	u := s.upstreams[s.rng.IntN(len(s.upstreams))]
	length := time.Duration(500+s.rng.IntN(3500)) * time.Millisecond
	kinds := []struct {
		name string
		do   func()
	}{
		{"server fails", func() { s.ail(u, shardserver.Fault(1+s.rng.IntN(5)), length) }},
		{"link of a server fails", func() { s.harm(u, link.Fault(1+s.rng.IntN(4)), length) }},
		{"connections of a server reset", func() { u.link.Reset() }},
		{"store fails", func() { s.ailStore(metadata.Fault(1+s.rng.IntN(4)), length) }},
		{"history dropped", func() { s.store.DropHistory() }},
		{"connections to the store go silent", func() { s.disturb(6 * time.Second); s.storeLink.SetFault(link.Silent) }},
		{"configuration changes", s.configure},
		{"front stopped and started", func() { s.stopFront(syscall.SIGTERM) }},
		{"front killed and started", func() { s.stopFront(syscall.SIGKILL) }},
		{"front paused", func() { s.pauseFront(length) }},
		{"front told to reload", func() { s.reloadFront() }},
		{"server leaves, another comes", func() { s.replace(s.rng.IntN(len(s.upstreams))) }},
	}
	k := kinds[s.rng.IntN(len(kinds))]
	s.report.tried(k.name)
	k.do()
}

func (s *soak) ail(u *upstream, f shardserver.Fault, length time.Duration) {
	u.server.SetFault(f, 0.3+0.7*s.rng.Float64())
	time.AfterFunc(length, func() { u.server.SetFault(shardserver.None, 0) })
}

func (s *soak) harm(u *upstream, f link.Fault, length time.Duration) {
	u.link.SetFault(f)
	time.AfterFunc(length, func() { u.link.SetFault(link.None) })
}

// disturb records that the bounds of configuration and drains do not hold for a
// while from now on.
func (s *soak) disturb(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := time.Now().Add(d); until.After(s.disturbed) {
		s.disturbed = until
	}
}

func (s *soak) ailStore(f metadata.Fault, length time.Duration) {
	s.disturb(length + 6*time.Second)
	s.store.SetFault(f)
	time.AfterFunc(length, func() { s.store.SetFault(metadata.None) })
}

// idleFront returns a front that no other fault has at the moment.
func (s *soak) idleFront() (*front, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.rng.IntN(len(s.fronts))
	f := s.fronts[i]
	if f.down || !f.stopping.IsZero() {
		return nil, 0
	}
	f.stopping = time.Now()
	return f, i
}

func (s *soak) stopFront(sig syscall.Signal) {
	f, i := s.idleFront()
	if f == nil {
		return
	}
	s.report.running.Go(func() { s.restart(f, i, sig) })
}

func (s *soak) pauseFront(length time.Duration) {
	f, _ := s.idleFront()
	if f == nil {
		return
	}
	s.disturb(length + 6*time.Second)
	s.mu.Lock()
	f.down = true
	s.mu.Unlock()
	s.signal(f, syscall.SIGSTOP)
	s.report.running.Go(func() {
		time.Sleep(length)
		s.signal(f, syscall.SIGCONT)
		time.Sleep(500 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		f.down, f.stopping = false, time.Time{}
	})
}

func (s *soak) reloadFront() {
	f, _ := s.idleFront()
	if f == nil {
		return
	}
	s.signal(f, syscall.SIGHUP)
	s.mu.Lock()
	defer s.mu.Unlock()
	f.stopping = time.Time{}
}

// replace starts a server in place of one that says that it leaves, serves on for
// a while and ends.
func (s *soak) replace(i int) {
	old := s.upstreams[i]
	s.beat(old, "draining")
	s.mu.Lock()
	if time.Now().After(s.disturbed) {
		old.server.SetDrainingSince(time.Now())
	}
	s.mu.Unlock()
	if err := s.addUpstream(i); err != nil {
		s.report.fail("start a server: %v", err)
		return
	}
	s.report.running.Go(func() {
		time.Sleep(drainBound + time.Second)
		s.store.Delete("servers", old.id)
		s.mu.Lock()
		calm := time.Now().After(s.disturbed)
		s.mu.Unlock()
		if calm {
			n := old.server.LateArrivals()
			s.report.check("a leaving server gets nothing after the bound", n == 0, "%d requests at %s", n, old.id)
		}
		old.http.Close()
	})
}

// heal ends all faults and waits for those under way.
func (s *soak) heal() {
	s.report.running.Wait()
	s.store.SetFault(metadata.None)
	for _, u := range s.upstreams {
		u.server.SetFault(shardserver.None, 0)
		u.link.SetFault(link.None)
	}
}
