package engine

import (
	"context"
	"strings"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/internal/serving/records"
	"github.com/godwithatch/godwithatch/modules/fault"
)

// gathering is the joiner of a sharded request.
type gathering struct {
	req    *Request
	tally  tally
	good   []*Reply
	hasRun bool
	// lost says of each part that will not come how its last send ended and why
	// no other followed.
	lost []string
}

func (g *gathering) add(a *ask, r *Reply) {
	g.tally.open--
	if r.Outcome == fleet.Answered && r.Signature != "" {
		g.tally.have++
		g.good = append(g.good, r)
		return
	}
	g.hasRun = g.hasRun || r.mayHaveRun()
	g.lost = append(g.lost, r.Outcome.String()+"/"+a.denied.String())
}

func (g *gathering) canSpare(asks int) bool { return g.tally.total-asks >= g.tally.need }

func (g *gathering) judge(now time.Time) verdict { return g.tally.judge(now, g.req.Objective) }

// gather asks one server of every shard and joins the parts. The set of shards is
// that of the route, which belongs to one version of the configuration.
func (e *Engine) gather(ctx context.Context, req *Request) *Answer {
	shards := req.Route.Shards
	g := &gathering{req: req, tally: tally{need: req.Route.MinShards(), total: len(shards), open: len(shards)}}
	run := e.newRun(ctx, req, g, shards)
	verdict := run.wait(ctx)
	if verdict == turnAway {
		return run.turnedAway(req.Route.MinShards())
	}
	g.noteOut(run)
	if verdict == answerNow {
		return g.answer(run.steps)
	}
	return g.failure(ctx, run)
}

// noteOut notes the parts whose reply is still out, and why no other send followed.
func (g *gathering) noteOut(run *run) {
	for i := range run.asks {
		if a := &run.asks[i]; !a.isDone {
			g.lost = append(g.lost, "out/"+a.denied.String())
		}
	}
}

func (g *gathering) answer(steps []Step) *Answer {
	bodies := make([][]byte, len(g.good))
	signatures := make([]string, len(g.good))
	for i, r := range g.good {
		bodies[i], signatures[i] = r.Body, r.Signature
	}
	return &Answer{
		Body:       records.Greatest(g.req.Route.TopRecords, bodies),
		Signatures: signatures,
		Missing:    len(g.req.Route.Shards) - len(g.good),
		Lost:       g.lost,
		Steps:      steps,
	}
}

// failure is the answer when too many parts are missing. Only a request of which
// no part may have run counts as not run.
func (g *gathering) failure(ctx context.Context, run *run) *Answer {
	kind := fault.Incomplete
	switch {
	case ctx.Err() != nil:
		kind = fault.Cancelled
	case !time.Now().Before(g.req.Deadline):
		kind = fault.DeadlineExceeded
	}
	mayHaveRun := g.hasRun || g.tally.have > 0
	for i := range run.asks {
		a := &run.asks[i]
		mayHaveRun = mayHaveRun || a.open > 0 || a.last != nil && a.last.mayHaveRun()
	}
	outcome := fault.Unknown
	var retryAfter time.Duration
	if !mayHaveRun {
		outcome, retryAfter = fault.NotRun, refusalPause
	}
	return &Answer{
		Fault: fault.New(kind, outcome, "%d of %d parts, %d needed, lost: %s",
			g.tally.have, len(g.req.Route.Shards), g.tally.need, strings.Join(g.lost, " ")),
		Lost:       g.lost,
		RetryAfter: retryAfter,
		Steps:      run.steps,
	}
}
