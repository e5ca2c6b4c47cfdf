package query

import (
	"context"
	"errors"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/modules/pause"
	"github.com/godwithatch/godwithatch/services/balance"
	"github.com/godwithatch/godwithatch/services/upstream"
)

const (
	// queuePollInterval is the longest time that a queued request waits before it
	// tries again to choose a server. A server that gains capacity wakes the
	// request earlier, but the end of a server's backoff does not.
	queuePollInterval = 20 * time.Millisecond
	// initialRetryPause is the length of the first pause after all servers of a
	// shard have been tried without success.
	initialRetryPause = 2 * time.Millisecond
	// maxRetryPause is the longest pause after all servers of a shard have been tried.
	// Each pause is twice as long as the pause before it until this length is reached.
	maxRetryPause = 50 * time.Millisecond
	// maxAttempts is the largest number of attempts (calls to one server) for one
	// shard. An attempt that is proved not to have run does not count.
	maxAttempts = 6
	// resultBufferSize is the capacity of the results channel of a shardRun. It has
	// room for the results of attempts that are no longer awaited, so that these
	// attempts do not block.
	resultBufferSize = 2*maxAttempts + 2
)

type attemptResult struct {
	answer  *upstream.Answer
	err     error
	tracker *balance.Tracker
}

// shardRun sends a query to the servers of one shard until one answers.
type shardRun struct {
	fanOut          *fanOut
	shard           int
	tried           []*balance.Tracker
	results         chan attemptResult
	pending         int
	attempts        int
	notHeldRefusals int
	retryPause      time.Duration
	lastErr         error
}

func (s *shardRun) run(ctx context.Context) (*upstream.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.results = make(chan attemptResult, resultBufferSize)
	s.retryPause = initialRetryPause
	load := s.fanOut.pool.Load()
	load.Deposit()
	if err := s.send(ctx); err != nil {
		return nil, err
	}
	hedgeTimer := pause.NewTimer(load.HedgeDelay())
	defer hedgeTimer.Stop()
	for {
		select {
		case r := <-s.results:
			s.pending--
			if r.err == nil {
				s.fanOut.crashDetector.recordSuccess()
				if s.fanOut.route.IsIdempotent() && s.attempts == 1 {
					s.sendProbe(ctx, r.tracker)
				}
				return r.answer, nil
			}
			if err := s.handleFailure(ctx, r); err != nil {
				return nil, err
			}
		case <-hedgeTimer.C():
			s.sendHedge(ctx)
		case <-ctx.Done():
			return nil, s.contextFault(ctx)
		}
	}
}

// send waits, if necessary, for a server with capacity and starts an attempt on it.
func (s *shardRun) send(ctx context.Context) error {
	choice, err := s.chooseServer(ctx)
	if err != nil {
		return err
	}
	s.startAttempt(ctx, choice)
	return nil
}

// chooseServer picks a server immediately if a server has capacity and no other
// request waits for the shard. Otherwise the request waits in the shard's queue,
// which is ordered by priority and then by arrival.
func (s *shardRun) chooseServer(ctx context.Context) (balance.Choice, error) {
	queue := s.fanOut.snapshot.Queue(s.shard)
	if s.fanOut.isWarmup {
		if choice, ok := s.fanOut.snapshot.ChooseLimited(s.shard, s.tried); ok {
			return choice, nil
		}
	}
	if queue.Len() == 0 {
		if choice, ok := s.fanOut.snapshot.Choose(s.shard, s.tried); ok {
			return choice, nil
		}
	}
	waiter := queue.Enter(s.fanOut.route.Priority())
	defer waiter.Leave()
	timer := pause.NewTimer(queuePollInterval)
	defer timer.Stop()
	for {
		if choice, ok := s.chooseIfFirst(waiter); ok {
			return choice, nil
		}
		select {
		case <-waiter.Woken():
		case <-timer.C():
			timer.Reset(queuePollInterval)
		case <-ctx.Done():
			return balance.Choice{}, s.contextFault(ctx)
		}
	}
}

// chooseIfFirst picks a server if the request is first in the shard's queue. If it finds
// none and all servers of the shard have been tried, it clears the list of tried servers,
// so that the next call can choose any of them again.
func (s *shardRun) chooseIfFirst(waiter *balance.Waiter) (balance.Choice, bool) {
	if !waiter.IsFirst() {
		return balance.Choice{}, false
	}
	choice, ok := s.fanOut.snapshot.Choose(s.shard, s.tried)
	if !ok && len(s.tried) >= len(s.fanOut.snapshot.Replicas(s.shard)) {
		s.tried = s.tried[:0]
	}
	return choice, ok
}

func (s *shardRun) startAttempt(ctx context.Context, choice balance.Choice) {
	s.attempts++
	s.pending++
	s.tried = append(s.tried, choice.Tracker())
	call := s.fanOut.call.WithShard(s.shard).WithAttempt(s.fanOut.engine.nextAttemptID())
	results := s.results
	s.fanOut.possibleRuns.Add(1)
	s.fanOut.attempts.Add(1)
	go func() {
		answer, err := s.fanOut.engine.attempt(ctx, choice, call)
		results <- attemptResult{answer, err, choice.Tracker()}
	}()
}

// sendProbe sends a copy of the request to another server if that server is due
// for a probe: its request limit is still growing, or it is much slower than the
// others. The copy follows the answer of the first attempt, because a request that no
// server has answered may crash those that run it. It is not cancelled when the query
// ends, because its purpose is to measure the server.
func (s *shardRun) sendProbe(ctx context.Context, exclude *balance.Tracker) {
	choice, ok := s.fanOut.snapshot.ChooseProbe(s.shard, exclude)
	if !ok {
		return
	}
	s.fanOut.engine.counters.Probes.Add(1)
	s.startAttempt(context.WithoutCancel(ctx), choice)
}

// sendHedge sends a backup request to another server if the budget of extra sends
// allows it.
func (s *shardRun) sendHedge(ctx context.Context) {
	if !s.fanOut.route.IsIdempotent() || s.attempts >= maxAttempts || s.fanOut.crashDetector.isSuspect() {
		return
	}
	if len(s.tried) >= len(s.fanOut.snapshot.Replicas(s.shard)) || !s.fanOut.pool.Load().WithdrawExtraSend() {
		return
	}
	choice, ok := s.fanOut.snapshot.Choose(s.shard, s.tried)
	if !ok {
		return
	}
	s.fanOut.engine.counters.Hedges.Add(1)
	s.startAttempt(ctx, choice)
}

// handleFailure decides what follows a failed attempt: a retry, waiting for the
// pending attempts, or the failure of the shard. It returns an error only if the
// shard fails.
func (s *shardRun) handleFailure(ctx context.Context, r attemptResult) error {
	s.lastErr = r.err
	f := fault.From(r.err)
	if isServerError(r.err) {
		s.fanOut.serverErrors.Add(1)
	}
	if f.Outcome() == fault.NotRun {
		s.fanOut.possibleRuns.Add(-1)
		s.attempts--
		return s.handleNotRun(ctx, r)
	}
	if !s.fanOut.route.IsIdempotent() {
		return f
	}
	if f.Kind() == fault.ConnectionFailed {
		if err := s.fanOut.crashDetector.recordCrash(ctx, r.tracker.Upstream().ID(), s.fanOut.pool.Load().HedgeDelay()); err != nil {
			return err
		}
	}
	return s.retry(ctx, f)
}

// handleNotRun handles a failed attempt that is proved not to have run.
func (s *shardRun) handleNotRun(ctx context.Context, r attemptResult) error {
	var refusal *upstream.Refusal
	if errors.As(r.err, &refusal) {
		switch refusal.Reason() {
		case upstream.ReasonSnapshotNotHeld:
			s.notHeldRefusals++
			if s.notHeldRefusals >= len(s.fanOut.snapshot.Replicas(s.shard)) {
				return &snapshotGoneError{s.fanOut.snapshot.Version(), fault.NotRun}
			}
		case upstream.ReasonExpired:
			return fault.New(fault.DeadlineExceeded, fault.NotRun, "no server could start shard %d in time", s.shard)
		}
	}
	return s.retry(ctx, fault.From(r.err))
}

// retry sends the request to another server unless an attempt is still pending.
// If all servers of the shard have been tried, it first pauses.
func (s *shardRun) retry(ctx context.Context, lastFault *fault.Fault) error {
	if s.pending > 0 {
		return nil
	}
	if s.attempts >= maxAttempts {
		return lastFault
	}
	if len(s.tried) >= len(s.fanOut.snapshot.Replicas(s.shard)) {
		s.tried = s.tried[:0]
		if !pause.For(ctx, s.retryPause) {
			return s.contextFault(ctx)
		}
		s.retryPause = min(2*s.retryPause, maxRetryPause)
	}
	s.fanOut.engine.counters.Retries.Add(1)
	return s.send(ctx)
}

// contextFault returns the fault for a shard that has not answered when the
// deadline passes or the query ends.
func (s *shardRun) contextFault(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.New(fault.Cancelled, fault.Unknown, "the query ended before shard %d answered", s.shard)
	}
	if s.lastErr != nil {
		return fault.Wrap(fault.DeadlineExceeded, fault.Unknown, s.lastErr, "shard %d gave no answer in time", s.shard)
	}
	return fault.New(fault.DeadlineExceeded, fault.Unknown, "shard %d gave no answer in time", s.shard)
}
