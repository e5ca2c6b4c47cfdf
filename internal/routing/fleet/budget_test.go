package fleet

import (
	"fmt"
	"testing"

	"github.com/godwithatch/godwithatch/internal/routing/membership"
)

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
		peers := make([]Peer, c.hosts)
		for i := range peers {
			peers[i] = Peer{Name: fmt.Sprint("h", i), Region: "r0"}
		}
		fleets := make([]*Fleet, c.hosts)
		for i := range fleets {
			fleets[i] = New(Locality{Host: peers[i].Name, DataCentre: "z0", Region: "r0"})
			fleets[i].SetExtraSendLimit(c.ratio, c.slack)
			fleets[i].Update([]membership.Entry{newEntry("near", "z0", "r0")})
			fleets[i].SetPeers(peers)
		}
		extra := 0
		for n := range c.requests {
			g := fleets[n%c.hosts].Group("s")
			g.Deposit()
			if g.WithdrawExtraSend() {
				extra++
			}
		}
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

// All hosts are killed at once, in the middle of the window, while every request of every
// host wants an extra send.
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
		peers := make([]Peer, c.hosts)
		for i := range peers {
			peers[i] = Peer{Name: fmt.Sprint("h", i), Region: "r0"}
		}
		extra := 0
		fleets := make([]*Fleet, c.hosts)
		for start := range 3 {
			for i := range fleets {
				fleets[i] = New(Locality{Host: peers[i].Name, DataCentre: "z0", Region: "r0"})
				fleets[i].SetExtraSendLimit(ratio, c.slack)
				fleets[i].SetRestarted(start > 0)
				fleets[i].Update([]membership.Entry{newEntry("near", "z0", "r0")})
				fleets[i].SetPeers(peers)
			}
			for n := range c.requests / 3 {
				g := fleets[n%c.hosts].Group("s")
				g.Deposit()
				if g.WithdrawExtraSend() {
					extra++
				}
			}
		}
		if bound := ratio*float64(c.requests) + c.slack; float64(extra) > bound {
			t.Errorf("%d hosts made %d extra sends for %d requests and two restarts, the bound is %.0f", c.hosts, extra, c.requests, bound)
		}
	}
}
