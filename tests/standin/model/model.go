// Package model is a small stand-in for an upstream server. It models slots, a queue,
// cold starts during which too much load crashes the server, load shedding, snapshots,
// draining and injected faults. The command tests/upstream serves it over HTTP;
// in-process tests call it directly.
package model

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/modules/pause"
	"github.com/godwithatch/godwithatch/services/upstream"
)

// Config describes the capacity and behaviour of a server.
type Config struct {
	ID string
	// Slots is the number of requests that the server executes at once.
	Slots int
	// QueueLength is the number of requests that may wait for a slot.
	QueueLength int
	// MeanServiceTime is the mean time to execute a request on a warm server, without the
	// stragglers (the few requests that take stragglerFactor times as long).
	MeanServiceTime time.Duration
	Holdings        []upstream.Holding
	// ColdSlowdown is the factor by which a completely cold server, one with empty
	// caches, is slower. The factor falls linearly to 1 as the server warms up.
	ColdSlowdown float64
	// WarmupRequests is the number of requests that a cold server must execute to
	// become warm.
	WarmupRequests int
	// ColdCapacity is the number of requests in flight that a completely cold server can
	// bear. The number rises linearly as the server warms up.
	ColdCapacity int
	// CrashAfter is the time for which a cold server must have had more requests in
	// flight than it can bear before it crashes.
	CrashAfter time.Duration
	// RestartTime is the time for which a crashed server accepts no connections.
	RestartTime time.Duration
	// Seed is the seed of the random service times and failures.
	Seed uint64
}

// Faults is the set of faults that a test injects. The zero value is a server that works
// normally.
type Faults struct {
	// Slowdown multiplies the service time. 0 disables it.
	Slowdown float64 `json:"slow"`
	// FailRate is the share of requests that fail, between 0 and 1.
	FailRate float64 `json:"fail_rate"`
	// Route limits Slowdown and FailRate to one route. Empty means all routes.
	Route string `json:"route"`
	// AboveInFlight limits Slowdown and FailRate to times when more than this number of
	// requests are in flight.
	AboveInFlight int `json:"above"`
	// CrashPayload makes the server crash on a request whose payload contains this text.
	// Empty disables it.
	CrashPayload string `json:"crash_on"`
	// Draining makes the server refuse all requests and report that it is draining.
	Draining bool `json:"draining"`
	Short    bool `json:"short"`
}

// Server is a stand-in for one upstream server. It is safe for concurrent use, except for
// its exported counters.
type Server struct {
	cfg Config

	mu       sync.Mutex
	rng      *rand.Rand
	faults   Faults
	holdings []upstream.Holding
	// instance is the number of times that the server has started.
	instance int
	// servedSinceCold is the number of requests executed since the server became cold.
	servedSinceCold int
	downUntil       time.Time
	// overloadedSince is the time since which a cold server has had more requests in
	// flight than it can bear. It is zero if the server is not overloaded.
	overloadedSince time.Time
	// inFlight is the number of requests that hold a slot or wait for one.
	inFlight int
	// running is the number of requests that hold a slot.
	running int
	// waiting holds a channel for each request that waits for a slot, oldest first.
	waiting []chan struct{}
	// crashed is closed when the server crashes, and then replaced by a new channel.
	crashed       chan struct{}
	runsByKey     map[string]int
	runsByPayload map[string]int
	lastAdmission time.Time

	// OverloadCrashes is the number of crashes of the cold server through overload,
	// MaxColdInFlight the highest number of requests in flight while it was cold, and
	// Runs the number of requests that were executed.
	OverloadCrashes, MaxColdInFlight, Runs int
}

// New returns a warm server without faults.
func New(cfg Config) *Server {
	return &Server{
		cfg:             cfg,
		rng:             rand.New(rand.NewPCG(cfg.Seed, 7)),
		holdings:        cfg.Holdings,
		instance:        1,
		servedSinceCold: cfg.WarmupRequests,
		crashed:         make(chan struct{}),
		runsByKey:       map[string]int{},
		runsByPayload:   map[string]int{},
	}
}

// SetFaults replaces the current faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetHoldings replaces the holdings, which are the shards of snapshots that the server
// holds.
func (s *Server) SetHoldings(h []upstream.Holding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdings = h
}

// MakeCold makes the server completely cold without a restart.
func (s *Server) MakeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servedSinceCold = 0
}

// Restart crashes the server. It accepts connections again after the restart time, as a
// cold server.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

// crash fails all requests in flight and makes the server unreachable for the restart
// time. The caller holds mu.
func (s *Server) crash() {
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.instance++
	s.servedSinceCold = 0
	s.overloadedSince = time.Time{}
	s.inFlight, s.running = 0, 0
	s.waiting = nil
	s.downUntil = time.Now().Add(s.cfg.RestartTime)
}

// RunsByKey returns the number of executions for each idempotency key.
func (s *Server) RunsByKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runsByKey)
}

// RunsByPayload returns the number of executions for each payload.
func (s *Server) RunsByPayload() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runsByPayload)
}

// LastAdmission returns the time at which the server last accepted a request.
func (s *Server) LastAdmission() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAdmission
}

// IsDown reports whether the server has crashed and does not accept connections yet.
func (s *Server) IsDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}

// State returns the state that the server reports: its holdings, its instance, its
// requests in flight and whether it is draining.
func (s *Server) State() upstream.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state()
}

func (s *Server) state() upstream.State {
	return upstream.NewState(s.holdings, s.cfg.ID+"-"+strconv.Itoa(s.instance), s.inFlight, s.faults.Draining)
}

func (s *Server) refuse(r upstream.Reason) error {
	return upstream.NewRefusal(s.cfg.ID, r, s.state())
}

// Handle executes one call and returns its result and the state of the server after it.
// It returns an upstream.Refusal if the server refuses the call, and a fault if the call
// fails or is cancelled, or the server is down or crashes during the call.
func (s *Server) Handle(ctx context.Context, c upstream.Call) ([]byte, upstream.State, error) {
	s.mu.Lock()
	if err := s.admit(c); err != nil {
		s.mu.Unlock()
		return nil, upstream.State{}, err
	}
	crashed := s.crashed
	s.inFlight++
	ready := s.acquireSlot()
	s.mu.Unlock()
	if err := s.awaitSlot(ctx, crashed, ready); err != nil {
		return nil, upstream.State{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if crashed != s.crashed {
		return nil, upstream.State{}, crashError(s.cfg.ID)
	}
	return s.run(ctx, c, crashed)
}

func crashError(id string) error {
	return fault.New(fault.ConnectionFailed, fault.Unknown, "%s crashed", id)
}

// admit returns an error if the server does not accept a call, or nil. The caller holds
// mu.
func (s *Server) admit(c upstream.Call) error {
	switch {
	case time.Now().Before(s.downUntil):
		return fault.New(fault.ConnectionFailed, fault.NotRun, "%s is down", s.cfg.ID)
	case s.faults.Draining:
		return s.refuse(upstream.ReasonDraining)
	case !holds(s.holdings, c.Holding()):
		return s.refuse(upstream.ReasonSnapshotNotHeld)
	case time.Now().After(c.Deadline()):
		return s.refuse(upstream.ReasonExpired)
	case s.inFlight >= s.cfg.Slots+s.cfg.QueueLength:
		return s.refuse(upstream.ReasonShed)
	}
	s.lastAdmission = time.Now()
	if s.servedSinceCold < s.cfg.WarmupRequests {
		s.MaxColdInFlight = max(s.MaxColdInFlight, s.inFlight+1)
	}
	return s.checkOverload()
}

// checkOverload crashes a cold server that has had more requests in flight than coldLimit
// for the time CrashAfter.
func (s *Server) checkOverload() error {
	if s.servedSinceCold >= s.cfg.WarmupRequests || s.inFlight+1 <= s.coldLimit() {
		s.overloadedSince = time.Time{}
		return nil
	}
	if s.overloadedSince.IsZero() {
		s.overloadedSince = time.Now()
	}
	if time.Since(s.overloadedSince) < s.cfg.CrashAfter {
		return nil
	}
	s.OverloadCrashes++
	s.crash()
	return crashError(s.cfg.ID)
}

func holds(list []upstream.Holding, h upstream.Holding) bool {
	for _, x := range list {
		if x == h {
			return true
		}
	}
	return false
}

// coldLimit returns the number of requests in flight that a cold server can bear at its
// present warmth.
func (s *Server) coldLimit() int {
	return s.cfg.ColdCapacity + s.servedSinceCold*(s.cfg.Slots+s.cfg.QueueLength)/max(s.cfg.WarmupRequests, 1)
}

// acquireSlot returns a channel that is closed once the request holds a slot. If a slot
// is free the channel is already closed.
func (s *Server) acquireSlot() chan struct{} {
	ready := make(chan struct{})
	if s.running < s.cfg.Slots {
		s.running++
		close(ready)
		return ready
	}
	s.waiting = append(s.waiting, ready)
	return ready
}

// awaitSlot waits until the request holds a slot. It returns an error if the server
// crashes or ctx ends first.
func (s *Server) awaitSlot(ctx context.Context, crashed, ready chan struct{}) error {
	select {
	case <-ready:
		return nil
	case <-crashed:
		return crashError(s.cfg.ID)
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if crashed == s.crashed {
		s.leaveQueue(ready)
	}
	return fault.New(fault.Cancelled, fault.Unknown, "cancelled in the queue")
}

// leaveQueue removes a cancelled request from the queue. If the request has been given a
// slot in the meantime, leaveQueue releases the slot.
func (s *Server) leaveQueue(ready chan struct{}) {
	s.inFlight--
	for i, w := range s.waiting {
		if w == ready {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.releaseSlot()
}

// releaseSlot passes a slot to the request that has waited longest, or frees it if no
// request waits.
func (s *Server) releaseSlot() {
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		return
	}
	s.running--
}

// run executes a call in a slot. The caller holds mu; run unlocks mu during the service
// time and locks it again before it returns.
func (s *Server) run(ctx context.Context, c upstream.Call, crashed chan struct{}) ([]byte, upstream.State, error) {
	if time.Now().After(c.Deadline()) {
		s.inFlight--
		s.releaseSlot()
		return nil, upstream.State{}, s.refuse(upstream.ReasonExpired)
	}
	if s.faults.CrashPayload != "" && bytes.Contains(c.Payload(), []byte(s.faults.CrashPayload)) {
		s.crash()
		return nil, upstream.State{}, crashError(s.cfg.ID)
	}
	s.Runs++
	s.runsByPayload[string(c.Payload())]++
	if c.Key() != "" {
		s.runsByKey[c.Key()]++
	}
	d, failed := s.drawServiceTime(c)
	s.mu.Unlock()
	timer := pause.NewTimer(d)
	defer timer.Stop()
	var err error
	select {
	case <-timer.C():
	case <-crashed:
		err = crashError(s.cfg.ID)
	case <-ctx.Done():
		err = fault.New(fault.Cancelled, fault.Unknown, "cancelled")
	}
	s.mu.Lock()
	if crashed != s.crashed {
		return nil, upstream.State{}, crashError(s.cfg.ID)
	}
	s.inFlight--
	s.releaseSlot()
	if err != nil {
		return nil, upstream.State{}, err
	}
	s.servedSinceCold++
	if failed {
		return nil, upstream.State{}, fault.New(fault.UpstreamFailed, fault.Unknown, "%s failed", s.cfg.ID)
	}
	return s.results(c), s.state(), nil
}

func (s *Server) results(c upstream.Call) []byte {
	return fmt.Appendf(nil, `{"server":%q,"snapshot":%d,"shard":%d,"echo":%q}`, s.cfg.ID, c.Holding().Snapshot, c.Holding().Shard, c.Payload())
}

const (
	// stragglerShare is the share of requests that are stragglers. The service time of a
	// straggler is multiplied by stragglerFactor.
	stragglerShare  = 0.005
	stragglerFactor = 8
	// logStdDev is the standard deviation of the logarithm of the service time.
	logStdDev = 0.5
)

// drawServiceTime returns a random service time for one request, and whether the request
// fails. Service times are log-normally distributed, with a few stragglers.
func (s *Server) drawServiceTime(c upstream.Call) (time.Duration, bool) {
	factor := math.Exp(s.rng.NormFloat64()*logStdDev - logStdDev*logStdDev/2)
	if s.rng.Float64() < stragglerShare {
		factor *= stragglerFactor
	}
	if s.servedSinceCold < s.cfg.WarmupRequests && s.cfg.ColdSlowdown > 1 {
		factor *= 1 + (s.cfg.ColdSlowdown-1)*(1-float64(s.servedSinceCold)/float64(s.cfg.WarmupRequests))
	}
	failed := false
	if (s.faults.Route == "" || s.faults.Route == c.Route()) && s.inFlight > s.faults.AboveInFlight {
		if s.faults.Slowdown > 0 {
			factor *= s.faults.Slowdown
		}
		failed = s.rng.Float64() < s.faults.FailRate
	}
	return time.Duration(factor * float64(s.cfg.MeanServiceTime)), failed
}
