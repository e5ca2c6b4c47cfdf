package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/godwithatch/godwithatch/services/claim"
	"github.com/godwithatch/godwithatch/services/membership"
	"github.com/godwithatch/godwithatch/services/peer"
	"github.com/godwithatch/godwithatch/services/upstream"
	"github.com/godwithatch/godwithatch/tests/harness"
)

// echoHandler answers each request of a peer immediately, either with the content of the
// request or with an empty value.
type echoHandler struct{}

// OnExchange implements peer.Handler.
func (echoHandler) OnExchange(_ context.Context, _ string, message peer.Exchange) peer.Exchange {
	return message
}

// OnProbe implements peer.Handler.
func (echoHandler) OnProbe(context.Context, membership.Member) error { return nil }

// OnForward implements peer.Handler.
func (echoHandler) OnForward(_ context.Context, _ string, c upstream.Call) (*upstream.Answer, error) {
	return upstream.NewAnswer(c.Holding(), c.Payload()), nil
}

// OnConfiguration implements peer.Handler.
func (echoHandler) OnConfiguration() []byte { return nil }

// OnKnowledge implements peer.Handler.
func (echoHandler) OnKnowledge() peer.Exchange { return peer.Exchange{} }

// OnResult implements peer.Handler.
func (echoHandler) OnResult(context.Context, string) ([]byte, error) { return nil, nil }

// OnClaim implements peer.Handler.
func (echoHandler) OnClaim(context.Context, claim.Request) (claim.Reply, error) {
	return claim.Reply{}, nil
}

// measureConnections measures real QUIC connections between loopback addresses. Both ends
// of each connection are in this process.
func measureConnections() {
	dir, err := os.MkdirTemp("", "slopes-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	if err := harness.WriteCredentials(dir, 128); err != nil {
		panic(err)
	}
	var memory, idle, exchange, forward []point
	for _, n := range []int{8, 32, 64, 128} {
		heapBefore := liveHeapBytes()
		var members []membership.Member
		var transports []*peer.Transport
		for i := range n {
			id := harness.DaemonID(i)
			keys, err := peer.LoadCredentials(dir+"/ca.pem", dir+"/"+id+".pem", dir+"/"+id+".key")
			if err != nil {
				panic(err)
			}
			member := membership.Member{ID: id, Address: fmt.Sprintf("127.9.0.%d:8082", i+1)}
			t, err := peer.Listen(member.Address, keys)
			if err != nil {
				panic(err)
			}
			go t.Serve(echoHandler{})
			members, transports = append(members, member), append(transports, t)
		}
		message := peer.Exchange{From: members[0]}
		for _, member := range members[1:] {
			if _, err := transports[0].Exchange(context.Background(), member, message); err != nil {
				panic(err)
			}
		}
		memory = append(memory, point{float64(n), liveHeapBytes() - heapBefore})
		cpuBefore := cpuSeconds()
		time.Sleep(3 * time.Second)
		idle = append(idle, point{float64(n), 1e6 * (cpuSeconds() - cpuBefore) / 3})
		const rounds = 2000
		cpuBefore = cpuSeconds()
		for i := range rounds {
			_, _ = transports[0].Exchange(context.Background(), members[1+i%(n-1)], message)
		}
		exchange = append(exchange, point{float64(n), 1e6 * (cpuSeconds() - cpuBefore) / rounds})
		c := upstream.NewCall("a", "r", upstream.Holding{Snapshot: 1, Shards: 59}, time.Now().Add(time.Minute), []byte(`{"day":"saturday"}`))
		cpuBefore = cpuSeconds()
		for i := range rounds {
			_, _ = transports[0].Forward(context.Background(), members[1+i%(n-1)], "s", c)
		}
		forward = append(forward, point{float64(n), 1e6 * (cpuSeconds() - cpuBefore) / rounds})
		for _, t := range transports {
			_ = t.Close()
		}
	}
	printRow("QUIC connection, memory of both ends", "bytes", "connection", memory)
	printRow("idle QUIC connections, processor time a second, both ends", "us", "connection", idle)
	printRow("one exchange, processor time, both ends", "us", "connection open", exchange)
	printRow("one sub-request through a hop, processor time, both ends", "us", "connection open", forward)
}
