package engine

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/modules/pause"
)

const (
	// sendLingerTime is the time for which a send may continue after its reply is no
	// longer needed. Cancelling the send at once would close its connection, and a new
	// one would have to be opened. The time must be short, since the protocol requires
	// that servers no longer work on a request half a second after its client has
	// disconnected.
	sendLingerTime = 400 * time.Millisecond
	// serverTimeShare is the share of a route's latency objective that a reply of a
	// server may take before the server's queue counts as too long. The rest of the
	// objective is for waiting on this host and for the network.
	serverTimeShare = 0.75
	// maxWaitShare is the share of the time until the latency objective that bounds the
	// waits for a server: a request waits only if its answer is expected within this
	// share. The rest is a reserve, because half of all waits are longer than expected.
	maxWaitShare = 0.85
	// stragglerFactor and stragglerSlack determine when a pending reply counts as late,
	// so that an extra send is due. This is after stragglerFactor times the time in
	// which half of the replies arrived, and at least stragglerSlack after that time. A
	// service time seldom doubles unless the server pauses.
	stragglerFactor = 2
	stragglerSlack  = 8 * time.Millisecond
)

var (
	// errAnswered is the cancellation cause of sends whose reply is no longer needed.
	errAnswered = errors.New("the client has already been answered")
	// errClientDisconnected is the cancellation cause of sends whose client has
	// disconnected.
	errClientDisconnected = errors.New("the client has disconnected")
	// errStopping is the cancellation cause of sends that are pending when this host stops.
	errStopping = errors.New("this host stops")
	// errHeld is the error of a subrequest that waited for a server until its request was
	// held back.
	errHeld = errors.New("the request ends servers")
	// errNoServer is the error of a subrequest for which no server had capacity.
	errNoServer = errors.New("no server has capacity")
)

// replyCollector collects the replies of a run and decides when they suffice for an
// answer.
type replyCollector interface {
	// add records the final reply of one subrequest.
	add(sub *subrequest, r *Reply)
	// canSucceedWithout reports whether a successful answer is possible without the
	// replies of count subrequests.
	canSucceedWithout(count int) bool
	// decide returns whether the run waits for further replies and, if not, how it ends.
	decide(now time.Time) decision
}

// event reports to a run that, for one subrequest, a send or a wait for a server has
// ended.
type event struct {
	subrequest *subrequest
	// reply is the reply to a send. It is nil if a wait for a server has ended; server is
	// then the server that was assigned, or nil if there was none.
	reply  *Reply
	server *fleet.Server
	// sendIndex is the index of the send in the run's sendRecords. took is the time from
	// the send to its reply.
	sendIndex int
	took      time.Duration
	// isExtra means that the send was not the first one of its subrequest.
	isExtra bool
}

// run processes one request in one event loop. It has one subrequest for each service
// that the request needs.
type run struct {
	engine      *Engine
	req         *Request
	collector   replyCollector
	subrequests []subrequest
	events      chan event
	// sendCtx is the context of all sends. It may outlive the answer to the client, so
	// that late replies can still be read and their connections reused.
	sendCtx context.Context
	cancel  context.CancelCauseFunc
	// start is the time at which the run began; the first sends follow at once.
	start time.Time
	// answered is the number of subrequests that have an answer.
	answered    int
	sendRecords []SendRecord
	// attempt identifies this attempt of the client in the evidence against its request.
	attempt uint64
	// silences watches the sends for servers that go silent.
	silences *silenceMonitor
	// endedServers is the number of servers that ended during a send, and extraEnded the
	// number of those that ended during an extra send. extraPending is the number of extra
	// sends without a reply.
	endedServers, extraEnded, extraPending int
	// waiting is the number of subrequests that wait for a server with capacity.
	waiting int
}

func (e *Engine) newRun(ctx context.Context, req *Request, collector replyCollector, services []string) *run {
	// The sends have the deadline of the request, since a lost reply is noticed only when
	// the deadline passes.
	sendCtx, stop := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	sendCtx, cancel := context.WithCancelCause(sendCtx)
	r := &run{
		engine: e, req: req, collector: collector, subrequests: make([]subrequest, len(services)), sendCtx: sendCtx, sendRecords: make([]SendRecord, 0, len(services)+len(services)/4+1),
		events: make(chan event, (maxSends+1)*len(services)), start: time.Now(), attempt: rand.Uint64(),
		cancel: func(cause error) {
			cancel(cause)
			stop()
		},
	}
	r.silences = &silenceMonitor{engine: e, fingerprint: req.Fingerprint, attempt: r.attempt, watches: make([]silenceWatch, 0, cap(r.sendRecords))}
	for i, service := range services {
		r.subrequests[i].group = e.fleet.Group(service)
	}
	return r
}

// execute sends the request to every service and handles events until the collector
// decides how the run ends. It returns refuseUnsent if too few servers can be reserved,
// and failNow at the deadline and when the client disconnects.
func (r *run) execute(ctx context.Context) decision {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !r.reserve() {
		r.cancel(errNoServer)
		return refuseUnsent
	}
	for i := range r.subrequests {
		r.startSubrequest(ctx, &r.subrequests[i])
	}
	timer := pause.NewTimer(time.Until(r.req.Deadline))
	defer timer.Stop()
	for {
		now := time.Now()
		if d := r.collector.decide(now); d != keepWaiting {
			return r.end(d, errAnswered)
		}
		if !now.Before(r.req.Deadline) {
			return r.end(failNow, context.DeadlineExceeded)
		}
		timer.Reset(r.nextWake(now))
		select {
		case x := <-r.events:
			r.handleEvent(x)
		case <-timer.C():
			r.sendDueExtras(time.Now())
		case <-ctx.Done():
			return r.end(failNow, errClientDisconnected)
		case <-r.engine.stopping:
			return r.end(r.lastDecision(), errStopping)
		}
	}
}

// lastDecision returns how the run ends if it can't wait any longer: it answers with the
// replies that have arrived if these suffice after the latency objective.
func (r *run) lastDecision() decision {
	if d := r.collector.decide(r.req.Objective); d != keepWaiting {
		return d
	}
	return failNow
}

// end ends the run and returns d. It cancels pending sends at once if the client has
// disconnected or the deadline has passed. Otherwise the sends may continue for
// sendLingerTime. Most sends complete within this time, and their connections can then
// be reused.
func (r *run) end(d decision, cause error) decision {
	if r.waiting > 0 {
		go r.releaseWaiting()
	}
	pending := 0
	for i := range r.subrequests {
		pending += r.subrequests[i].pending
	}
	if pending == 0 || !errors.Is(cause, errAnswered) {
		r.cancel(cause)
	} else {
		time.AfterFunc(sendLingerTime, func() { r.cancel(errAnswered) })
	}
	return d
}

// releaseWaiting receives the results of the waits for a server that are still pending
// when the run ends, and releases the servers.
func (r *run) releaseWaiting() {
	for r.waiting > 0 {
		x := <-r.events
		if x.reply != nil {
			continue
		}
		r.waiting--
		if x.server != nil {
			x.subrequest.group.ReleaseUnused(x.server)
		}
	}
}

// nextWake returns the time until the run must act even if no event occurs. This is the
// time until the deadline, the latency objective or the next extra send that is due,
// whichever is earliest.
func (r *run) nextWake(now time.Time) time.Duration {
	next := r.req.Deadline
	if now.Before(r.req.Objective) && r.req.Objective.Before(next) {
		next = r.req.Objective
	}
	for i := range r.subrequests {
		sub := &r.subrequests[i]
		if !sub.isDone && !sub.nextSendAt.IsZero() && sub.nextSendAt.Before(next) {
			next = sub.nextSendAt
		}
	}
	return next.Sub(now)
}

// reserve reserves a server for every subrequest. A subrequest for which no server has
// capacity may wait for one if its answer is expected within maxWait. If so many
// subrequests can neither get a server nor wait for one that a successful answer is
// impossible, reserve releases all servers and reports false. Nothing has been sent
// then, and the capacity of these servers stays available to requests that can be
// answered.
func (r *run) reserve() bool {
	maxWait := r.maxWait()
	unavailable := 0
	for i := range r.subrequests {
		sub := &r.subrequests[i]
		sub.reserved, sub.mayWait = sub.group.TryAcquire(r.start, r.serverFilter(sub), r.req.rank(), maxWait)
		if sub.reserved == nil && !sub.mayWait {
			unavailable++
		}
	}
	if r.collector.canSucceedWithout(unavailable) {
		return true
	}
	for i := range r.subrequests {
		if sub := &r.subrequests[i]; sub.reserved != nil {
			sub.group.ReleaseUnused(sub.reserved)
		}
	}
	return false
}

// maxWait returns the maximum wait: a request waits for a server only if its answer is
// expected within this time. It is a share of the time from the start of the run to the
// objective, or to the deadline if the objective had passed by then.
func (r *run) maxWait() time.Duration {
	end := r.req.Objective
	if !r.start.Before(end) {
		end = r.req.Deadline
	}
	return time.Duration(maxWaitShare * float64(end.Sub(r.start)))
}

// startSubrequest sends the request to the reserved server. If no server is reserved,
// the subrequest starts to wait for one, provided that its answer is expected within
// the maximum wait. Otherwise startSubrequest ends the subrequest.
func (r *run) startSubrequest(ctx context.Context, sub *subrequest) {
	sub.group.Deposit()
	switch {
	case sub.reserved != nil:
		r.send(sub, sub.reserved)
	case sub.mayWait:
		serverFilter, maxWait := r.serverFilter(sub), r.maxWait()
		r.waiting++
		go func() {
			r.events <- event{subrequest: sub, server: sub.group.Acquire(ctx, serverFilter, r.req.rank(), maxWait)}
		}()
	default:
		r.finish(sub, &Reply{Outcome: fleet.Unreachable, Err: errNoServer})
	}
}

// serverFilter returns the filter for the servers to which the subrequest may be sent.
func (r *run) serverFilter(sub *subrequest) fleet.Filter {
	return fleet.Filter{Tried: sub.tried, AllowsRegion: r.req.Route.AllowsRegion}
}

func (r *run) handleEvent(x event) {
	sub := x.subrequest
	if x.reply != nil {
		record := &r.sendRecords[x.sendIndex]
		record.Outcome, record.Took, record.Err, record.HasEnded = x.reply.Outcome, x.took, x.reply.Err, x.reply.HasEnded
		r.countEnded(x)
		r.handleReply(sub, x.reply)
		return
	}
	r.waiting--
	switch {
	case x.server == nil:
		r.finish(sub, &Reply{Outcome: fleet.Unreachable, Err: errNoServer})
	case r.isHeld():
		sub.group.ReleaseUnused(x.server)
		sub.denied = Held
		r.finish(sub, &Reply{Outcome: fleet.Unreachable, Err: errHeld})
	default:
		r.send(sub, x.server)
	}
}

// handleReply ends the subrequest if the reply is an answer. Otherwise it tries to make
// an extra send. If the extra send is denied, the subrequest waits for its pending
// sends. If none is pending, handleReply schedules another try or ends the subrequest.
func (r *run) handleReply(sub *subrequest, reply *Reply) {
	sub.pending--
	if sub.isDone {
		return
	}
	if reply.Outcome == fleet.Answered {
		r.finish(sub, reply)
		return
	}
	sub.keepBestReply(reply)
	if reply.Outcome == fleet.Unreachable || reply.Outcome == fleet.Misdirected {
		// The send does not count as an attempt, because the intended server has not
		// received the request.
		sub.attempts--
	}
	// A send that reached no server is no arrival. Any other one is, also at a server that
	// has rejected the request because it has the address of another.
	skipsBudget := reply.Outcome == fleet.Unreachable
	if r.sendAgain(sub, skipsBudget) {
		if skipsBudget {
			r.engine.counters.UnpaidSends[reply.Outcome].Add(1)
		}
		return
	}
	if sub.pending > 0 {
		return
	}
	r.retryOrFinish(sub, time.Now())
}

// retryOrFinish handles a denied extra send. If the extra send may become possible before
// the maximum wait has passed, it schedules another try. Otherwise it ends the
// subrequest.
func (r *run) retryOrFinish(sub *subrequest, now time.Time) {
	if sub.isDenialTemporary() && !r.isStuck(sub) && now.Before(r.start.Add(r.maxWait())) {
		sub.nextSendAt = now.Add(extraSendRetryInterval)
		return
	}
	r.finish(sub, sub.bestReply)
}

// sendDueExtras tries to make an extra send for each subrequest that is due for one.
func (r *run) sendDueExtras(now time.Time) {
	for i := range r.subrequests {
		sub := &r.subrequests[i]
		if sub.isDone || sub.nextSendAt.IsZero() || now.Before(sub.nextSendAt) {
			continue
		}
		sub.nextSendAt = time.Time{}
		switch {
		case r.sendAgain(sub, false):
		case sub.pending == 0:
			r.retryOrFinish(sub, now)
		case sub.isDenialTemporary():
			sub.nextSendAt = now.Add(extraSendRetryInterval)
		}
	}
}

// sendAgain makes an extra send if the request may run again, another server has
// capacity, and the budget allows it or skipsBudget is set. It reports whether it made
// the send.
func (r *run) sendAgain(sub *subrequest, skipsBudget bool) bool {
	sub.denied = r.trySend(sub, skipsBudget)
	c := &r.engine.counters
	if sub.denied == NotDenied {
		c.ExtraSends.Add(1)
		return true
	}
	c.Denied[sub.denied].Add(1)
	return false
}

func (r *run) trySend(sub *subrequest, skipsBudget bool) Denial {
	now := time.Now()
	if d := sub.denialReason(r.req, now); d != NotDenied {
		return d
	}
	if d := r.crashDenial(sub); d != NotDenied {
		return d
	}
	server := sub.group.Pick(now, r.serverFilter(sub))
	switch {
	case server != nil:
	case sub.group.CanServeBy(r.serverFilter(sub), r.start.Add(r.maxWait())):
		return NoRoom
	default:
		return NoServer
	}
	if !skipsBudget && !sub.group.WithdrawExtraSend() {
		sub.group.ReleaseUnused(server)
		return NoBudget
	}
	r.send(sub, server)
	return NotDenied
}

// finish ends a subrequest with its final reply. Once half of the subrequests have
// answers, the time since the start of the run determines when the pending subrequests
// become due for an extra send.
func (r *run) finish(sub *subrequest, reply *Reply) {
	sub.isDone = true
	r.collector.add(sub, reply)
	if reply.Outcome != fleet.Answered {
		return
	}
	r.answered++
	if r.answered != (len(r.subrequests)+1)/2 {
		return
	}
	half := time.Since(r.start)
	lateAt := r.start.Add(max(stragglerFactor*half, half+stragglerSlack))
	for i := range r.subrequests {
		other := &r.subrequests[i]
		if other.isDone || other.pending == 0 {
			continue
		}
		if at := lateAt.Add(other.lastTried().ExtraRoundTrip()); at.Before(other.nextSendAt) {
			other.nextSendAt = at
		}
	}
}
