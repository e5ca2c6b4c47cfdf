package main

import (
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/godwithatch/godwithatch/tests/standin/link"
	"github.com/godwithatch/godwithatch/tests/standin/metadata"
	"github.com/godwithatch/godwithatch/tests/standin/shardserver"
)

// run sends load to the fronts and injects faults for the duration d. Several faults can
// be active at the same time.
func (s *soak) run(d time.Duration) {
	time.Sleep(time.Second)
	end := time.Now().Add(d)
	stopped := make(chan struct{})
	for i := range callers {
		go s.runCaller(i, end, stopped)
	}
	for time.Now().Before(end) {
		s.inject()
		time.Sleep(time.Duration(s.rng.IntN(700)) * time.Millisecond)
	}
	s.clearFaults()
	for range callers {
		<-stopped
	}
}

// inject starts one random fault. Faults with a duration end by themselves.
func (s *soak) inject() {
	u := s.upstreams[s.rng.IntN(len(s.upstreams))]
	length := time.Duration(500+s.rng.IntN(3500)) * time.Millisecond
	kinds := []struct {
		name string
		do   func()
	}{
		{"server repeats answers late", func() { s.repeatLate(u, length) }},
		{"server fails", func() { s.failServer(u, shardserver.Fault(1+s.rng.IntN(5)), length) }},
		{"link of a server fails", func() { s.failLink(u, link.Fault(1+s.rng.IntN(4)), length) }},
		{"connections of a server reset", func() { u.link.Reset() }},
		{"store fails", func() { s.failStore(metadata.Fault(1+s.rng.IntN(4)), length) }},
		{"history dropped", func() { s.store.DropHistory() }},
		{"connections to the store go silent", func() { s.extendDisturbance(6 * time.Second); s.storeLink.SetFault(link.Silent) }},
		{"configuration changes", s.writeConfiguration},
		{"front stopped and started", func() { s.restartFront(syscall.SIGTERM) }},
		{"front killed and started", func() { s.restartFront(syscall.SIGKILL) }},
		{"front paused", func() { s.pauseFront(length) }},
		{"front told to reload", func() { s.reloadFront() }},
		{"server leaves, another comes", func() { s.replaceServer(s.rng.IntN(len(s.upstreams))) }},
		{"server says in its answers that it leaves, another comes", func() { s.replaceByAnswer(s.rng.IntN(len(s.upstreams))) }},
		{"server sheds and asks for a rest", func() { s.restServer(u, length) }},
		{"odd entry", func() { s.writeOddEntry(length) }},
	}
	k := kinds[s.rng.IntN(len(kinds))]
	s.report.countFault(k.name)
	k.do()
}

func (s *soak) failServer(u *upstream, f shardserver.Fault, length time.Duration) {
	s.failServerWith(u, f, 0.3+0.7*s.rng.Float64(), length)
}

// repeatLate makes a server send answers again, late, some without the ID of the request.
func (s *soak) repeatLate(u *upstream, length time.Duration) {
	u.server.SetRepeatShare(0.3)
	time.AfterFunc(length, func() { u.server.SetRepeatShare(0) })
}

// failServerWith applies a failure mode to a share of the requests of a server.
func (s *soak) failServerWith(u *upstream, f shardserver.Fault, share float64, length time.Duration) {
	u.server.SetFault(f, share)
	time.AfterFunc(length, func() { u.server.SetFault(shardserver.None, 0) })
}

func (s *soak) failLink(u *upstream, f link.Fault, length time.Duration) {
	u.link.SetFault(f)
	time.AfterFunc(length, func() { u.link.SetFault(link.None) })
}

// extendDisturbance records that, for at least d from now, the effects of faults can make
// fronts exceed the bounds for applying configurations and for draining servers.
func (s *soak) extendDisturbance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := time.Now().Add(d); until.After(s.disturbedUntil) {
		s.disturbedUntil = until
	}
}

func (s *soak) failStore(f metadata.Fault, length time.Duration) {
	s.extendDisturbance(length + 6*time.Second)
	s.store.SetFault(f)
	time.AfterFunc(length, func() { s.store.SetFault(metadata.None) })
}

// reserveFront picks a random front and reserves it for a fault. It returns nil if that
// front already has an active fault.
func (s *soak) reserveFront() (*front, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.rng.IntN(len(s.fronts))
	f := s.fronts[i]
	if f.isDown || !f.faultSince.IsZero() {
		return nil, 0
	}
	f.faultSince = time.Now()
	return f, i
}

func (s *soak) restartFront(sig syscall.Signal) {
	f, i := s.reserveFront()
	if f == nil {
		return
	}
	s.report.activeFaults.Go(func() { s.restart(f, i, sig) })
}

func (s *soak) pauseFront(length time.Duration) {
	f, _ := s.reserveFront()
	if f == nil {
		return
	}
	s.extendDisturbance(length + 6*time.Second)
	s.mu.Lock()
	f.isDown = true
	s.mu.Unlock()
	s.signal(f, syscall.SIGSTOP)
	s.report.activeFaults.Go(func() {
		time.Sleep(length)
		s.signal(f, syscall.SIGCONT)
		time.Sleep(500 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		f.isDown, f.faultSince = false, time.Time{}
	})
}

func (s *soak) reloadFront() {
	f, _ := s.reserveFront()
	if f == nil {
		return
	}
	s.signal(f, syscall.SIGHUP)
	s.mu.Lock()
	defer s.mu.Unlock()
	f.faultSince = time.Time{}
}

// replaceServer marks a server as draining and starts another server in its place. The
// old server keeps serving for drainBound plus one second.
func (s *soak) replaceServer(i int) {
	old := s.upstreams[i]
	s.publishEntry(old, "draining")
	s.mu.Lock()
	if time.Now().After(s.disturbedUntil) {
		old.server.SetDrainingSince(time.Now())
	}
	s.mu.Unlock()
	if err := s.addUpstream(i); err != nil {
		s.report.fail("start server: %v", err)
		return
	}
	s.report.activeFaults.Go(func() {
		time.Sleep(drainBound + time.Second)
		s.store.Delete("servers", old.id)
		s.mu.Lock()
		isUndisturbed := time.Now().After(s.disturbedUntil)
		s.mu.Unlock()
		if isUndisturbed {
			n := old.server.LateArrivals()
			s.report.check("a leaving server gets nothing after the bound", n == 0, "%d requests at %s", n, old.id)
		}
		old.http.Close()
	})
}

// replaceByAnswer starts a server in the place of another one, which says that it leaves in
// its answers only: its entry stays until it ends.
func (s *soak) replaceByAnswer(i int) {
	old := s.upstreams[i]
	old.server.Leave()
	if err := s.addUpstream(i); err != nil {
		s.report.fail("start server: %v", err)
		return
	}
	s.report.activeFaults.Go(func() {
		time.Sleep(drainBound + time.Second)
		s.store.Delete("servers", old.id)
		time.Sleep(drainBound)
		old.http.Close()
	})
}

// restServer makes a server refuse half of its requests and ask for no requests for up to
// a second each time.
func (s *soak) restServer(u *upstream, length time.Duration) {
	u.server.SetRestTime(time.Duration(1+s.rng.IntN(1000)) * time.Millisecond)
	s.failServerWith(u, shardserver.Shed, 0.5, length)
}

// writeOddEntry writes an entry that names no server to use, and removes it later.
func (s *soak) writeOddEntry(length time.Duration) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	specs := []string{deep, `{"capacity":1e999}`, `{"service":"shard0","address":"127.0.0.1:99999"}`, "nothing"}
	name := "odd-" + strconv.Itoa(s.report.nextID())
	s.store.PutRaw("servers", name, specs[s.rng.IntN(len(specs))])
	time.AfterFunc(length, func() { s.store.Delete("servers", name) })
}

// clearFaults waits until the faults that run in goroutines, those of fronts and server
// replacements, have ended. It then clears the faults of the store, the servers and their
// links.
func (s *soak) clearFaults() {
	s.report.activeFaults.Wait()
	s.store.SetFault(metadata.None)
	for _, u := range s.upstreams {
		u.server.SetFault(shardserver.None, 0)
		u.server.SetRepeatShare(0)
		u.link.SetFault(link.None)
	}
}
