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

// memoryNetwork connects the memberships of all hosts within this process, and counts the
// bytes that the hosts would send over a network.
type memoryNetwork struct {
	mu      sync.Mutex
	members map[string]*membership.Membership
	bytes   atomic.Int64
	probes  atomic.Int64
}

// networkProber sends the probes of the host with the given id over a memoryNetwork.
type networkProber struct {
	*memoryNetwork
	id string
}

// Probe implements membership.Prober.
func (g *networkProber) Probe(_ context.Context, target membership.Member) error {
	g.mu.Lock()
	self, other := g.members[g.id], g.members[target.ID]
	g.mu.Unlock()
	if other == nil {
		return context.DeadlineExceeded
	}
	g.probes.Add(1)
	message := peer.Exchange{From: self.Self(), Members: self.TakeUpdates(), Generation: 1}
	reply := peer.Exchange{From: other.Self(), Members: other.TakeUpdates(), Generation: 1}
	g.bytes.Add(int64(encodedSize(message) + encodedSize(reply)))
	other.HandleMessage(message.From, message.Members)
	self.HandleMessage(reply.From, reply.Members)
	return nil
}

// ProbeVia implements membership.Prober.
func (g *networkProber) ProbeVia(context.Context, membership.Member, membership.Member) error {
	return context.DeadlineExceeded
}

// cpuSeconds returns the processor time that this process has used, in seconds.
func cpuSeconds() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

func measureMembership() {
	var cost, size, memory, spreading []point
	for _, n := range []int{8, 32, 128, 512} {
		g := &memoryNetwork{members: map[string]*membership.Membership{}}
		var seeds []membership.Member
		for i := range n {
			seeds = append(seeds, membership.Member{ID: fmt.Sprintf("host-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250), DataCentre: fmt.Sprint("dc-", i%7)})
		}
		heapBefore := liveHeapBytes()
		var list []*membership.Membership
		for i := range n {
			m := membership.New(seeds[i], &networkProber{g, seeds[i].ID}, membership.Options{Heartbeat: time.Second})
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
		memory = append(memory, point{float64(n), (liveHeapBytes() - heapBefore) / float64(n)})
		heartbeat := func() {
			for _, m := range list {
				m.Tick(context.Background())
			}
			time.Sleep(50 * time.Millisecond)
		}
		const heartbeatCount = 10
		cpuBefore, bytesBefore := cpuSeconds(), g.bytes.Load()
		for range heartbeatCount {
			heartbeat()
		}
		cost = append(cost, point{float64(n), 1e6 * (cpuSeconds() - cpuBefore) / heartbeatCount / float64(n)})
		size = append(size, point{float64(n), float64(g.bytes.Load()-bytesBefore) / heartbeatCount / float64(n)})
		leaver := list[n-1]
		leaver.Leave()
		heartbeats := 0.0
		for ; heartbeats < 60; heartbeats++ {
			informed := 0
			for _, m := range list {
				if x, ok := m.Find(leaver.Self().ID); ok && x.State == membership.Leaving {
					informed++
				}
			}
			if informed == n-1 {
				break
			}
			heartbeat()
		}
		spreading = append(spreading, point{float64(n), heartbeats})
	}
	printRow("heartbeat, processor time a host", "us", "host", cost)
	printRow("heartbeat, bytes out and in a host", "bytes", "host", size)
	printRow("membership, memory a host", "bytes", "host", memory)
	printRow("spreading of one change by heartbeats alone", "heartbeats", "host", spreading)
}

func measureMoves() {
	var cost, size []point
	for _, hosts := range []int{8, 32, 128, 512, 950} {
		c := tablesWithMove()
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
		cost = append(cost, point{float64(hosts), 1e6 * secondsPerCall(50, func() { m.MergeEvidence(all); m.Tick(time.Now(), c) })})
		size = append(size, point{float64(hosts), encodedSize(all)})
	}
	printRow("judge of one move on one route: one round of evidence", "us", "host", cost)
	printRow("judge of one move on one route: bytes in a round", "bytes", "host", size)
}

// tablesWithMove returns tables with one route and a move of its pool.
func tablesWithMove() *table.Tables {
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

// noPeers answers each request to a peer with an empty value.
type noPeers struct{}

// Claim implements claim.Peers.
func (noPeers) Claim(context.Context, string, claim.Request) (claim.Reply, error) {
	return claim.Reply{}, nil
}

// Result implements claim.Peers.
func (noPeers) Result(context.Context, string, string) (*query.Result, error) { return nil, nil }

func measureClaims() {
	var writes, size []point
	for _, n := range []int{100, 400, 1600} {
		store := objects.New()
		s := claim.NewService(claim.Options{Self: "h", Incarnation: "1", Store: store, Peers: noPeers{}, Buckets: 16, Owner: func(int) string { return "h" }})
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / time.Duration(n))
				if attempt, err := s.Claim(context.Background(), fmt.Sprint("key-", i), 1); err == nil {
					attempt.MarkUnknown()
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
	printRow("claims in one second, writes to the store", "writes", "claim", writes)
	printRow("claims, bytes in the store", "bytes", "claim", size)
}
