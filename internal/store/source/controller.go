package source

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/godwithatch/godwithatch/modules/pause"
)

const (
	// followStepShare is Controller.followStep as a fraction of the time within which
	// hosts must learn of changes.
	followStepShare = 0.1
	// idleHostRetryDelay is the delay before idle hosts (hosts that answer but cannot
	// serve the store's content at present) are asked again.
	idleHostRetryDelay = 150 * time.Millisecond
	// maxFetchWait is the longest time for which another host delays its answer to this
	// host's request for changes while there are no new changes. Each answer also shows
	// that the other host is alive, so this time is short compared with the time within
	// which hosts must learn of changes.
	maxFetchWait = 600 * time.Millisecond
	// startupDelay is the time for which a host that has just started delays its first
	// watches of the store. Other hosts start at the same time and write their entries
	// to the store during this delay, and each write would end the pending watches.
	// startupStep is added to the delay for each idle host of a higher rank.
	startupDelay = 700 * time.Millisecond
	startupStep  = 500 * time.Millisecond
	// The intervals at which a host that follows the store searches for another host
	// from which it can learn the store's content instead.
	initialSearchInterval = 200 * time.Millisecond // soon after the host's start or an outage
	outageSearchInterval  = 500 * time.Millisecond // while the host is cut off from the store
	searchInterval        = 2 * time.Second        // at all other times
	// storeRetryDelay is the time for which a host that is cut off from the store learns
	// from a host of a lower rank before it tries the store again.
	storeRetryDelay = 10 * time.Second
	// askInterval is the time after which a search for a source asks the next host although
	// the one before has not answered. A host of the data centre that has little of its core
	// answers within that time.
	askInterval = 100 * time.Millisecond
	// maxHostsAsked is the largest number of hosts of a higher rank that one search for
	// a source asks.
	maxHostsAsked = 8
	// HostExpiry is the time without any request from another host after which this
	// host asks the other host and, if there is no answer, removes its entry from the
	// store.
	HostExpiry = 10 * time.Minute
	// HostExpiryInterval is the interval at which a host that follows the store searches
	// for other hosts whose entries must be removed.
	HostExpiryInterval = time.Minute
)

// Session is a period during which a host follows the store.
type Session struct {
	// IsNew means that the host has just started and must list the store's objects at
	// once.
	IsNew bool
	// MayWatch is open while the host is allowed to watch the store and to list a kind
	// (type of object) again. The first list of a kind is allowed at any time.
	MayWatch *Latch
}

// Transport gives a Controller access to the store and to other hosts.
type Transport interface {
	// Fetch requests from h the changes in the store that this host lacks, and returns
	// the standing of h. If this host lacks no change, h delays its answer until a
	// change occurs, for at most wait. Fetch applies the changes unless isProbe is set.
	Fetch(ctx context.Context, h Host, wait time.Duration, isProbe bool) Standing
	// FollowStore lists and watches the store's objects until ctx ends.
	FollowStore(ctx context.Context, s Session)
	// StoreHealth returns the time since the store last answered, and whether the last
	// call to the store failed.
	StoreHealth(now time.Time) (age time.Duration, isFailing bool)
	// Remove removes from the store the entry of a host that is gone.
	Remove(ctx context.Context, h Host)
	// SourceSelected is called with the name of each new source before the source is
	// used. If the new source is the store, name is Store.
	SourceSelected(name string)
	// SourceLost is called when the host that is the source can no longer serve, with the
	// host's name and standing.
	SourceLost(name string, s Standing)
}

// Store is the name that SourceSelected receives if the source is the store.
const Store = "store"

// Controller keeps a host up to date with the store, directly or through another host of
// its data centre. Transport does the I/O.
type Controller struct {
	*Ranking
	transport Transport
	// followStep is the time that this host gives each idle host of a higher rank (a host
	// that answers but cannot serve at present) to start following the store. maxAge is
	// the age up to which an answer of the store counts as recent.
	followStep, maxAge time.Duration
	// hostsChanged receives a value when the set of other hosts has changed.
	hostsChanged chan struct{}

	// followingSince is the time at which this host began to follow the store, or nil if
	// it does not follow the store.
	followingSince atomic.Pointer[time.Time]

	mu               sync.Mutex
	followingChanged chan struct{}
	// lastRequestAt holds, by name, the time at which another host last sent a request
	// to this host.
	lastRequestAt map[string]time.Time
}

// NewController returns a Controller for a host that does not know any other hosts yet.
// Hosts must learn of changes in the store within bound; an answer of the store counts
// as recent until it is older than maxAge.
func NewController(self Host, transport Transport, bound, maxAge time.Duration) *Controller {
	return &Controller{
		Ranking: NewRanking(self), transport: transport, followStep: time.Duration(followStepShare * float64(bound)), maxAge: maxAge,
		hostsChanged: make(chan struct{}, 1), followingChanged: make(chan struct{}), lastRequestAt: map[string]time.Time{},
	}
}

// SetHosts sets the other hosts of the data centre.
func (c *Controller) SetHosts(hosts []Host) {
	c.Ranking.SetHosts(hosts)
	select {
	case c.hostsChanged <- struct{}{}:
	default:
	}
}

// IsFollowingStore reports whether this host follows the store itself.
func (c *Controller) IsFollowingStore() bool { return c.followingSince.Load() != nil }

// IsServing reports whether other hosts may rely on this host: this host follows the
// store, and the last answer of the store is recent and came after this host began to
// follow it. Data learned earlier from another host does not count, because it does not
// show that the store answers this host. If the store rejected this host, hosts that rely
// on this host would miss changes until it noticed the rejection.
func (c *Controller) IsServing(now time.Time) bool {
	followingSince := c.followingSince.Load()
	age, isCutOff := c.timeSinceStoreAnswer(now)
	return followingSince != nil && !isCutOff && !now.Add(-age).Before(*followingSince)
}

// IsRecent reports whether an answer of the store of the given age counts as recent.
func (c *Controller) IsRecent(age time.Duration) bool { return age <= c.maxAge }

// FollowingChanged returns a channel that is closed when this host starts or stops
// following the store.
func (c *Controller) FollowingChanged() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.followingChanged
}

// RecordRequest records that the host with the given name sent a request to this host.
// Names that belong to no host of the data centre are ignored.
func (c *Controller) RecordRequest(name string) {
	if !c.HasHost(name) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRequestAt[name] = time.Now()
}

// Run keeps this host up to date until ctx ends. It starts with the store as the source,
// because no other hosts are known yet.
func (c *Controller) Run(ctx context.Context) {
	for isNew := true; ctx.Err() == nil; isNew = false {
		next := c.followStore(ctx, isNew)
		for ctx.Err() == nil && next != nil {
			c.followHost(ctx, *next)
			next = c.findSource(ctx)
		}
	}
}

// timeSinceStoreAnswer returns the time since the store last answered, and whether this
// host counts as cut off from the store: the last call failed or the last answer is too
// old.
func (c *Controller) timeSinceStoreAnswer(now time.Time) (age time.Duration, isCutOff bool) {
	age, isFailing := c.transport.StoreHealth(now)
	return age, isFailing || !c.IsRecent(age)
}

// setFollowing records whether this host follows the store, and signals the change.
func (c *Controller) setFollowing(isFollowing bool) {
	var followingSince *time.Time
	if isFollowing {
		followingSince = lo.ToPtr(time.Now())
	}
	c.followingSince.Store(followingSince)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.followingChanged)
	c.followingChanged = make(chan struct{})
}

// followHost learns from h until h can no longer serve, or until a host that ranks before
// both h and this host can serve. If h ranks after this host, followHost also returns
// after storeRetryDelay, so that the store is tried again.
func (c *Controller) followHost(ctx context.Context, h Host) {
	c.transport.SourceSelected(h.Name)
	start := time.Now()
	isLowerRanked := compareRank(h, c.self) > 0
	for searchedAt := start; ctx.Err() == nil; {
		if s := c.fetch(ctx, h, maxFetchWait, false); s != Serving {
			c.transport.SourceLost(h.Name, s)
			return
		}
		if now := time.Now(); now.Sub(searchedAt) >= searchInterval {
			searchedAt = now
			better, _ := c.findServing(ctx, HigherRanked, false)
			if better != nil && better.Name != h.Name || isLowerRanked && now.Sub(start) >= storeRetryDelay {
				return
			}
		}
	}
}

// findSource returns a host of a higher rank that can serve, or nil if this host must
// follow the store itself. Before it returns nil, it gives the idle hosts of a higher
// rank time to start following the store.
func (c *Controller) findSource(ctx context.Context) *Host {
	for start := time.Now(); ctx.Err() == nil; {
		h, idle := c.findServing(ctx, HigherRanked, false)
		if h != nil || time.Since(start) >= FollowDelay(idle, c.followStep) {
			return h
		}
		pause.For(ctx, idleHostRetryDelay)
	}
	return nil
}

// findServing asks the candidates in the order of their rank. It returns the first that
// can serve the store's content, or nil if there is none, and the number of idle
// candidates that were asked before it. A candidate that does not answer soon does not keep the
// next one from being asked, because many hosts may be unreachable at once.
func (c *Controller) findServing(ctx context.Context, scope Scope, isProbe bool) (*Host, int) {
	candidates := c.Candidates(time.Now(), scope)
	if scope == HigherRanked {
		candidates = candidates[:min(len(candidates), maxHostsAsked)]
	}
	ctx, cancel := context.WithCancel(ctx)
	var asked sync.WaitGroup
	defer asked.Wait()
	defer cancel()
	type answer struct {
		host     Host
		standing Standing
	}
	answers := make(chan answer, len(candidates))
	next := pause.NewTimer(askInterval)
	defer next.Stop()
	idle := 0
	for pending := 0; len(candidates) > 0 || pending > 0; {
		if len(candidates) > 0 {
			h := candidates[0]
			candidates = candidates[1:]
			pending++
			asked.Go(func() { answers <- answer{h, c.fetch(ctx, h, 0, isProbe)} })
			next.Reset(askInterval)
		}
		select {
		case a := <-answers:
			pending--
			switch a.standing {
			case Serving:
				return &a.host, idle
			case Idle:
				idle++
			case Unreachable:
			}
		case <-next.C():
		case <-ctx.Done():
			return nil, idle
		}
	}
	return nil, idle
}

// fetch fetches changes from a host and records the host's standing.
func (c *Controller) fetch(ctx context.Context, h Host, wait time.Duration, isProbe bool) Standing {
	s := c.transport.Fetch(ctx, h, wait, isProbe)
	if ctx.Err() != nil {
		return Unreachable
	}
	c.Observe(h.Name, s, time.Now())
	return s
}

// followStore follows the store until another host can be the source. It returns that
// host, or nil if ctx ends first.
func (c *Controller) followStore(ctx context.Context, isNew bool) *Host {
	c.transport.SourceSelected(Store)
	following, cancel := context.WithCancel(ctx)
	s := Session{IsNew: isNew, MayWatch: &Latch{}}
	var tasks sync.WaitGroup
	tasks.Go(func() { c.transport.FollowStore(following, s) })
	c.setFollowing(true)
	next := c.awaitSource(ctx, s)
	c.setFollowing(false)
	cancel()
	tasks.Wait()
	return next
}

// awaitSource waits for another host that can serve and returns it. While the store
// answers, awaitSource asks only hosts of a higher rank; otherwise it asks all other
// hosts. At the start and after an outage, awaitSource opens s.MayWatch once the hosts
// of a higher rank have had time to start following the store.
func (c *Controller) awaitSource(ctx context.Context, s Session) *Host {
	start := time.Now()
	reachableSince, expiryCheckedAt := start, start
	delay, step := time.Duration(0), c.followStep
	if s.IsNew {
		delay, step = startupDelay, startupStep
	}
	// Unless this host has just started, it has already given the hosts of a higher
	// rank time to follow the store in findSource.
	hasWaited := !s.IsNew
	for idle := 0; ctx.Err() == nil; {
		now := time.Now()
		// The interval ends at the latest when the last answer of the store becomes
		// older than maxAge, so that this host notices at once that it is cut off.
		age, isCutOff := c.timeSinceStoreAnswer(now)
		scope, interval := HigherRanked, min(searchInterval, max(c.maxAge-age, 0)+time.Millisecond)
		switch {
		case isCutOff:
			scope, interval = AllHosts, outageSearchInterval
			if hasWaited && now.Sub(start) < outageSearchInterval {
				// The first answer of the store since this host began to follow it is
				// still pending.
				interval = idleHostRetryDelay
			}
			reachableSince = now
			s.MayWatch.Set(false)
		case hasWaited:
			hasWaited = false
			s.MayWatch.Set(true)
		case now.Sub(reachableSince) >= delay+FollowDelay(idle, step):
			s.MayWatch.Set(true)
			delay, step = 0, c.followStep
		}
		if scope == HigherRanked && now.Sub(reachableSince) < delay+searchInterval {
			interval = min(interval, initialSearchInterval)
		}
		c.awaitHosts(ctx, interval)
		if _, isCutOff := c.timeSinceStoreAnswer(time.Now()); !isCutOff {
			// This host is no longer cut off, so only a host of a higher rank may become
			// its source. Otherwise two hosts that the store answers at the same time
			// could choose each other as the source.
			scope = HigherRanked
		}
		var h *Host
		if h, idle = c.findServing(ctx, scope, true); h != nil {
			return h
		}
		if scope == HigherRanked && now.Sub(expiryCheckedAt) >= HostExpiryInterval {
			expiryCheckedAt = now
			c.removeExpired(ctx, now, start)
		}
	}
	return nil
}

// awaitHosts waits for d, or until the set of other hosts changes.
func (c *Controller) awaitHosts(ctx context.Context, d time.Duration) {
	timer := pause.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.hostsChanged:
	case <-timer.C():
	case <-ctx.Done():
	}
}

// removeExpired removes from the store the entries of hosts that have sent no request
// to this host for HostExpiry and do not answer. A host that was alive but unreachable
// writes its entry again. For a host that has never sent a request, HostExpiry counts
// from since, the time at which this host began to receive requests.
func (c *Controller) removeExpired(ctx context.Context, now, since time.Time) {
	for _, h := range c.Candidates(now, AllHosts) {
		c.mu.Lock()
		last, ok := c.lastRequestAt[h.Name]
		c.mu.Unlock()
		if !ok {
			last = since
		}
		if now.Sub(last) < HostExpiry || c.fetch(ctx, h, 0, true) != Unreachable {
			continue
		}
		c.mu.Lock()
		delete(c.lastRequestAt, h.Name)
		c.mu.Unlock()
		c.transport.Remove(ctx, h)
	}
}
