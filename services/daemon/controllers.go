package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/godwithatch/godwithatch/modules/pause"
	"github.com/godwithatch/godwithatch/modules/rendezvous"
	"github.com/godwithatch/godwithatch/services/balance"
	"github.com/godwithatch/godwithatch/services/configuration"
	"github.com/godwithatch/godwithatch/services/membership"
	"github.com/godwithatch/godwithatch/services/peer"
	"github.com/godwithatch/godwithatch/services/platform"
	"github.com/godwithatch/godwithatch/services/table"
)

const (
	foldInterval   = 100 * time.Millisecond
	stateInterval  = time.Second
	creditInterval = 200 * time.Millisecond
	statusInterval = 2 * time.Second
	// stateTimeout bounds one question to a server for its state.
	stateTimeout = 500 * time.Millisecond
	// acceptorKey orders hosts for the acceptance of tables.
	acceptorKey = "acceptor"
	// announcePeers is how many peers are told of a change at once.
	announcePeers = 3
	// viewDelay gathers changes that come together into one view, and viewPause is
	// how many times longer than a building the pause after it is at the least, so
	// that changes without end cost a twentieth of a core.
	viewDelay = 5 * time.Millisecond
	viewPause = 20
)

// Start runs the controllers until ctx ends.
func (d *Daemon) Start(ctx context.Context) {
	d.wg.Go(func() { d.members.Run(ctx) })
	d.wg.Go(func() { d.runHostList(ctx) })
	d.wg.Go(func() { d.runView(ctx) })
	d.wg.Go(func() { d.runFold(ctx) })
	d.wg.Go(func() { d.runCredits(ctx) })
	d.wg.Go(func() { d.runStates(ctx) })
	d.wg.Go(func() { d.runAnnounce(ctx) })
	d.wg.Go(func() { d.runMoves(ctx) })
	d.wg.Go(func() { d.runStatus(ctx) })
	d.wg.Go(func() { d.runReadiness(ctx) })
	follower := &configuration.Follower{
		Store:     d.store,
		Keeper:    &d.keeper,
		IsWatcher: func() bool { return d.keeper.Generation() == 0 || d.watcherRank() >= 0 },
		Poll:      d.cfg.Platform().Poll(),
	}
	d.wg.Go(func() { follower.Run(ctx) })
	acceptor := &configuration.Acceptor{
		Store:  d.store,
		Keeper: &d.keeper,
		Host:   d.cfg.Host(),
		Rank:   d.acceptorRank,
		Report: func(v configuration.Verdict) { d.verdict.Store(v, "acceptor") },
	}
	d.wg.Go(func() { acceptor.Run(ctx) })
}

// every calls fn at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, fn func()) {
	alarm := pause.NewTimer(interval)
	defer alarm.Stop()
	for {
		fn()
		select {
		case <-alarm.C():
			alarm.Reset(interval)
		case <-ctx.Done():
			return
		}
	}
}

// watcherRank returns the place of this host among the watchers of its
// DataCentre, or -1.
func (d *Daemon) watcherRank() int {
	if d.stopping.Load() {
		return -1
	}
	local := lo.Filter(d.members.Live().Load(), func(m membership.Member, _ int) bool {
		return m.DataCentre == d.cfg.DataCentre()
	})
	rank := rendezvous.Rank(acceptorKey, d.cfg.Host(), lo.Map(local, memberID))
	if rank >= d.cfg.Platform().Watchers() {
		return -1
	}
	return rank
}

// acceptorRank returns the place of this host among all hosts, or -1 if it is
// not one of the watchers.
func (d *Daemon) acceptorRank() int {
	if d.watcherRank() < 0 {
		return -1
	}
	return rendezvous.Rank(acceptorKey, d.cfg.Host(), lo.Map(d.members.Live().Load(), memberID))
}

func memberID(m membership.Member, _ int) string { return m.ID }

// runHostList reads the platform's list at the start, and later only on the
// watchers, so that the calls do not grow with the number of hosts.
func (d *Daemon) runHostList(ctx context.Context) {
	every(ctx, d.cfg.Platform().Poll()/4, func() {
		if d.hostList.Version() > 0 && d.watcherRank() < 0 {
			return
		}
		entries, err := d.store.Hosts(ctx)
		if err != nil {
			return
		}
		hosts := lo.Map(entries, func(e platform.HostEntry, _ int) membership.Member {
			return membership.Member{ID: e.ID(), Address: e.Address(), DataCentre: e.DataCentre()}
		})
		d.hostList.Store(hosts, "platform")
		d.members.Seed(hosts)
	})
}

// runView rebuilds the view whenever the configuration, the hosts or the
// knowledge of servers change.
func (d *Daemon) runView(ctx context.Context) {
	for {
		configured := d.keeper.Section().Changed()
		hosts := d.members.Live().Changed()
		start := time.Now()
		d.buildView()
		pause := max(viewDelay, viewPause*time.Since(start))
		select {
		case <-configured:
		case <-hosts:
		case <-d.fleet.Changed():
		case <-ctx.Done():
			return
		}
		time.Sleep(pause)
	}
}

func (d *Daemon) buildView() {
	c := d.keeper.Section().Load()
	if c.Generation() == 0 {
		return
	}
	live := d.members.Live().Load()
	active := lo.Filter(live, func(m membership.Member, _ int) bool { return !c.IsDrained(m.DataCentre) })
	if len(active) == 0 {
		active = live
	}
	hosts := lo.Map(active, func(m membership.Member, _ int) balance.Host { return balance.NewHost(m.ID, m.DataCentre) })
	d.view.Store(d.fleet.Build(c, hosts), "view")
	for _, p := range c.Pools() {
		for _, u := range p.Upstreams() {
			d.limitConnections(u, max(p.Connections()/max(len(hosts), 1), 1))
		}
	}
	d.drained.Store(c.IsDrained(d.cfg.DataCentre()))
}

// limitConnections bounds the connections to a server, where they are pooled.
func (d *Daemon) limitConnections(u *table.Upstream, limit int) {
	if pooled, ok := d.servers.(interface{ SetLimit(*table.Upstream, int) }); ok {
		pooled.SetLimit(u, limit)
	}
}

// runFold folds the counters of the request path and queues what changed for
// the other hosts.
func (d *Daemon) runFold(ctx context.Context) {
	every(ctx, foldInterval, func() {
		d.view.Load().UpdateReferenceLatencies()
		d.fleet.Tick(time.Now())
		for _, t := range d.fleet.Trackers() {
			if k, changed := t.TakeChanged(); changed {
				d.knowledge.Put(k.Server, k)
			}
		}
		for _, s := range d.engine.Quarantine().TakeChanged() {
			d.suspects.Put(s.Fingerprint, s)
		}
	})
}

// runCredits tells the first hosts of limited servers of this host's successes.
func (d *Daemon) runCredits(ctx context.Context) {
	every(ctx, creditInterval, func() {
		credits := map[string][]balance.SuccessReport{}
		for _, t := range d.fleet.Trackers() {
			if first, c, ok := t.TakeSuccessReport(); ok {
				credits[first] = append(credits[first], c)
			}
		}
		for first, list := range credits {
			m, ok := d.members.Find(first)
			if !ok {
				continue
			}
			news := d.news()
			news.SuccessReports = list
			go d.tell(ctx, m, news)
		}
	})
}

// tell gives news to a host and takes in its own.
func (d *Daemon) tell(ctx context.Context, to membership.Member, news peer.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Peer().Heartbeat())
	defer cancel()
	if reply, err := d.peers.Exchange(ctx, to, news); err == nil {
		d.learn(reply)
	}
}

// runStates asks each server for its state, one host for each server: the first
// of its subset. The rest learn it from that host and from replies.
func (d *Daemon) runStates(ctx context.Context) {
	every(ctx, stateInterval, func() {
		for _, t := range d.fleet.Trackers() {
			if t.Rank() != 0 && len(t.Knowledge().Holdings) > 0 {
				continue
			}
			go func() {
				ctx, cancel := context.WithTimeout(ctx, stateTimeout)
				defer cancel()
				if s, err := d.servers.State(ctx, t.Upstream()); err == nil {
					d.fleet.ObserveState(t.Upstream().ID(), s)
				}
			}()
		}
	})
}

// runAnnounce tells some peers at once of a new configuration, a fallen server
// or a crashing request. The heartbeat carries the news on.
func (d *Daemon) runAnnounce(ctx context.Context) {
	var generation uint64
	every(ctx, foldInterval, func() {
		current := d.keeper.Generation()
		if current == generation && d.knowledge.Len() == 0 && d.suspects.Len() == 0 && d.progress.Len() == 0 {
			return
		}
		generation = current
		d.announce(ctx)
	})
}

func (d *Daemon) announce(ctx context.Context) {
	peers := lo.Filter(d.members.Live().Load(), func(m membership.Member, _ int) bool { return m.ID != d.cfg.Host() })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, m := range peers[:min(announcePeers, len(peers))] {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, d.cfg.Peer().Heartbeat())
			defer cancel()
			_ = d.exchange(ctx, m)
		}()
	}
}

// runStatus writes the status object from the first acceptor.
func (d *Daemon) runStatus(ctx context.Context) {
	every(ctx, statusInterval, func() {
		if d.acceptorRank() != 0 || d.keeper.Generation() == 0 {
			return
		}
		_ = d.saveMoves(ctx)
		_ = configuration.PutStatus(ctx, d.store, d.statusObject())
	})
}

// runReadiness logs changes of readiness.
func (d *Daemon) runReadiness(ctx context.Context) {
	every(ctx, foldInterval, func() {
		r := d.Readiness()
		if d.lastReady.Swap(r.Ready) != r.Ready {
			d.log.Info().Bool("ready", r.Ready).Strs("reasons", r.Reasons).Msg("state changed")
		}
	})
}

func sortedIDs(members []membership.Member) []string {
	ids := lo.Map(members, memberID)
	slices.Sort(ids)
	return ids
}
