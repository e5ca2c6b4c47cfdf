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

// echo answers every request of a peer at once.
type echo struct{}

// OnExchange implements peer.Handler.
func (echo) OnExchange(_ context.Context, _ string, news peer.Exchange) peer.Exchange { return news }

// OnProbe implements peer.Handler.
func (echo) OnProbe(context.Context, membership.Member) error { return nil }

// OnForward implements peer.Handler.
func (echo) OnForward(_ context.Context, _ string, c upstream.Call) (*upstream.Answer, error) {
	return upstream.NewAnswer(c.Holding(), c.Payload()), nil
}

// OnConfiguration implements peer.Handler.
func (echo) OnConfiguration() []byte { return nil }

// OnKnowledge implements peer.Handler.
func (echo) OnKnowledge() peer.Exchange { return peer.Exchange{} }

// OnResult implements peer.Handler.
func (echo) OnResult(context.Context, string) ([]byte, error) { return nil, nil }

// OnClaim implements peer.Handler.
func (echo) OnClaim(context.Context, claim.Request) (claim.Reply, error) {
	return claim.Reply{}, nil
}

// connections measures real QUIC connections on loopback addresses, all ends in
// this process.
func connections() {
	dir, err := os.MkdirTemp("", "slopes-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	if err := harness.WriteKeys(dir, 128); err != nil {
		panic(err)
	}
	var memory, idle, exchange, call []point
	for _, n := range []int{8, 32, 64, 128} {
		before := heap()
		var members []membership.Member
		var transports []*peer.Transport
		for i := range n {
			id := harness.DaemonID(i)
			keys, err := peer.LoadCredentials(dir+"/ca.pem", dir+"/"+id+".pem", dir+"/"+id+".key")
			if err != nil {
				panic(err)
			}
			m := membership.Member{ID: id, Address: fmt.Sprintf("127.9.0.%d:8082", i+1)}
			t, err := peer.Listen(m.Address, keys)
			if err != nil {
				panic(err)
			}
			go t.Serve(echo{})
			members, transports = append(members, m), append(transports, t)
		}
		news := peer.Exchange{From: members[0]}
		for _, m := range members[1:] {
			if _, err := transports[0].Exchange(context.Background(), m, news); err != nil {
				panic(err)
			}
		}
		memory = append(memory, point{float64(n), heap() - before})
		cpu := processor()
		time.Sleep(3 * time.Second)
		idle = append(idle, point{float64(n), 1e6 * (processor() - cpu) / 3})
		const rounds = 2000
		cpu = processor()
		for i := range rounds {
			_, _ = transports[0].Exchange(context.Background(), members[1+i%(n-1)], news)
		}
		exchange = append(exchange, point{float64(n), 1e6 * (processor() - cpu) / rounds})
		c := upstream.NewCall("a", "r", upstream.Holding{Snapshot: 1, Shards: 59}, time.Now().Add(time.Minute), []byte(`{"day":"saturday"}`))
		cpu = processor()
		for i := range rounds {
			_, _ = transports[0].Forward(context.Background(), members[1+i%(n-1)], "s", c)
		}
		call = append(call, point{float64(n), 1e6 * (processor() - cpu) / rounds})
		for _, t := range transports {
			_ = t.Close()
		}
	}
	show("QUIC connection, memory of both ends", "bytes", "connection", memory)
	show("idle QUIC connections, processor time a second, both ends", "us", "connection", idle)
	show("one exchange, processor time, both ends", "us", "connection open", exchange)
	show("one sub-request through a hop, processor time, both ends", "us", "connection open", call)
}
