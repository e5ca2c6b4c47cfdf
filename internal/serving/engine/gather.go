package engine

import (
	"context"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/godwithatch/godwithatch/internal/routing/catalog"
	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/internal/serving/records"
	"github.com/godwithatch/godwithatch/modules/fault"
)

// part is the end of the ask of one shard.
type part struct {
	reply  *Reply
	sends  int
	denied Denial
}

// gathering is the state of one sharded request.
type gathering struct {
	req    *Request
	tally  tally
	good   []*Reply
	hasRun bool
	sends  int
	// lost are the ends of the parts that will not come.
	lost []part
}

// gather asks one server of every shard and joins the parts. The set of shards is
// that of the route, which belongs to one version of the configuration.
func (e *Engine) gather(ctx context.Context, req *Request) *Answer {
	shards := req.Route.Shards
	if up := e.shardsUp(req.Route); up < req.Route.MinShards() {
		return refused(fault.NoSnapshot, downPause, "%d of %d shards have a server, %d are needed", up, len(shards), req.Route.MinShards())
	}
	g := &gathering{req: req, tally: tally{need: req.Route.MinShards(), open: len(shards)}}
	asks, cancel := context.WithCancelCause(ctx)
	defer cancel(errAnswered)
	parts := make(chan part, len(shards))
	for _, service := range shards {
		a := e.newAsk(asks, req, service)
		go func() {
			r := a.run(asks)
			parts <- part{r, a.sends, a.denied}
		}()
	}
	return g.wait(ctx, parts)
}

// shardsUp returns how many shards have a server that is not taken to be down.
func (e *Engine) shardsUp(r *catalog.Route) int {
	return lo.CountBy(r.Shards, func(service string) bool {
		return e.fleet.Group(service).HasServer(fleet.Ask{Allows: r.AllowsRegion})
	})
}

// wait collects parts until the verdict says to answer or to give up.
func (g *gathering) wait(ctx context.Context, parts <-chan part) *Answer {
	objective := time.NewTimer(time.Until(g.req.Objective))
	defer objective.Stop()
	deadline := time.NewTimer(time.Until(g.req.Deadline))
	defer deadline.Stop()
	for {
		switch g.tally.judge(time.Now(), g.req.Objective) {
		case answerNow:
			return g.answer()
		case giveUp:
			return g.failure(fault.Incomplete)
		case keepWaiting:
		}
		select {
		case p := <-parts:
			g.add(p)
		case <-objective.C:
		case <-deadline.C:
			return g.failure(fault.DeadlineExceeded)
		case <-ctx.Done():
			return g.failure(fault.Cancelled)
		}
	}
}

func (g *gathering) add(p part) {
	g.tally.open--
	g.sends += p.sends
	g.hasRun = g.hasRun || p.reply.mayHaveRun()
	if p.reply.Outcome == fleet.Answered && p.reply.Signature != "" {
		g.tally.have++
		g.good = append(g.good, p.reply)
		return
	}
	g.tally.lost++
	g.lost = append(g.lost, p)
}

func (g *gathering) answer() *Answer {
	bodies := make([][]byte, len(g.good))
	signatures := make([]string, len(g.good))
	for i, r := range g.good {
		bodies[i], signatures[i] = r.Body, r.Signature
	}
	return &Answer{
		Body:       records.Greatest(g.req.Route.TopRecords, bodies),
		Signatures: signatures,
		Missing:    len(g.req.Route.Shards) - len(g.good),
		Sends:      g.sends,
	}
}

// failure is the answer when too many parts are missing. Only a request of which
// no part may have run counts as not run.
func (g *gathering) failure(kind fault.Kind) *Answer {
	t := g.tally
	outcome := fault.Unknown
	var retryAfter time.Duration
	if !g.hasRun && t.open == 0 {
		outcome, retryAfter = fault.NotRun, refusalPause
	}
	return &Answer{
		Fault:      fault.New(kind, outcome, "%d of %d parts, %d needed, lost: %s", t.have, t.have+t.lost+t.open, t.need, g.lostText()),
		RetryAfter: retryAfter,
		Sends:      g.sends,
	}
}

// lostText says for each lost part how its last send ended and why no other
// followed.
func (g *gathering) lostText() string {
	texts := make([]string, len(g.lost))
	for i, p := range g.lost {
		texts[i] = p.reply.Outcome.String() + "/" + p.denied.String()
	}
	return strings.Join(texts, " ")
}
