// Package membership keeps the set of live hosts by probing.
//
// # Usage
//
// Each host probes one other at every heartbeat, in random order, so the cost
// does not grow with the number of hosts. A host that gives no answer is probed
// through two others, then suspected, and after a while counts as dead unless
// it refutes the suspicion with a higher incarnation:
//
//	m := membership.New(self, prober, membership.Options{Heartbeat: time.Second})
//	m.Seed(hostsOfThePlatformsList)
//	go m.Run(ctx)
//	hosts := m.Live().Load()
//
// The scheme is that of SWIM with the incarnations and the self-awareness of
// Lifeguard. Updates travel attached to the probes. A process that was paused
// notices a gap in its own clock; it then suspects nobody, takes a new
// incarnation and is not settled until a peer has answered it.
package membership

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithatch/godwithatch/modules/blackboard"
	"github.com/godwithatch/godwithatch/modules/broadcast"
	"github.com/godwithatch/godwithatch/modules/pause"
)

// State is what the hosts believe of a host.
type State int

// The states of a host.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

//go:generate ../../.bin/enumer -type=State -transform=snake -text -output=state_enumer.go

// Member is a host as others know it.
type Member struct {
	ID          string `cbor:"1,keyasint" json:"id"`
	Address     string `cbor:"2,keyasint" json:"address"`
	DataCentre  string `cbor:"3,keyasint" json:"data_centre"`
	Incarnation uint64 `cbor:"4,keyasint" json:"incarnation"`
	State       State  `cbor:"5,keyasint" json:"state"`
}

// overrides reports whether news m replaces the older belief old.
func (m Member) overrides(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// Prober reaches other hosts.
type Prober interface {
	// Probe exchanges news with a host.
	Probe(ctx context.Context, target Member) error
	// ProbeVia asks a host to probe another one.
	ProbeVia(ctx context.Context, via, target Member) error
}

const (
	// suspicionHeartbeats is how many heartbeats a suspicion lasts before the
	// host counts as dead.
	suspicionHeartbeats = 4
	// indirectProbes is how many other hosts are asked to probe.
	indirectProbes = 2
	// pauseHeartbeats is the gap between two heartbeats, in heartbeats, that
	// shows that the process was paused.
	pauseHeartbeats = 3
	// reviveEvery is how often, in heartbeats, a dead or unproven host is
	// probed, so that parts of the system that were cut off find each other.
	reviveEvery = 5
	// maxUpdates is how many updates travel with one probe.
	maxUpdates = 24
)

// Options are the parameters of a Membership.
type Options struct {
	Heartbeat time.Duration
}

type belief struct {
	member  Member
	proven  bool
	since   time.Time
	timeout time.Time
	// avoided is until when this host alone leaves the other one out, since it
	// could not reach it.
	avoided time.Time
}

// Membership is one host's view of the set of hosts.
type Membership struct {
	opts    Options
	prober  Prober
	live    blackboard.Section[[]Member]
	updates broadcast.Queue[string, Member]
	settled atomic.Bool
	clashes atomic.Int64
	pauses  atomic.Int64

	mu       sync.Mutex
	self     Member
	beliefs  map[string]*belief
	ring     []string
	lastTick time.Time
	ticks    int
}

// New returns a Membership of the host self. Its incarnation must be higher
// than that of an earlier process of the same host; the time of the start is.
func New(self Member, prober Prober, opts Options) *Membership {
	m := &Membership{opts: opts, prober: prober, self: self, beliefs: map[string]*belief{}}
	m.updates.Put(self.ID, self)
	m.publish()
	return m
}

// Live returns the section of the hosts that take part, this one among them.
func (m *Membership) Live() *blackboard.Section[[]Member] { return &m.live }

// Self returns this host as it tells others.
func (m *Membership) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// IsSettled reports whether this host has heard from a peer since it started or
// was paused, or knows of none.
func (m *Membership) IsSettled() bool { return m.settled.Load() }

// Pauses returns how often this process found that it had been paused.
func (m *Membership) Pauses() int64 { return m.pauses.Load() }

// Clashes returns how often a host with this one's identity, but another
// address, was heard of.
func (m *Membership) Clashes() int64 { return m.clashes.Load() }

// Members returns all beliefs, for the state dump.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := []Member{m.self}
	for _, b := range m.beliefs {
		list = append(list, b.member)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Find returns a host by its identity.
func (m *Membership) Find(id string) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.beliefs[id]; b != nil {
		return b.member, true
	}
	return Member{}, false
}

// Seed adds hosts of the platform's list that are not known yet. They take part
// once they answered.
func (m *Membership) Seed(hosts []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range hosts {
		if h.ID == m.self.ID || m.beliefs[h.ID] != nil {
			continue
		}
		h.Incarnation = 0
		m.beliefs[h.ID] = &belief{member: h, since: time.Now()}
	}
}

// Updates returns the news to attach to a message.
func (m *Membership) Updates() []Member {
	return m.updates.Take(maxUpdates, len(m.live.Load())+1)
}

// All returns every proven belief and this host, for a host that joins.
func (m *Membership) All() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := []Member{m.self}
	for _, b := range m.beliefs {
		if b.proven {
			list = append(list, b.member)
		}
	}
	return list
}

// Heard takes in a message from a host that is therefore alive.
func (m *Membership) Heard(from Member, updates []Member) {
	m.settled.Store(true)
	m.Learn(append([]Member{from}, updates...))
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.beliefs[from.ID]; b != nil && !b.avoided.IsZero() {
		b.avoided = time.Time{}
		m.publish()
	}
}

// Learn takes in news.
func (m *Membership) Learn(updates []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for _, u := range updates {
		changed = m.learn(u) || changed
	}
	if changed {
		m.publish()
	}
}

// learn takes in one piece of news. The caller holds mu.
func (m *Membership) learn(u Member) bool {
	if u.ID == m.self.ID {
		m.refute(u)
		return false
	}
	b := m.beliefs[u.ID]
	if b == nil {
		b = &belief{}
		m.beliefs[u.ID] = b
	} else if b.proven && !u.overrides(b.member) {
		return false
	}
	b.member = u
	b.proven = true
	b.since = time.Now()
	b.timeout = b.since.Add(suspicionHeartbeats * m.opts.Heartbeat)
	m.updates.Put(u.ID, u)
	return true
}

// refute answers news that says that this host is not alive. The caller holds
// mu.
func (m *Membership) refute(u Member) {
	if u.Address != m.self.Address {
		m.clashes.Add(1)
		return
	}
	if u.Incarnation < m.self.Incarnation || u.State <= m.self.State {
		return
	}
	m.self.Incarnation = u.Incarnation + 1
	m.updates.Put(m.self.ID, m.self)
}

// Avoid leaves a host out of the live ones of this host alone, for the time of a
// suspicion or until it is heard from. Work that failed to reach a host tells of
// its loss earlier than the probes do.
func (m *Membership) Avoid(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.beliefs[id]
	if b == nil || !b.proven || time.Now().Before(b.avoided) {
		return
	}
	b.avoided = time.Now().Add(suspicionHeartbeats * m.opts.Heartbeat)
	m.publish()
}

// Leave announces that this host takes no new work.
func (m *Membership) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = Leaving
	m.self.Incarnation++
	m.updates.Put(m.self.ID, m.self)
	m.publish()
}

// publish stores the hosts that take part. The caller holds mu, or is New.
func (m *Membership) publish() {
	var list []Member
	if m.self.State == Alive {
		list = append(list, m.self)
	}
	for _, b := range m.beliefs {
		if b.proven && b.member.State <= Suspect && b.avoided.IsZero() {
			list = append(list, b.member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	m.live.Store(list, "membership")
}

// Run probes until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	alarm := pause.NewAlarm(m.opts.Heartbeat)
	defer alarm.Stop()
	for {
		m.Tick(ctx)
		select {
		case <-alarm.C():
			alarm.Reset(m.opts.Heartbeat)
		case <-ctx.Done():
			return
		}
	}
}

// Tick runs one heartbeat.
func (m *Membership) Tick(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	m.ticks++
	paused := !m.lastTick.IsZero() && now.Sub(m.lastTick) > pauseHeartbeats*m.opts.Heartbeat
	m.lastTick = now
	if paused {
		m.wake()
	} else {
		m.expire(now)
	}
	if !m.hasPeers() {
		m.settled.Store(true)
	}
	targets := m.targets()
	m.mu.Unlock()
	for _, target := range targets {
		go m.probe(ctx, target)
	}
}

// wake forgets what a paused process cannot know: whether its suspicions are
// still true. The caller holds mu.
func (m *Membership) wake() {
	m.pauses.Add(1)
	m.settled.Store(false)
	m.self.Incarnation++
	m.updates.Put(m.self.ID, m.self)
	for _, b := range m.beliefs {
		b.timeout = time.Now().Add(suspicionHeartbeats * m.opts.Heartbeat)
	}
}

func (m *Membership) hasPeers() bool {
	for _, b := range m.beliefs {
		if b.member.State != Dead {
			return true
		}
	}
	return false
}

// expire declares dead what was suspected for too long. The caller holds mu.
func (m *Membership) expire(now time.Time) {
	for _, b := range m.beliefs {
		if !b.avoided.IsZero() && now.After(b.avoided) {
			b.avoided = time.Time{}
			m.publish()
		}
		if b.member.State == Suspect && now.After(b.timeout) {
			dead := b.member
			dead.State = Dead
			if m.learn(dead) {
				m.publish()
			}
		}
	}
}

// targets picks the hosts of this heartbeat: the next one of the ring, and now
// and then one that is dead or unproven. The caller holds mu.
func (m *Membership) targets() []Member {
	var targets []Member
	if next := m.nextInRing(); next != nil {
		targets = append(targets, next.member)
	}
	if m.ticks%reviveEvery == 1 || !m.settled.Load() {
		if lost := m.randomLost(); lost != nil {
			targets = append(targets, lost.member)
		}
	}
	return targets
}

func (m *Membership) nextInRing() *belief {
	for range 2 {
		for len(m.ring) > 0 {
			id := m.ring[0]
			m.ring = m.ring[1:]
			if b := m.beliefs[id]; b != nil && b.proven && b.member.State != Dead {
				return b
			}
		}
		for id := range m.beliefs {
			m.ring = append(m.ring, id)
		}
		rand.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
	}
	return nil
}

func (m *Membership) randomLost() *belief {
	var lost []*belief
	for _, b := range m.beliefs {
		if !b.proven || b.member.State == Dead {
			lost = append(lost, b)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	return lost[rand.IntN(len(lost))]
}

// probe probes one host, then through others, and suspects it.
func (m *Membership) probe(ctx context.Context, target Member) {
	direct, cancel := context.WithTimeout(ctx, m.opts.Heartbeat/2)
	err := m.prober.Probe(direct, target)
	cancel()
	if err == nil || ctx.Err() != nil {
		return
	}
	indirect, cancel := context.WithTimeout(ctx, m.opts.Heartbeat)
	defer cancel()
	if m.probeThroughOthers(indirect, target) || ctx.Err() != nil {
		return
	}
	m.suspect(target)
}

func (m *Membership) probeThroughOthers(ctx context.Context, target Member) bool {
	others := slices.DeleteFunc(slices.Clone(m.live.Load()), func(o Member) bool {
		return o.ID == target.ID || o.ID == m.self.ID
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(indirectProbes, len(others))]
	results := make(chan error, len(others))
	for _, via := range others {
		go func() { results <- m.prober.ProbeVia(ctx, via, target) }()
	}
	for range others {
		if <-results == nil {
			return true
		}
	}
	return false
}

func (m *Membership) suspect(target Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.beliefs[target.ID]
	if b == nil || !b.proven || b.member.Incarnation != target.Incarnation || b.member.State == Dead {
		return
	}
	u := b.member
	// A host that had announced its leave is gone for good.
	u.State = Suspect
	if b.member.State == Leaving {
		u.State = Dead
	}
	if m.learn(u) {
		m.publish()
	}
}
