package engine

import (
	"testing"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/catalog"
	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/modules/fault"
)

// A part whose server broke off waits for room for a second send when the request
// is given up: it may have run.
func TestPartThatMayHaveRunIsNotDenied(t *testing.T) {
	req := &Request{Route: &catalog.Route{Shards: []string{"a", "b"}, MinShardShare: 1}, Deadline: time.Now().Add(time.Hour)}
	for outcome, want := range map[fleet.Outcome]fault.Outcome{
		fleet.Broken: fault.Unknown, fleet.Failed: fault.Unknown, fleet.Refused: fault.NotRun, fleet.Unreachable: fault.NotRun,
	} {
		g := &gathering{req: req, tally: tally{need: 2, total: 2, open: 1}}
		r := &run{asks: []ask{{last: &Reply{Outcome: outcome}}, {isDone: true}}}
		if got := g.failure(t.Context(), r).Fault.Outcome(); got != want {
			t.Errorf("last reply %s: %s, want %s", outcome, got, want)
		}
	}
}
