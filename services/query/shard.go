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
	// queueCheck is how long a request without a server waits at most before it
	// looks again; a server that gets room wakes it earlier, one whose pause is
	// over does not.
	queueCheck = 20 * time.Millisecond
	// refusalBackoff is the first pause after every server of a shard refused.
	refusalBackoff = 2 * time.Millisecond
	// maxBackoff bounds that pause.
	maxBackoff = 50 * time.Millisecond
	// maxAttempts bounds the attempts for one shard that may have run.
	maxAttempts = 6
	// resultBuffer holds the results of attempts that nobody waits for any more.
	resultBuffer = 2*maxAttempts + 2
)

type attemptResult struct {
	answer  *upstream.Answer
	err     error
	tracker *balance.Tracker
}

// shardRun asks the servers of one shard until one answers.
type shardRun struct {
	fan      *fanOut
	shard    int
	tried    []*balance.Tracker
	results  chan attemptResult
	open     int
	attempts int
	notHeld  int
	backoff  time.Duration
	lastErr  error
}

func (s *shardRun) run(ctx context.Context) (*upstream.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.results = make(chan attemptResult, resultBuffer)
	s.backoff = refusalBackoff
	load := s.fan.pool.Load()
	load.Deposit()
	if err := s.launch(ctx); err != nil {
		return nil, err
	}
	hedge := pause.NewAlarm(load.HedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case r := <-s.results:
			s.open--
			if r.err == nil {
				s.fan.crashed.succeeded()
				return r.answer, nil
			}
			if err := s.failed(ctx, r); err != nil {
				return nil, err
			}
		case <-hedge.C():
			s.hedge(ctx)
		case <-ctx.Done():
			return nil, s.expired(ctx)
		}
	}
}

// launch sends the request to a server, waiting for one that has room.
func (s *shardRun) launch(ctx context.Context) error {
	choice, err := s.choose(ctx)
	if err != nil {
		return err
	}
	s.start(ctx, choice)
	if s.fan.route.Idempotent() && s.attempts == 1 {
		s.probe(ctx, choice.Tracker())
	}
	return nil
}

// choose picks a server at once if no other request waits for the shard, and
// otherwise waits in the order of priority and arrival.
func (s *shardRun) choose(ctx context.Context) (balance.Choice, error) {
	queue := s.fan.snapshot.Queue(s.shard)
	if s.fan.warming {
		if choice, ok := s.fan.snapshot.ChooseLimited(s.shard, s.tried); ok {
			return choice, nil
		}
	}
	if queue.Len() == 0 {
		if choice, ok := s.fan.snapshot.Choose(s.shard, s.tried); ok {
			return choice, nil
		}
	}
	waiter := queue.Enter(s.fan.route.Priority())
	defer waiter.Leave()
	timer := pause.NewAlarm(queueCheck)
	defer timer.Stop()
	for {
		if choice, ok := s.chooseFirst(waiter); ok {
			return choice, nil
		}
		select {
		case <-waiter.Woken():
		case <-timer.C():
			timer.Reset(queueCheck)
		case <-ctx.Done():
			return balance.Choice{}, s.expired(ctx)
		}
	}
}

// chooseFirst picks a server if no other request is to be served earlier. Once
// every server was tried, all of them may be tried again.
func (s *shardRun) chooseFirst(waiter *balance.Waiter) (balance.Choice, bool) {
	if !waiter.IsFirst() {
		return balance.Choice{}, false
	}
	choice, ok := s.fan.snapshot.Choose(s.shard, s.tried)
	if !ok && len(s.tried) >= len(s.fan.snapshot.Replicas(s.shard)) {
		s.tried = s.tried[:0]
	}
	return choice, ok
}

func (s *shardRun) start(ctx context.Context, choice balance.Choice) {
	s.attempts++
	s.open++
	s.tried = append(s.tried, choice.Tracker())
	call := s.fan.call.WithShard(s.shard).WithAttempt(s.fan.engine.nextAttempt())
	results := s.results
	s.fan.unproven.Add(1)
	s.fan.attempts.Add(1)
	go func() {
		answer, err := s.fan.engine.attempt(ctx, choice, call)
		results <- attemptResult{answer, err, choice.Tracker()}
	}()
}

// probe sends a copy to a server that is due for a look. The copy runs on when
// the other answer comes first, since its end is what is asked for.
func (s *shardRun) probe(ctx context.Context, busy *balance.Tracker) {
	choice, ok := s.fan.snapshot.ChooseProbe(s.shard, busy)
	if !ok {
		return
	}
	s.fan.engine.counters.Probes.Add(1)
	s.start(context.WithoutCancel(ctx), choice)
}

// hedge sends a backup request to another server if the budget allows.
func (s *shardRun) hedge(ctx context.Context) {
	if !s.fan.route.Idempotent() || s.attempts >= maxAttempts || s.fan.crashed.isSuspect() {
		return
	}
	if len(s.tried) >= len(s.fan.snapshot.Replicas(s.shard)) || !s.fan.pool.Load().MayHedge() {
		return
	}
	choice, ok := s.fan.snapshot.Choose(s.shard, s.tried)
	if !ok {
		return
	}
	s.fan.engine.counters.Hedges.Add(1)
	s.start(ctx, choice)
}

// failed decides what follows a failed attempt: another one, waiting for those
// still open, or the end. It returns an error at the end only.
func (s *shardRun) failed(ctx context.Context, r attemptResult) error {
	s.lastErr = r.err
	f := fault.From(r.err)
	if isServerError(r.err) {
		s.fan.faulty.Add(1)
	}
	if f.Outcome() == fault.NotRun {
		s.fan.unproven.Add(-1)
		s.attempts--
		return s.refused(ctx, r)
	}
	if !s.fan.route.Idempotent() {
		return f
	}
	if f.Kind() == fault.ConnectionFailed {
		if err := s.fan.crashed.failed(ctx, r.tracker.Upstream().ID(), s.fan.pool.Load().HedgeDelay()); err != nil {
			return err
		}
	}
	return s.again(ctx, f)
}

// refused handles a proof that the attempt did not run.
func (s *shardRun) refused(ctx context.Context, r attemptResult) error {
	var refusal *upstream.Refusal
	if errors.As(r.err, &refusal) {
		switch refusal.Reason() {
		case upstream.ReasonSnapshotNotHeld:
			s.notHeld++
			if s.notHeld >= len(s.fan.snapshot.Replicas(s.shard)) {
				return &snapshotGoneError{s.fan.snapshot.Version(), fault.NotRun}
			}
		case upstream.ReasonExpired:
			return fault.New(fault.DeadlineExceeded, fault.NotRun, "no server could start shard %d in time", s.shard)
		}
	}
	return s.again(ctx, fault.From(r.err))
}

// again sends the request to another server, after a pause once all of them
// were tried.
func (s *shardRun) again(ctx context.Context, last *fault.Fault) error {
	if s.open > 0 {
		return nil
	}
	if s.attempts >= maxAttempts {
		return last
	}
	if len(s.tried) >= len(s.fan.snapshot.Replicas(s.shard)) {
		s.tried = s.tried[:0]
		if !pause.For(ctx, s.backoff) {
			return s.expired(ctx)
		}
		s.backoff = min(2*s.backoff, maxBackoff)
	}
	s.fan.engine.counters.Retries.Add(1)
	return s.launch(ctx)
}

// expired returns the fault for a shard whose time is over or whose query ended.
func (s *shardRun) expired(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.New(fault.Cancelled, fault.Unknown, "the query ended before shard %d answered", s.shard)
	}
	if s.lastErr != nil {
		return fault.Wrap(fault.DeadlineExceeded, fault.Unknown, s.lastErr, "shard %d gave no answer in time", s.shard)
	}
	return fault.New(fault.DeadlineExceeded, fault.Unknown, "shard %d gave no answer in time", s.shard)
}
