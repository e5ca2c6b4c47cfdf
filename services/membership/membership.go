// Package membership maintains the set of live hosts by probing them.
//
// Each host probes one other host at every heartbeat, in random order, so the
// cost per host does not grow with the number of hosts. A host that does not
// answer is probed through two other hosts. If that fails too, it becomes
// suspect, and it is declared dead four heartbeats later unless it refutes the
// suspicion by announcing itself with a higher incarnation:
//
//	m := membership.New(self, prober, membership.Options{Heartbeat: time.Second})
//	m.Seed(platformHosts)
//	go m.Run(ctx)
//	hosts := m.Live().Load()
//
// The protocol is SWIM with the incarnations and the local health awareness of
// Lifeguard. Membership updates are piggybacked on the probes. A process that was
// paused detects the gap between two of its heartbeats. It then restarts the
// timeouts of all suspicions and takes a new incarnation, and HasPeerContact
// reports false until a peer has sent it a message.
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

// State is the liveness of a host as seen by other hosts. Of two updates about a
// host with the same incarnation, the one with the higher State replaces the
// other.
type State int

// The states of a host. A Leaving host is still reachable but takes no new work.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

//go:generate ../../.bin/enumer -type=State -transform=snake -text -output=state_enumer.go

// Member is the membership record of one host. Hosts send each other these
// records as updates.
type Member struct {
	ID          string `cbor:"1,keyasint" json:"id"`
	Address     string `cbor:"2,keyasint" json:"address"`
	DataCentre  string `cbor:"3,keyasint" json:"data_centre"`
	Incarnation uint64 `cbor:"4,keyasint" json:"incarnation"`
	State       State  `cbor:"5,keyasint" json:"state"`
}

// overrides reports whether the update m replaces the record old.
func (m Member) overrides(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// Prober sends probes to other hosts.
type Prober interface {
	// Probe exchanges updates with target. It fails if target does not answer.
	Probe(ctx context.Context, target Member) error
	// ProbeVia asks the host via to probe target. It fails if via or target does
	// not answer.
	ProbeVia(ctx context.Context, via, target Member) error
}

const (
	// suspicionHeartbeats is the number of heartbeats after which a suspect host is
	// declared dead.
	suspicionHeartbeats = 4
	// indirectProbes is the number of other hosts that probe a host which did not
	// answer.
	indirectProbes = 2
	// pauseHeartbeats is the time between two consecutive heartbeats, in multiples of
	// Options.Heartbeat, above which the process is assumed to have been paused.
	pauseHeartbeats = 3
	// reconnectHeartbeats is the interval, in heartbeats, at which a host that is dead or
	// known only from the platform's list is probed, so that the two sides of a network
	// partition find each other again.
	reconnectHeartbeats = 5
	// maxUpdatesPerMessage is the maximum number of membership updates attached to one
	// message.
	maxUpdatesPerMessage = 24
)

// Options are the parameters of a Membership.
type Options struct {
	// Heartbeat is the interval between two probes.
	Heartbeat time.Duration
}

// hostRecord is what this host knows of another host.
type hostRecord struct {
	member Member
	// isVerified means that an update about the host has arrived from that host or from
	// another host. It is not set while the host is known only from the platform's list.
	isVerified bool
	updatedAt  time.Time
	// suspicionDeadline is the time at which the host is declared dead if it is suspect.
	suspicionDeadline time.Time
	// excludedUntil is the time until which the host is excluded from this host's list of
	// live hosts because a request to it failed. It is zero if the host is not excluded.
	// Other hosts' lists are not affected.
	excludedUntil time.Time
}

// Membership holds what one host knows of the set of hosts, and probes the other hosts.
type Membership struct {
	opts           Options
	prober         Prober
	live           blackboard.Section[[]Member]
	updates        broadcast.Queue[string, Member]
	hasPeerContact atomic.Bool
	idConflicts    atomic.Int64
	pauses         atomic.Int64

	mu      sync.Mutex
	self    Member
	records map[string]*hostRecord
	// probeOrder holds the IDs of the hosts still to be probed in this round, in random
	// order.
	probeOrder []string
	lastTick   time.Time
	tickCount  int
}

// New returns the Membership of the host self. The incarnation of self must be higher
// than any incarnation of an earlier process of the same host. The start time of the
// process satisfies this.
func New(self Member, prober Prober, opts Options) *Membership {
	m := &Membership{opts: opts, prober: prober, self: self, records: map[string]*hostRecord{}}
	m.updates.Put(self.ID, self)
	m.publishLive()
	return m
}

// Live returns the blackboard section with the hosts that take new work, sorted by ID. It
// includes suspect hosts, and this host unless it is leaving.
func (m *Membership) Live() *blackboard.Section[[]Member] { return &m.live }

// Self returns the record of this host that is sent to other hosts.
func (m *Membership) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// HasPeerContact reports whether a message of a peer has arrived since this process
// started or last resumed from a pause. It also reports true if Tick has found that all
// other hosts are dead.
func (m *Membership) HasPeerContact() bool { return m.hasPeerContact.Load() }

// Pauses returns the number of detected pauses of this process.
func (m *Membership) Pauses() int64 { return m.pauses.Load() }

// IDConflicts returns the number of received updates that carry this host's ID with
// another address.
func (m *Membership) IDConflicts() int64 { return m.idConflicts.Load() }

// Members returns the records of all hosts, including this host and unverified hosts,
// sorted by ID. The state dump shows them.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := []Member{m.self}
	for _, r := range m.records {
		list = append(list, r.member)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Find returns the record of another host by its ID.
func (m *Membership) Find(id string) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.records[id]; r != nil {
		return r.member, true
	}
	return Member{}, false
}

// Seed adds the hosts of the platform's list that are not known yet. The added hosts are
// unverified and not live until an update about them arrives.
func (m *Membership) Seed(hosts []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range hosts {
		if h.ID == m.self.ID || m.records[h.ID] != nil {
			continue
		}
		h.Incarnation = 0
		m.records[h.ID] = &hostRecord{member: h, updatedAt: time.Now()}
	}
}

// TakeUpdates returns the updates to attach to one message and counts them as sent.
func (m *Membership) TakeUpdates() []Member {
	return m.updates.Take(maxUpdatesPerMessage, len(m.live.Load())+1)
}

// VerifiedMembers returns the records to send to a host that joins: those of this host
// and of every host about which an update has arrived.
func (m *Membership) VerifiedMembers() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := []Member{m.self}
	for _, r := range m.records {
		if r.isVerified {
			list = append(list, r.member)
		}
	}
	return list
}

// HandleMessage merges the record of the sender of a message and the updates attached to
// the message. The message shows that the sender is reachable. If MarkUnreachable has
// excluded the sender, HandleMessage ends the exclusion.
func (m *Membership) HandleMessage(from Member, updates []Member) {
	m.hasPeerContact.Store(true)
	m.Merge(append([]Member{from}, updates...))
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.records[from.ID]; r != nil && !r.excludedUntil.IsZero() {
		r.excludedUntil = time.Time{}
		m.publishLive()
	}
}

// Merge merges updates from other hosts into the records of this host.
func (m *Membership) Merge(updates []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for _, u := range updates {
		changed = m.mergeUpdate(u) || changed
	}
	if changed {
		m.publishLive()
	}
}

// mergeUpdate merges one update and reports whether the record of another host changed.
// The caller holds mu.
func (m *Membership) mergeUpdate(u Member) bool {
	if u.ID == m.self.ID {
		m.refute(u)
		return false
	}
	r := m.records[u.ID]
	if r == nil {
		r = &hostRecord{}
		m.records[u.ID] = r
	} else if r.isVerified && !u.overrides(r.member) {
		return false
	}
	r.member = u
	r.isVerified = true
	r.updatedAt = time.Now()
	r.suspicionDeadline = r.updatedAt.Add(suspicionHeartbeats * m.opts.Heartbeat)
	m.updates.Put(u.ID, u)
	return true
}

// refute handles an update about this host. If the update reports a worse state than this
// host's own, refute announces the true state with a higher incarnation. An update with
// another address comes from a second host with the same ID. It is counted (see
// IDConflicts) and otherwise ignored. The caller holds mu.
func (m *Membership) refute(u Member) {
	if u.Address != m.self.Address {
		m.idConflicts.Add(1)
		return
	}
	if u.Incarnation < m.self.Incarnation || u.State <= m.self.State {
		return
	}
	m.self.Incarnation = u.Incarnation + 1
	m.updates.Put(m.self.ID, m.self)
}

// MarkUnreachable excludes a host from this host's list of live hosts, but not from the
// lists of other hosts. The exclusion ends after suspicionHeartbeats heartbeats or when a
// message from the host arrives. A request that cannot reach a host indicates the host's
// failure earlier than the probes do.
func (m *Membership) MarkUnreachable(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.records[id]
	if r == nil || !r.isVerified || time.Now().Before(r.excludedUntil) {
		return
	}
	r.excludedUntil = time.Now().Add(suspicionHeartbeats * m.opts.Heartbeat)
	m.publishLive()
}

// Leave announces that this host takes no new work, and removes this host from its own
// list of live hosts.
func (m *Membership) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = Leaving
	m.self.Incarnation++
	m.updates.Put(m.self.ID, m.self)
	m.publishLive()
}

// publishLive stores the list of live hosts for readers. The caller holds mu, except New.
func (m *Membership) publishLive() {
	var list []Member
	if m.self.State == Alive {
		list = append(list, m.self)
	}
	for _, r := range m.records {
		if r.isVerified && r.member.State <= Suspect && r.excludedUntil.IsZero() {
			list = append(list, r.member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	m.live.Store(list, "membership")
}

// Run calls Tick at every heartbeat until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	timer := pause.NewTimer(m.opts.Heartbeat)
	defer timer.Stop()
	for {
		m.Tick(ctx)
		select {
		case <-timer.C():
			timer.Reset(m.opts.Heartbeat)
		case <-ctx.Done():
			return
		}
	}
}

// Tick runs one heartbeat: it checks for a pause of the process, applies timeouts and
// starts the probes without waiting for them.
func (m *Membership) Tick(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	m.tickCount++
	paused := !m.lastTick.IsZero() && now.Sub(m.lastTick) > pauseHeartbeats*m.opts.Heartbeat
	m.lastTick = now
	if paused {
		m.resumeAfterPause()
	} else {
		m.expireTimeouts(now)
	}
	if !m.hasPeers() {
		m.hasPeerContact.Store(true)
	}
	targets := m.probeTargets()
	m.mu.Unlock()
	for _, target := range targets {
		go m.probe(ctx, target)
	}
}

// resumeAfterPause takes a new incarnation and restarts the timeouts of all suspicions,
// because after a pause the process cannot know whether the suspicions still hold. The
// caller holds mu.
func (m *Membership) resumeAfterPause() {
	m.pauses.Add(1)
	m.hasPeerContact.Store(false)
	m.self.Incarnation++
	m.updates.Put(m.self.ID, m.self)
	for _, r := range m.records {
		r.suspicionDeadline = time.Now().Add(suspicionHeartbeats * m.opts.Heartbeat)
	}
}

// hasPeers reports whether this host knows any other host that is not dead. The caller
// holds mu.
func (m *Membership) hasPeers() bool {
	for _, r := range m.records {
		if r.member.State != Dead {
			return true
		}
	}
	return false
}

// expireTimeouts ends the exclusions whose time has passed. It declares a suspect host
// dead if its suspicionDeadline has passed. The caller holds mu.
func (m *Membership) expireTimeouts(now time.Time) {
	for _, r := range m.records {
		if !r.excludedUntil.IsZero() && now.After(r.excludedUntil) {
			r.excludedUntil = time.Time{}
			m.publishLive()
		}
		if r.member.State == Suspect && now.After(r.suspicionDeadline) {
			dead := r.member
			dead.State = Dead
			if m.mergeUpdate(dead) {
				m.publishLive()
			}
		}
	}
}

// probeTargets returns the hosts to probe at this heartbeat: the next host in the probe
// order and, in some heartbeats, a random host that is dead or unverified. The latter is
// probed every reconnectHeartbeats heartbeats, and at every heartbeat while there is no
// peer contact. The caller holds mu.
func (m *Membership) probeTargets() []Member {
	var targets []Member
	if next := m.nextInProbeOrder(); next != nil {
		targets = append(targets, next.member)
	}
	if m.tickCount%reconnectHeartbeats == 1 || !m.hasPeerContact.Load() {
		if r := m.randomDeadOrUnverified(); r != nil {
			targets = append(targets, r.member)
		}
	}
	return targets
}

// nextInProbeOrder returns the next verified host of this round that is not dead, or nil
// if there is none. At the end of a round it shuffles all hosts for the next round. The
// caller holds mu.
func (m *Membership) nextInProbeOrder() *hostRecord {
	for range 2 {
		for len(m.probeOrder) > 0 {
			id := m.probeOrder[0]
			m.probeOrder = m.probeOrder[1:]
			if r := m.records[id]; r != nil && r.isVerified && r.member.State != Dead {
				return r
			}
		}
		for id := range m.records {
			m.probeOrder = append(m.probeOrder, id)
		}
		rand.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return nil
}

// randomDeadOrUnverified returns a random dead or unverified host, or nil if there is
// none. The caller holds mu.
func (m *Membership) randomDeadOrUnverified() *hostRecord {
	var candidates []*hostRecord
	for _, r := range m.records {
		if !r.isVerified || r.member.State == Dead {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[rand.IntN(len(candidates))]
}

// probe probes a host directly and, if that fails, through other hosts. If that fails
// too, it marks the host suspect.
func (m *Membership) probe(ctx context.Context, target Member) {
	direct, cancel := context.WithTimeout(ctx, m.opts.Heartbeat/2)
	err := m.prober.Probe(direct, target)
	cancel()
	if err == nil || ctx.Err() != nil {
		return
	}
	indirect, cancel := context.WithTimeout(ctx, m.opts.Heartbeat)
	defer cancel()
	if m.probeIndirectly(indirect, target) || ctx.Err() != nil {
		return
	}
	m.markSuspect(target)
}

// probeIndirectly asks up to indirectProbes random live hosts to probe target and
// reports whether one of them reached it.
func (m *Membership) probeIndirectly(ctx context.Context, target Member) bool {
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

// markSuspect marks target as suspect, unless the host's incarnation has changed since
// its probe began.
func (m *Membership) markSuspect(target Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.records[target.ID]
	if r == nil || !r.isVerified || r.member.Incarnation != target.Incarnation || r.member.State == Dead {
		return
	}
	u := r.member
	// A leaving host that stops answering does not come back, so it is declared dead
	// without a suspicion.
	u.State = Suspect
	if r.member.State == Leaving {
		u.State = Dead
	}
	if m.mergeUpdate(u) {
		m.publishLive()
	}
}
