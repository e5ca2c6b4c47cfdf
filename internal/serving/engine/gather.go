package engine

import (
	"context"
	"strings"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/internal/serving/records"
	"github.com/godwithatch/godwithatch/modules/fault"
)

// shardCollector collects the shard replies of a sharded request.
type shardCollector struct {
	req           *Request
	shardCounts   shardCounts
	replies       []*Reply
	anyMayHaveRun bool
	// lost has an entry of the form "outcome/denial" for each shard without a
	// successful reply: the outcome of the last send to that shard and the reason why
	// no extra send followed.
	lost []string
}

func (c *shardCollector) add(sub *subrequest, r *Reply) {
	c.shardCounts.pending--
	if r.Outcome == fleet.Answered && r.Signature != "" {
		c.shardCounts.arrived++
		c.replies = append(c.replies, r)
		return
	}
	c.anyMayHaveRun = c.anyMayHaveRun || r.mayHaveRun()
	c.lost = append(c.lost, r.Outcome.String()+"/"+sub.denied.String())
}

func (c *shardCollector) canSucceedWithout(count int) bool {
	return c.shardCounts.total-count >= c.shardCounts.required
}

func (c *shardCollector) decide(now time.Time) decision {
	return c.shardCounts.decide(now, c.req.Objective)
}

// gather sends a request to one server of every shard and merges the replies. It takes
// the shards from the route, so that all of them belong to one version of the
// configuration.
func (e *Engine) gather(ctx context.Context, req *Request) *Answer {
	shards := req.Route.Shards
	c := &shardCollector{req: req, shardCounts: shardCounts{required: req.Route.MinShards(), total: len(shards), pending: len(shards)}}
	run := e.newRun(ctx, req, c, shards)
	decision := run.execute(ctx)
	if decision == refuseUnsent {
		return run.overloadAnswer(req.Route.MinShards())
	}
	c.addPending(run)
	if decision == answerNow {
		return c.answer(run.sendRecords)
	}
	return c.failure(ctx, run)
}

// addPending adds to lost an entry "out/denial" for each shard whose subrequest has not
// ended, with the reason why no extra send followed.
func (c *shardCollector) addPending(run *run) {
	for i := range run.subrequests {
		if sub := &run.subrequests[i]; !sub.isDone {
			c.lost = append(c.lost, "out/"+sub.denied.String())
		}
	}
}

func (c *shardCollector) answer(sendRecords []SendRecord) *Answer {
	bodies := make([][]byte, len(c.replies))
	signatures := make([]string, len(c.replies))
	for i, r := range c.replies {
		bodies[i], signatures[i] = r.Body, r.Signature
	}
	return &Answer{
		Body:       records.Greatest(c.req.Route.TopRecords, bodies),
		Signatures: signatures,
		Missing:    len(c.req.Route.Shards) - len(c.replies),
		Lost:       c.lost,
		Sends:      sendRecords,
	}
}

// failure returns the answer to a request with too few shard replies. The outcome of
// its fault is fault.NotRun only if it is certain that no server ran the request.
func (c *shardCollector) failure(ctx context.Context, run *run) *Answer {
	kind := fault.Incomplete
	switch {
	case ctx.Err() != nil:
		kind = fault.Cancelled
	case !time.Now().Before(c.req.Deadline):
		kind = fault.DeadlineExceeded
	}
	mayHaveRun := c.anyMayHaveRun || c.shardCounts.arrived > 0
	for i := range run.subrequests {
		sub := &run.subrequests[i]
		mayHaveRun = mayHaveRun || sub.pending > 0 || sub.bestReply != nil && sub.bestReply.mayHaveRun()
	}
	outcome := fault.Unknown
	var retryAfter time.Duration
	if !mayHaveRun {
		outcome, retryAfter = fault.NotRun, run.refusedRetryAfter()
	}
	return &Answer{
		Fault: fault.New(kind, outcome, "%d of %d shards answered, %d required, lost: %s",
			c.shardCounts.arrived, len(c.req.Route.Shards), c.shardCounts.required, strings.Join(c.lost, " ")),
		Lost:       c.lost,
		RetryAfter: retryAfter,
		Sends:      run.sendRecords,
	}
}
