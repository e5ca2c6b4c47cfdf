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
	// turnShare is the time that each host before this one has to follow the store, as
	// a part of the time in which changes are due.
	turnShare = 0.1
	// askAgain is the pause before hosts that do not serve are asked again.
	askAgain = 150 * time.Millisecond
	// learnWait is how long a host waits at another one for a change. Each answer is a
	// sign of life, so it is short against the time in which changes are due.
	learnWait = 600 * time.Millisecond
	// settleTime is how long a host that has just started waits with its first
	// watches: the others start with it and write their entries meanwhile. settleStep
	// is what each well host before it adds.
	settleTime = 700 * time.Millisecond
	settleStep = 500 * time.Millisecond
	// settleInterval, cutOffInterval and lookInterval are how often a host that follows
	// the store looks for another one to follow: first, without the store, and later.
	settleInterval = 200 * time.Millisecond
	cutOffInterval = 500 * time.Millisecond
	lookInterval   = 2 * time.Second
	// retryTime is how long a host learns from one behind it in the order, since it had
	// lost the store itself, before it tries the store again.
	retryTime = 10 * time.Second
	// maxAsked bounds the hosts before this one that are asked in a row.
	maxAsked = 8
	// ForgetTime is how long a host may neither ask nor answer before its entry is
	// removed.
	ForgetTime = 10 * time.Minute
	// ForgetInterval is how often a host that follows the store looks for such hosts.
	ForgetInterval = time.Minute
)

// Session is one time of following the store.
type Session struct {
	// IsNew means that the host has just started: it lists at once.
	IsNew bool
	// GoesOn means that what is known needs no list.
	GoesOn bool
	// Turn is open while the host is to list what it knows already, and to watch.
	Turn *Latch
}

// Link is the way of a host to the store and to other hosts.
type Link interface {
	// Learn asks a host for what this one lacks, waits there for a change, and takes
	// the answer in unless isTrial.
	Learn(ctx context.Context, h Host, wait time.Duration, isTrial bool) Standing
	// FollowStore follows the store until ctx ends.
	FollowStore(ctx context.Context, s Session)
	// Reach returns the time since the store last answered, and whether the last call
	// failed.
	Reach(now time.Time) (age time.Duration, isFailing bool)
	// Remove removes the entry of a host that is gone.
	Remove(ctx context.Context, h Host)
	// Entered is told of each new source before it is used; Store names the store.
	Entered(name string)
	// Left is told why a host is not the source any more.
	Left(name string, s Standing)
}

// Store names the store as a source.
const Store = "store"

// Controller keeps a host in line with the store, directly or through another host of
// its data centre. Link does the I/O.
type Controller struct {
	*Chooser
	link Link
	// step is the time that each host before this one has to follow the store, fresh how
	// old the last answer of the store may be for others to rely on it.
	step, fresh time.Duration
	// known receives a value when the hosts have changed.
	known chan struct{}

	// directAt is since when this host follows the store; nil means that it does not.
	directAt atomic.Pointer[time.Time]
	// learnedAt is when this host was last in line with the store. Only Run uses it.
	learnedAt time.Time

	mu    sync.Mutex
	moved chan struct{}
	// askedAt are the times at which other hosts asked last, by name.
	askedAt map[string]time.Time
}

// NewController returns a Controller of a host that knows no others. Changes are due
// within bound; an answer of the store counts as recent for fresh.
func NewController(self Host, link Link, bound, fresh time.Duration) *Controller {
	return &Controller{
		Chooser: New(self), link: link, step: time.Duration(turnShare * float64(bound)), fresh: fresh,
		known: make(chan struct{}, 1), moved: make(chan struct{}), askedAt: map[string]time.Time{},
	}
}

// SetHosts sets the other hosts of the data centre.
func (c *Controller) SetHosts(hosts []Host) {
	c.Chooser.SetHosts(hosts)
	select {
	case c.known <- struct{}{}:
	default:
	}
}

// IsDirect reports whether this host follows the store itself.
func (c *Controller) IsDirect() bool { return c.directAt.Load() != nil }

// IsServing reports whether other hosts may rely on this one: it follows the store, and
// the store has answered it since. What it knew from another host before says nothing of
// the store; hosts that relied on it would each lose the time in which it finds out that
// the store turns it away.
func (c *Controller) IsServing(now time.Time) bool {
	directAt := c.directAt.Load()
	age, isCutOff := c.reach(now)
	return directAt != nil && !isCutOff && !now.Add(-age).Before(*directAt)
}

// IsRecent reports whether an answer of the store that is so old may be relied on.
func (c *Controller) IsRecent(age time.Duration) bool { return age <= c.fresh }

// Moved returns a channel that is closed when this host changes its source.
func (c *Controller) Moved() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moved
}

// Asked records that a host asked this one. Names that are no host's don't count.
func (c *Controller) Asked(name string) {
	if !c.Knows(name) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.askedAt[name] = time.Now()
}

// Run follows until ctx ends. The first source is the store, since nobody else is
// known yet.
func (c *Controller) Run(ctx context.Context) {
	for isNew := true; ctx.Err() == nil; isNew = false {
		next := c.followStore(ctx, isNew)
		for ctx.Err() == nil && next != nil {
			c.followHost(ctx, *next)
			next = c.find(ctx)
		}
	}
}

// reach returns the time since the store last answered, and whether a host that follows
// the store has lost it.
func (c *Controller) reach(now time.Time) (age time.Duration, isCutOff bool) {
	age, isFailing := c.link.Reach(now)
	return age, isFailing || !c.IsRecent(age)
}

func (c *Controller) setDirect(isDirect bool) {
	var directAt *time.Time
	if isDirect {
		directAt = lo.ToPtr(time.Now())
	}
	c.directAt.Store(directAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.moved)
	c.moved = make(chan struct{})
}

// followHost learns from a host until it does not serve any more or a better one may.
func (c *Controller) followHost(ctx context.Context, h Host) {
	c.link.Entered(h.Name)
	start := time.Now()
	isBehind := compare(h, c.self) > 0
	for looked := start; ctx.Err() == nil; {
		if s := c.learn(ctx, h, learnWait, false); s != Serving {
			c.link.Left(h.Name, s)
			return
		}
		if now := time.Now(); now.Sub(looked) >= lookInterval {
			looked = now
			better, _ := c.ask(ctx, Better, false)
			if better != nil && better.Name != h.Name || isBehind && now.Sub(start) >= retryTime {
				return
			}
		}
	}
}

// find returns a host that serves, or nil if this host is to follow the store. It
// gives hosts that come before this one and are well the time to do so first.
func (c *Controller) find(ctx context.Context) *Host {
	for start := time.Now(); ctx.Err() == nil; {
		h, idle := c.ask(ctx, Better, false)
		if h != nil || time.Since(start) >= Turn(idle, c.step) {
			return h
		}
		pause.For(ctx, askAgain)
	}
	return nil
}

// ask returns the first candidate that serves, and how many are well and do not.
func (c *Controller) ask(ctx context.Context, choice Choice, isTrial bool) (*Host, int) {
	idle := 0
	candidates := c.Candidates(time.Now(), choice)
	if choice == Better {
		candidates = candidates[:min(len(candidates), maxAsked)]
	}
	for _, h := range candidates {
		switch c.learn(ctx, h, 0, isTrial) {
		case Serving:
			return &h, idle
		case Idle:
			idle++
		case Unreachable:
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, idle
}

// learn asks a host and remembers how it stands.
func (c *Controller) learn(ctx context.Context, h Host, wait time.Duration, isTrial bool) Standing {
	s := c.link.Learn(ctx, h, wait, isTrial)
	if ctx.Err() != nil {
		return Unreachable
	}
	now := time.Now()
	c.Observe(h.Name, s, now)
	if s == Serving && !isTrial {
		c.learnedAt = now
	}
	return s
}

// followStore follows the store until another host serves, which it returns.
func (c *Controller) followStore(ctx context.Context, isNew bool) *Host {
	c.link.Entered(Store)
	direct, cancel := context.WithCancel(ctx)
	s := Session{IsNew: isNew, GoesOn: !isNew && time.Since(c.learnedAt) < c.fresh, Turn: &Latch{}}
	var following sync.WaitGroup
	following.Go(func() { c.link.FollowStore(direct, s) })
	c.setDirect(true)
	next := c.look(ctx, s)
	now := time.Now()
	if age, isCutOff := c.reach(now); !isCutOff {
		c.learnedAt = now.Add(-age)
	}
	c.setDirect(false)
	cancel()
	following.Wait()
	return next
}

// look returns another host as soon as one serves: one before this one, or any while
// the store does not answer. It opens the turn when this host is to watch the store:
// after the hosts before it had the time to do so, at the start and after an outage.
func (c *Controller) look(ctx context.Context, s Session) *Host {
	start := time.Now()
	reachedAt, forgot := start, start
	settle, step := time.Duration(0), c.step
	if s.IsNew {
		settle, step = settleTime, settleStep
	}
	// A host that has run on has given those before it their time already, in find.
	hasWaited := !s.IsNew
	for idle := 0; ctx.Err() == nil; {
		now := time.Now()
		// A loss of the store is to be noticed when it is due.
		age, isCutOff := c.reach(now)
		choice, interval := Better, min(lookInterval, max(c.fresh-age, 0)+time.Millisecond)
		switch {
		case isCutOff:
			choice, interval = Any, cutOffInterval
			if hasWaited && now.Sub(start) < cutOffInterval {
				// The first answer of the store is on its way.
				interval = askAgain
			}
			reachedAt = now
			s.Turn.Set(false)
		case hasWaited:
			hasWaited = false
			s.Turn.Set(true)
		case now.Sub(reachedAt) >= settle+Turn(idle, step):
			s.Turn.Set(true)
			settle, step = 0, c.step
		}
		if choice == Better && now.Sub(reachedAt) < settle+lookInterval {
			interval = min(interval, settleInterval)
		}
		c.pause(ctx, interval)
		if _, isCutOff := c.reach(time.Now()); !isCutOff {
			// The store has answered meanwhile. Hosts that it answers at once must not
			// each follow the other.
			choice = Better
		}
		var h *Host
		if h, idle = c.ask(ctx, choice, true); h != nil {
			return h
		}
		if choice == Better && now.Sub(forgot) >= ForgetInterval {
			forgot = now
			c.forget(ctx, now, start)
		}
	}
	return nil
}

// pause waits for a time, or until the hosts have changed.
func (c *Controller) pause(ctx context.Context, d time.Duration) {
	alarm := pause.NewAlarm(d)
	defer alarm.Stop()
	select {
	case <-c.known:
	case <-alarm.C():
	case <-ctx.Done():
	}
}

// forget removes the entries of hosts that are gone. One that is not, and was only
// out of reach, writes its entry again. This host has listened since a time.
func (c *Controller) forget(ctx context.Context, now, since time.Time) {
	for _, h := range c.Candidates(now, Any) {
		c.mu.Lock()
		asked, ok := c.askedAt[h.Name]
		c.mu.Unlock()
		if !ok {
			asked = since
		}
		if now.Sub(asked) < ForgetTime || c.learn(ctx, h, 0, true) != Unreachable {
			continue
		}
		c.mu.Lock()
		delete(c.askedAt, h.Name)
		c.mu.Unlock()
		c.link.Remove(ctx, h)
	}
}
