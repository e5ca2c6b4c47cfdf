package engine

import (
	"testing"
	"time"

	"github.com/godwithatch/godwithatch/internal/routing/catalog"
	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/modules/fault"
)

// A request fails while the subrequest to a shard waits for capacity for an extra send.
// If the earlier server of that shard broke the connection or reported a failure, it may
// have run the request, so the outcome must not be "not run".
func TestFailureIsUnknownIfAnyShardMayHaveRun(t *testing.T) {
	req := &Request{Route: &catalog.Route{Shards: []string{"a", "b"}, MinShardShare: 1}, Deadline: time.Now().Add(time.Hour)}
	for outcome, want := range map[fleet.Outcome]fault.Outcome{
		fleet.Broken: fault.Unknown, fleet.Failed: fault.Unknown, fleet.Refused: fault.NotRun, fleet.Unreachable: fault.NotRun,
	} {
		c := &shardCollector{req: req, shardCounts: shardCounts{required: 2, total: 2, pending: 1}}
		r := &run{subrequests: []subrequest{{bestReply: &Reply{Outcome: outcome}}, {isDone: true}}}
		if got := c.failure(t.Context(), r).Fault.Outcome(); got != want {
			t.Errorf("last reply %s: failure has outcome %s, want %s", outcome, got, want)
		}
	}
}
