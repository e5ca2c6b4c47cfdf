package world

import (
	"context"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/modules/pause"
	"github.com/godwithatch/godwithatch/services/claim"
	"github.com/godwithatch/godwithatch/services/membership"
	"github.com/godwithatch/godwithatch/services/peer"
	"github.com/godwithatch/godwithatch/services/table"
	"github.com/godwithatch/godwithatch/services/upstream"
)

const (
	// localOneWay is the network latency in one direction within a data centre.
	localOneWay = 200 * time.Microsecond
	// The silence timeouts are the times after which the real transports close a
	// connection that has stopped delivering data.
	peerSilenceTimeout   = 100 * time.Millisecond
	serverSilenceTimeout = 250 * time.Millisecond
)

// oneWay returns the network latency in one direction between two data centres.
func (w *World) oneWay(a, b string) time.Duration {
	if a == b {
		return localOneWay
	}
	return w.Config.OneWayLatency
}

// peerNetwork is the fake network from one host to the others. It implements
// daemon.Peers.
type peerNetwork struct {
	w    *World
	self *Host
}

// sendRequest waits for the network latency to a host and returns the handler of that
// host. If the host cannot be reached, it waits for peerSilenceTimeout and returns an
// error, as the real transport does.
func (p *peerNetwork) sendRequest(ctx context.Context, to membership.Member) (peer.Handler, error) {
	p.w.mu.Lock()
	host := p.w.hosts[to.ID]
	lost := host == nil || host.down.Load() || p.self.down.Load() || p.w.partitions[[2]string{p.self.ID, to.ID}]
	p.w.mu.Unlock()
	if lost {
		pause.For(ctx, peerSilenceTimeout)
		return nil, fault.New(fault.PeerFailed, fault.Unknown, "host %q gave no answer", to.ID)
	}
	pause.For(ctx, p.w.oneWay(p.self.DataCentre, host.DataCentre))
	return host.Daemon.Handler(), ctx.Err()
}

// awaitReply waits for the network latency from a host. If since sendRequest either host
// has stopped or the network between the two has gone down, the reply is lost and
// awaitReply returns an error.
func (p *peerNetwork) awaitReply(ctx context.Context, from string) error {
	p.w.mu.Lock()
	host := p.w.hosts[from]
	lost := host.down.Load() || p.self.down.Load() || p.w.partitions[[2]string{p.self.ID, from}]
	p.w.mu.Unlock()
	if lost {
		pause.For(ctx, peerSilenceTimeout)
		return fault.New(fault.PeerFailed, fault.Unknown, "host %q gave no answer", from)
	}
	pause.For(ctx, p.w.oneWay(p.self.DataCentre, host.DataCentre))
	return nil
}

// Exchange implements daemon.Peers.
func (p *peerNetwork) Exchange(ctx context.Context, to membership.Member, news peer.Exchange) (peer.Exchange, error) {
	h, err := p.sendRequest(ctx, to)
	if err != nil {
		return peer.Exchange{}, err
	}
	reply := h.OnExchange(ctx, p.self.ID, news)
	return reply, p.awaitReply(ctx, to.ID)
}

// Probe implements daemon.Peers.
func (p *peerNetwork) Probe(ctx context.Context, via, target membership.Member) error {
	h, err := p.sendRequest(ctx, via)
	if err != nil {
		return err
	}
	if err := h.OnProbe(ctx, target); err != nil {
		return err
	}
	return p.awaitReply(ctx, via.ID)
}

// Forward implements daemon.Peers.
func (p *peerNetwork) Forward(ctx context.Context, to membership.Member, server string, call upstream.Call) (*upstream.Answer, error) {
	h, err := p.sendRequest(ctx, to)
	if err != nil {
		return nil, err
	}
	answer, err := h.OnForward(ctx, server, call)
	if lost := p.awaitReply(ctx, to.ID); lost != nil {
		return nil, lost
	}
	return answer, err
}

// Configuration implements daemon.Peers.
func (p *peerNetwork) Configuration(ctx context.Context, from membership.Member) ([]byte, error) {
	h, err := p.sendRequest(ctx, from)
	if err != nil {
		return nil, err
	}
	return h.OnConfiguration(), p.awaitReply(ctx, from.ID)
}

// Knowledge implements daemon.Peers.
func (p *peerNetwork) Knowledge(ctx context.Context, from membership.Member) (peer.Exchange, error) {
	h, err := p.sendRequest(ctx, from)
	if err != nil {
		return peer.Exchange{}, err
	}
	return h.OnKnowledge(), p.awaitReply(ctx, from.ID)
}

// Result implements daemon.Peers.
func (p *peerNetwork) Result(ctx context.Context, from membership.Member, nonce string) ([]byte, error) {
	h, err := p.sendRequest(ctx, from)
	if err != nil {
		return nil, err
	}
	document, err := h.OnResult(ctx, nonce)
	if lost := p.awaitReply(ctx, from.ID); lost != nil {
		return nil, lost
	}
	return document, err
}

// Claim implements daemon.Peers.
func (p *peerNetwork) Claim(ctx context.Context, owner membership.Member, req claim.Request) (claim.Reply, error) {
	h, err := p.sendRequest(ctx, owner)
	if err != nil {
		return claim.Reply{}, err
	}
	reply, err := h.OnClaim(ctx, req)
	if lost := p.awaitReply(ctx, owner.ID); lost != nil {
		return claim.Reply{}, lost
	}
	return reply, err
}

// serverNetwork is the fake network from one host to the servers. It implements
// upstream.Transport.
type serverNetwork struct {
	w    *World
	self *Host
}

// connect takes the most recently used idle connection, or opens a new one if there is
// none or requireNew is set. It returns the time at which the connection was opened.
func (s *serverNetwork) connect(ctx context.Context, target *server, requireNew bool) time.Time {
	target.mu.Lock()
	idle := target.idleConns[s.self.ID]
	if n := len(idle); n > 0 && !requireNew {
		connectedAt := idle[n-1]
		target.idleConns[s.self.ID] = idle[:n-1]
		target.mu.Unlock()
		return connectedAt
	}
	target.mu.Unlock()
	pause.For(ctx, target.pool.ConnectTime)
	return time.Now()
}

// putIdle adds a connection to the host's idle connections.
func (s *serverNetwork) putIdle(target *server, connectedAt time.Time) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.idleConns[s.self.ID] = append(target.idleConns[s.self.ID], connectedAt)
}

// Do implements upstream.Transport.
func (s *serverNetwork) Do(ctx context.Context, u *table.Upstream, call upstream.Call) (*upstream.Answer, error) {
	target := s.w.servers[u.ID()]
	ctx, cancel := context.WithDeadline(ctx, call.Deadline())
	defer cancel()
	connectedAt := s.connect(ctx, target, call.Key() != "")
	latency := s.w.oneWay(s.self.DataCentre, target.dataCentre)
	target.mu.Lock()
	silent := connectedAt.Before(target.silentSince)
	if silent {
		target.idleConns[s.self.ID] = nil
	}
	target.mu.Unlock()
	if silent {
		pause.For(ctx, serverSilenceTimeout)
		return nil, fault.New(fault.ConnectionSilent, fault.Unknown, "%s delivered no data on an open connection", u.ID())
	}
	pause.For(ctx, latency)
	if ctx.Err() != nil {
		return nil, callEndedError(ctx, u)
	}
	results, state, err := target.Handle(ctx, call)
	if ctx.Err() != nil {
		return nil, callEndedError(ctx, u)
	}
	pause.For(ctx, latency)
	if err != nil {
		return nil, err
	}
	s.putIdle(target, connectedAt)
	return upstream.NewAnswer(call.Holding(), results).WithState(state), nil
}

// callEndedError returns the fault for a call that was cancelled or whose deadline has
// passed.
func callEndedError(ctx context.Context, u *table.Upstream) error {
	kind := fault.Cancelled
	if ctx.Err() == context.DeadlineExceeded {
		kind = fault.DeadlineExceeded
	}
	return fault.New(kind, fault.Unknown, "the call to %s ended", u.ID())
}

// State implements upstream.Transport.
func (s *serverNetwork) State(ctx context.Context, u *table.Upstream) (upstream.State, error) {
	target := s.w.servers[u.ID()]
	pause.For(ctx, 2*s.w.oneWay(s.self.DataCentre, target.dataCentre))
	if target.IsDown() {
		return upstream.State{}, fault.New(fault.ConnectionFailed, fault.NotRun, "%s is down", u.ID())
	}
	return target.State(), nil
}
