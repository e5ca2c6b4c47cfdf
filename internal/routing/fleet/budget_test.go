package fleet

import (
	"fmt"
	"testing"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
)

// startFleets returns the fleets of several hosts that know each other, with one server.
func startFleets(hosts int, ratio, slack float64, isRestarted bool) []*Fleet {
	peers := make([]Peer, hosts)
	for i := range peers {
		peers[i] = Peer{Name: fmt.Sprint("h", i), Region: "r0"}
	}
	fleets := make([]*Fleet, hosts)
	for i := range fleets {
		fleets[i] = New(Locality{Host: peers[i].Name, DataCentre: "z0", Region: "r0"})
		fleets[i].SetExtraSendLimit(ratio, slack)
		fleets[i].SetRestarted(isRestarted)
		fleets[i].Update([]membership.Entry{newEntry("near", "z0", "r0")})
		fleets[i].SetPeers(peers)
	}
	return fleets
}

// countExtraSends lets each of count requests, which reach the hosts in turn, make an extra
// send if its host allows one. It returns the number of extra sends.
func countExtraSends(fleets []*Fleet, count int) int {
	extra := 0
	for n := range count {
		g := fleets[n%len(fleets)].Group("s")
		g.Deposit()
		if g.WithdrawExtraSend() {
			extra++
		}
	}
	return extra
}

// All servers of a service refuse everything, so that every request of every host wants an
// extra send. The hosts do not know of each other's, and together they must stay within the
// bound of the deployment: a share of the requests in ten seconds and the slack.
func TestExtraSendsOfAllHostsStayWithinBound(t *testing.T) {
	for _, c := range []struct {
		hosts, requests int
		ratio, slack    float64
	}{
		{hosts: 6, requests: 1800, ratio: 0.2, slack: 52},
		{hosts: 8, requests: 1800, ratio: 0.2, slack: 56},
		{hosts: 8, requests: 1800, ratio: 0.05, slack: 10},
		{hosts: 80, requests: 1120, ratio: 0.2, slack: 200},
		{hosts: 295, requests: 960, ratio: 0.2, slack: 630},
	} {
		fleets := startFleets(c.hosts, c.ratio, c.slack, false)
		extra := countExtraSends(fleets, c.requests)
		if bound := c.ratio*float64(c.requests) + c.slack; float64(extra) > bound {
			t.Errorf("%d hosts made %d extra sends for %d requests, the bound is %.0f", c.hosts, extra, c.requests, bound)
		}
		for _, f := range fleets {
			if g := f.Group("later"); g.extraSends.Tokens() < 1 {
				t.Fatalf("a host of %d may make no extra send", c.hosts)
			}
		}
	}
}

// All hosts are killed at once, twice in the window, while every request of every host wants
// an extra send.
func TestRestartsAddNoExtraSends(t *testing.T) {
	const ratio = 0.2
	for _, c := range []struct {
		hosts, requests int
		slack           float64
	}{
		{hosts: 8, requests: 450, slack: 56},
		{hosts: 80, requests: 1120, slack: 200},
		{hosts: 295, requests: 960, slack: 630},
	} {
		extra := 0
		for start := range 3 {
			extra += countExtraSends(startFleets(c.hosts, ratio, c.slack, start > 0), c.requests/3)
		}
		if bound := ratio*float64(c.requests) + c.slack; float64(extra) > bound {
			t.Errorf("%d hosts made %d extra sends for %d requests and two restarts, the bound is %.0f", c.hosts, extra, c.requests, bound)
		}
	}
}
