package measure

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/godwithatch/godwithatch/tests/standin/world"
)

func TestTrace(t *testing.T) {
	if os.Getenv("TRIAL") == "" {
		t.Skip("trial only")
	}
	synctest.Test(t, func(t *testing.T) {
		b, _ := deployments[0].start(policies[0].policy)
		b.Server("main", 0, 0).Restart()
		for range 14 {
			c := b.Counts()
			s := world.Summarise(b.load(0.7, time.Second))
			a := b.Counts()
			line := ""
			for i := range 8 {
				for _, tr := range b.Node(i).Daemon.Fleet().Trackers() {
					if tr.Upstream().ID() == "main-0-0" {
						line += fmt.Sprintf(" %d/%d:%d/%d", tr.Rank(), tr.Knowledge().Level, tr.Share(), tr.Latency().Milliseconds())
					}
				}
			}
			fmt.Println(s.Asked, s.Whole, s.P50, s.P99, "hops", a.Hops-c.Hops, "hedge", a.Hedges-c.Hedges, "probe", a.Probes-c.Probes, line)
		}
		b.end()
	})
}
