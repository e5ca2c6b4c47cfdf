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
	updateInterval        = 100 * time.Millisecond
	serverStateInterval   = time.Second
	successReportInterval = 200 * time.Millisecond
	statusInterval        = 2 * time.Second
	// serverStateTimeout is the timeout of one request to a server for its state.
	serverStateTimeout = 500 * time.Millisecond
	// acceptorKey is the rendezvous key by which hosts are ranked. The ranking decides
	// which hosts watch the store, and which of them are acceptors: they validate the
	// tables and store them as accepted.
	acceptorKey = "acceptor"
	// announceFanout is the number of peers with which announce exchanges gossip
	// messages.
	announceFanout = 3
	// minViewPause is the shortest pause between two builds of the view, the data from
	// which requests are routed. Changes that arrive during the pause are combined in one
	// build. The pause is also at least viewPauseFactor times as long as the last build,
	// so that continuous changes cost at most a twentieth of a core.
	minViewPause    = 5 * time.Millisecond
	viewPauseFactor = 20
)

// Start starts the controllers, the goroutines that do the daemon's background work. They
// run until ctx ends.
func (d *Daemon) Start(ctx context.Context) {
	d.wg.Go(func() { d.members.Run(ctx) })
	d.wg.Go(func() { d.runHostList(ctx) })
	d.wg.Go(func() { d.runView(ctx) })
	d.wg.Go(func() { d.runFleetUpdates(ctx) })
	d.wg.Go(func() { d.runSuccessReports(ctx) })
	d.wg.Go(func() { d.runServerStates(ctx) })
	d.wg.Go(func() { d.runAnnouncements(ctx) })
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

// every calls fn immediately and then once per interval until ctx ends. A call starts
// only after the previous call has returned.
func every(ctx context.Context, interval time.Duration, fn func()) {
	timer := pause.NewTimer(interval)
	defer timer.Stop()
	for {
		fn()
		select {
		case <-timer.C():
			timer.Reset(interval)
		case <-ctx.Done():
			return
		}
	}
}

// watcherRank returns the rank of this host among the watchers, the hosts of its data
// centre that watch the store. It is 0 for the first watcher, and -1 if this host is not
// a watcher.
func (d *Daemon) watcherRank() int {
	if d.isStopping.Load() {
		return -1
	}
	localHosts := lo.Filter(d.members.Live().Load(), func(m membership.Member, _ int) bool {
		return m.DataCentre == d.cfg.DataCentre()
	})
	rank := rendezvous.Rank(acceptorKey, d.cfg.Host(), lo.Map(localHosts, memberID))
	if rank >= d.cfg.Platform().Watchers() {
		return -1
	}
	return rank
}

// acceptorRank returns the rank of this host as an acceptor among all live hosts. It is 0
// for the first host, and -1 if this host is not a watcher.
func (d *Daemon) acceptorRank() int {
	if d.watcherRank() < 0 {
		return -1
	}
	return rendezvous.Rank(acceptorKey, d.cfg.Host(), lo.Map(d.members.Live().Load(), memberID))
}

func memberID(m membership.Member, _ int) string { return m.ID }

// runHostList reads the platform's list of hosts at the start of this process. After that
// only watchers read it, at regular intervals, so that the number of calls to the
// platform does not grow with the number of hosts.
func (d *Daemon) runHostList(ctx context.Context) {
	every(ctx, d.cfg.Platform().Poll()/4, func() {
		if d.hostList.Version() > 0 && d.watcherRank() < 0 {
			return
		}
		hostEntries, err := d.store.Hosts(ctx)
		if err != nil {
			return
		}
		hosts := lo.Map(hostEntries, func(e platform.HostEntry, _ int) membership.Member {
			return membership.Member{ID: e.ID(), Address: e.Address(), DataCentre: e.DataCentre()}
		})
		d.hostList.Store(hosts, "platform")
		d.members.Seed(hosts)
	})
}

// runView rebuilds the view whenever the configuration, the set of live hosts or the
// fleet's knowledge about servers changes.
func (d *Daemon) runView(ctx context.Context) {
	for {
		configurationChanged := d.keeper.Section().Changed()
		hostsChanged := d.members.Live().Changed()
		start := time.Now()
		d.buildView()
		viewPause := max(minViewPause, viewPauseFactor*time.Since(start))
		select {
		case <-configurationChanged:
		case <-hostsChanged:
		case <-d.fleet.Changed():
		case <-ctx.Done():
			return
		}
		time.Sleep(viewPause)
	}
}

// buildView builds the view for the live hosts outside drained data centres, or for all
// live hosts if all of them are in drained data centres.
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
	d.isDrained.Store(c.IsDrained(d.cfg.DataCentre()))
}

// limitConnections limits the number of this host's connections to a server. It does
// nothing if the transport has no connection pool.
func (d *Daemon) limitConnections(u *table.Upstream, limit int) {
	if pooled, ok := d.servers.(interface{ SetLimit(*table.Upstream, int) }); ok {
		pooled.SetLimit(u, limit)
	}
}

// runFleetUpdates updates the fleet from the counters that requests have incremented. It
// queues the changed records of servers, and of suspects (requests that may crash
// servers), for gossip to the other hosts.
func (d *Daemon) runFleetUpdates(ctx context.Context) {
	every(ctx, updateInterval, func() {
		d.view.Load().UpdateReferenceLatencies()
		d.fleet.Tick(time.Now())
		for _, t := range d.fleet.Trackers() {
			if k, changed := t.TakeChanged(); changed {
				d.knowledgeQueue.Put(k.Server, k)
			}
		}
		for _, s := range d.engine.Quarantine().TakeChanged() {
			d.suspectQueue.Put(s.Fingerprint, s)
		}
	})
}

// runSuccessReports reports how many requests of this host succeeded at each server that
// is ramping up, that is, whose limit on requests is still rising. Each report goes to
// the first host of the server's subset (the ordered list of hosts that may send requests
// to the server), because only the first host raises the limit.
func (d *Daemon) runSuccessReports(ctx context.Context) {
	every(ctx, successReportInterval, func() {
		reports := map[string][]balance.SuccessReport{}
		for _, t := range d.fleet.Trackers() {
			if firstHost, r, ok := t.TakeSuccessReport(); ok {
				reports[firstHost] = append(reports[firstHost], r)
			}
		}
		for firstHost, list := range reports {
			m, ok := d.members.Find(firstHost)
			if !ok {
				continue
			}
			message := d.newMessage()
			message.SuccessReports = list
			go d.sendMessage(ctx, m, message)
		}
	})
}

// sendMessage sends a gossip message to a host and merges the message that the host
// replies with. A failure is ignored.
func (d *Daemon) sendMessage(ctx context.Context, to membership.Member, message peer.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Peer().Heartbeat())
	defer cancel()
	if reply, err := d.peers.Exchange(ctx, to, message); err == nil {
		d.mergeMessage(reply)
	}
}

// runServerStates asks servers for their state. Only the first host of a server's subset
// (the ordered list of hosts that may send requests to the server) asks at regular
// intervals. Any other host learns the state from the first host and from the server's
// replies, and asks only while it does not know which shards the server holds.
func (d *Daemon) runServerStates(ctx context.Context) {
	every(ctx, serverStateInterval, func() {
		for _, t := range d.fleet.Trackers() {
			if t.Rank() != 0 && len(t.Knowledge().Holdings) > 0 {
				continue
			}
			go func() {
				ctx, cancel := context.WithTimeout(ctx, serverStateTimeout)
				defer cancel()
				if s, err := d.servers.State(ctx, t.Upstream()); err == nil {
					d.fleet.ObserveState(t.Upstream().ID(), s)
				}
			}()
		}
	})
}

// runAnnouncements announces changes to some peers within updateInterval: a new
// configuration, a server whose limit on requests was reset, a request that crashes
// servers or the progress of a move. Heartbeats carry these changes to the other hosts.
func (d *Daemon) runAnnouncements(ctx context.Context) {
	var generation uint64
	every(ctx, updateInterval, func() {
		current := d.keeper.Generation()
		if current == generation && d.knowledgeQueue.Len() == 0 && d.suspectQueue.Len() == 0 && d.progressQueue.Len() == 0 {
			return
		}
		generation = current
		d.announce(ctx)
	})
}

// announce exchanges gossip messages with announceFanout peers chosen at random. It does
// not wait for their replies.
func (d *Daemon) announce(ctx context.Context) {
	peers := lo.Filter(d.members.Live().Load(), func(m membership.Member, _ int) bool { return m.ID != d.cfg.Host() })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, m := range peers[:min(announceFanout, len(peers))] {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, d.cfg.Peer().Heartbeat())
			defer cancel()
			_ = d.exchange(ctx, m)
		}()
	}
}

// runStatus writes the progress of moves and the status of the deployment to the store,
// if this host is the first acceptor.
func (d *Daemon) runStatus(ctx context.Context) {
	every(ctx, statusInterval, func() {
		if d.acceptorRank() != 0 || d.keeper.Generation() == 0 {
			return
		}
		_ = d.saveMoves(ctx)
		_ = configuration.PutStatus(ctx, d.store, d.statusObject())
	})
}

// runReadiness logs each change between ready and not ready of this host.
func (d *Daemon) runReadiness(ctx context.Context) {
	every(ctx, updateInterval, func() {
		r := d.Readiness()
		if d.wasReady.Swap(r.Ready) != r.Ready {
			d.log.Info().Bool("ready", r.Ready).Strs("reasons", r.Reasons).Msg("state changed")
		}
	})
}

func sortedIDs(members []membership.Member) []string {
	ids := lo.Map(members, memberID)
	slices.Sort(ids)
	return ids
}
