package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

// ServerState is this host's view of one server, for operators.
type ServerState struct {
	ID              string  `json:"id"`
	Service         string  `json:"service"`
	Zone            string  `json:"zone"`
	Address         string  `json:"address"`
	IsInRotation    bool    `json:"open"`
	IsDown          bool    `json:"down"`
	InFlight        int     `json:"in_flight"`
	ServiceMs       float64 `json:"service_ms"`
	RoundTripMs     float64 `json:"round_trip_ms"`
	SilenceMs       float64 `json:"silence_ms"`
	FailureRate     float64 `json:"failures"`
	Sequence        int64   `json:"entry_sequence"`
	ExtraSendsLeft  int     `json:"extra_sends_left"`
	RequestsWaiting int     `json:"requests_waiting"`
	Limit           float64 `json:"limit"`
	// ColdShare is the number of requests a second that this host may send while the
	// server is cold, that is, while its caches are empty. ColdMs is the time for which
	// the server is still considered cold, in milliseconds.
	ColdShare int     `json:"cold_share"`
	ColdMs    float64 `json:"cold_ms"`
	// IsLeaving means that the server has stated that it leaves. RestMs is the time for
	// which it wants no further requests of this host, in milliseconds.
	IsLeaving bool    `json:"leaving"`
	RestMs    float64 `json:"rest_ms"`
}

// Dump returns the state of all servers, ordered by service and ID.
func (f *Fleet) Dump(now time.Time) []ServerState {
	f.mu.RLock()
	groups := make([]*Group, 0, len(f.groups))
	for _, g := range f.groups {
		groups = append(groups, g)
	}
	f.mu.RUnlock()
	list := []ServerState{}
	for _, g := range groups {
		list = append(list, g.dump(now)...)
	}
	slices.SortFunc(list, func(a, b ServerState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return list
}

func (g *Group) dump(now time.Time) []ServerState {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]ServerState, 0, len(g.servers))
	for _, s := range g.servers {
		x := ServerState{
			ID: s.entry().ID, Service: s.entry().Service, Zone: s.entry().DataCentre, Address: s.entry().Address,
			IsInRotation: s.isInRotation(), IsDown: s.isDown(now, g.typicalServiceTime), InFlight: s.inFlight,
			ServiceMs: inMilliseconds(s.averageServiceTime), RoundTripMs: inMilliseconds(s.roundTrip),
			SilenceMs: inMilliseconds(s.silence(now)), FailureRate: s.failureRate * s.decay(now, failureHalfLife),
			Sequence: s.entry().Sequence, ExtraSendsLeft: g.extraSends.Tokens(), RequestsWaiting: len(g.waiters), Limit: min(s.concurrencyLimit, float64(s.maxInFlight())),
			IsLeaving: s.isLeaving, RestMs: inMilliseconds(max(s.restUntil.Sub(now), 0)),
		}
		if s.isCold(now) {
			x.ColdShare, x.ColdMs = s.coldShare(), inMilliseconds(s.coldUntil().Sub(now))
		}
		list = append(list, x)
	}
	return list
}

// NoticeCounts returns the number of servers that have stated that they leave, and of
// those that want no requests of this host at the moment.
func (f *Fleet) NoticeCounts(now time.Time) (leaving, resting int) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, g := range f.groups {
		l, r := g.noticeCounts(now)
		leaving, resting = leaving+l, resting+r
	}
	return leaving, resting
}

func (g *Group) noticeCounts(now time.Time) (leaving, resting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return lo.CountBy(g.servers, func(s *Server) bool { return s.isLeaving }),
		lo.CountBy(g.servers, func(s *Server) bool { return s.isResting(now) })
}

// Waiting returns the number of requests that wait for a server of any service.
func (f *Fleet) Waiting() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	n := 0
	for _, g := range f.groups {
		n += g.Waiting()
	}
	return n
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
