package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/godwithatch/godwithatch/services/claim"
	"github.com/godwithatch/godwithatch/services/membership"
	"github.com/godwithatch/godwithatch/services/move"
	"github.com/godwithatch/godwithatch/services/peer"
	"github.com/godwithatch/godwithatch/services/query"
	"github.com/godwithatch/godwithatch/services/table"
	"github.com/godwithatch/godwithatch/tests/standin/objects"
)

// gossip joins memberships in one process and counts what they would send.
type gossip struct {
	mu      sync.Mutex
	members map[string]*membership.Membership
	bytes   atomic.Int64
	probes  atomic.Int64
}

type gossiper struct {
	*gossip
	id string
}

// Probe implements membership.Prober.
func (g *gossiper) Probe(_ context.Context, target membership.Member) error {
	g.mu.Lock()
	self, other := g.members[g.id], g.members[target.ID]
	g.mu.Unlock()
	if other == nil {
		return context.DeadlineExceeded
	}
	g.probes.Add(1)
	news := peer.Exchange{From: self.Self(), Members: self.TakeUpdates(), Generation: 1}
	reply := peer.Exchange{From: other.Self(), Members: other.TakeUpdates(), Generation: 1}
	g.bytes.Add(int64(encoded(news) + encoded(reply)))
	other.HandleMessage(news.From, news.Members)
	self.HandleMessage(reply.From, reply.Members)
	return nil
}

// ProbeVia implements membership.Prober.
func (g *gossiper) ProbeVia(context.Context, membership.Member, membership.Member) error {
	return context.DeadlineExceeded
}

// processor returns the seconds of processor time that this process has used.
func processor() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

func members() {
	var cost, size, memory, spread []point
	for _, n := range []int{8, 32, 128, 512} {
		g := &gossip{members: map[string]*membership.Membership{}}
		var seeds []membership.Member
		for i := range n {
			seeds = append(seeds, membership.Member{ID: fmt.Sprintf("host-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250), DataCentre: fmt.Sprint("dc-", i%7)})
		}
		before := heap()
		var list []*membership.Membership
		for i := range n {
			m := membership.New(seeds[i], &gossiper{g, seeds[i].ID}, membership.Options{Heartbeat: time.Second})
			list = append(list, m)
			g.members[seeds[i].ID] = m
		}
		for _, m := range list {
			for _, s := range seeds {
				m.Merge([]membership.Member{s})
			}
			for range 2000 {
				m.TakeUpdates()
			}
		}
		memory = append(memory, point{float64(n), (heap() - before) / float64(n)})
		round := func() {
			for _, m := range list {
				m.Tick(context.Background())
			}
			time.Sleep(50 * time.Millisecond)
		}
		const rounds = 10
		cpu, start := processor(), g.bytes.Load()
		for range rounds {
			round()
		}
		cost = append(cost, point{float64(n), 1e6 * (processor() - cpu) / rounds / float64(n)})
		size = append(size, point{float64(n), float64(g.bytes.Load()-start) / rounds / float64(n)})
		leaver := list[n-1]
		leaver.Leave()
		needed := 0.0
		for ; needed < 60; needed++ {
			knowing := 0
			for _, m := range list {
				if x, ok := m.Find(leaver.Self().ID); ok && x.State == membership.Leaving {
					knowing++
				}
			}
			if knowing == n-1 {
				break
			}
			round()
		}
		spread = append(spread, point{float64(n), needed})
	}
	show("heartbeat, processor time a host", "us", "host", cost)
	show("heartbeat, bytes out and in a host", "bytes", "host", size)
	show("membership, memory a host", "bytes", "host", memory)
	show("spreading of one change by heartbeats alone", "heartbeats", "host", spread)
}

func moves() {
	var cost, size []point
	for _, hosts := range []int{8, 32, 128, 512, 950} {
		c := movingTables()
		var ids []string
		for i := range hosts {
			ids = append(ids, fmt.Sprintf("host-%04d", i))
		}
		m := move.NewMover(move.Options{Host: ids[0], Incarnation: 1, Hosts: func() []string { return ids }, Health: func(string) move.PoolHealth { return move.PoolHealth{Complete: true, Warm: true} }})
		m.Tick(time.Now(), c)
		var all []move.Evidence
		for _, id := range ids {
			all = append(all, move.Evidence{Host: id, Incarnation: 1, Move: "m", Route: "r", OldPool: move.Counts{Queries: 1000, Attempts: 59000, LatencySamples: 1000, LogSum: 1 << 24, LogSquares: 1 << 38}})
		}
		m.MergeEvidence(all)
		cost = append(cost, point{float64(hosts), 1e6 * timed(50, func() { m.MergeEvidence(all); m.Tick(time.Now(), c) })})
		size = append(size, point{float64(hosts), encoded(all)})
	}
	show("judge of one move on one route: one round of evidence", "us", "host", cost)
	show("judge of one move on one route: bytes in a round", "bytes", "host", size)
}

func movingTables() *table.Tables {
	pool := func(name, server string) string {
		return fmt.Sprintf(`{"name":%q,"slots":3,"connections":30,"upstreams":[{"id":%q,"address":"10.0.0.1:1","data_centre":"d"}]}`, name, server)
	}
	pools := fmt.Sprintf(`{"pools":[%s,%s],"moves":[{"id":"m","from":"a","to":"b","start":"2026-01-01T00:00:00Z","deadline":"2099-01-01T00:00:00Z"}]}`, pool("a", "x"), pool("b", "y"))
	t, problems := table.Join([]byte(`{"routes":[{"name":"r","pool":"a","idempotent":true}]}`), []byte(pools))
	if len(problems) > 0 {
		panic(problems)
	}
	return t
}

type noPeers struct{}

// Claim implements claim.Peers.
func (noPeers) Claim(context.Context, string, claim.Request) (claim.Reply, error) {
	return claim.Reply{}, nil
}

// Result implements claim.Peers.
func (noPeers) Result(context.Context, string, string) (*query.Result, error) { return nil, nil }

func claims() {
	var writes, size []point
	for _, n := range []int{100, 400, 1600} {
		store := objects.New()
		s := claim.NewService(claim.Options{Self: "h", Incarnation: "1", Store: store, Peers: noPeers{}, Buckets: 16, Owner: func(int) string { return "h" }})
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / time.Duration(n))
				if held, err := s.Claim(context.Background(), fmt.Sprint("key-", i), 1); err == nil {
					held.MarkUnknown()
				}
			})
		}
		wg.Wait()
		_, w := store.Calls()
		writes = append(writes, point{float64(n), float64(w)})
		list, _ := store.List(context.Background(), "claims/")
		total := 0.0
		for _, o := range list {
			total += float64(len(o.Value()))
		}
		size = append(size, point{float64(n), total})
	}
	show("claims in one second, writes to the store", "writes", "claim", writes)
	show("claims, bytes in the store", "bytes", "claim", size)
}
