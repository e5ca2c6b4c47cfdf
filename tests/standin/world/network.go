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
	localOneWay = 200 * time.Microsecond
	// silence is how long the real transports wait before they give up a
	// connection that gives nothing.
	peerSilence   = 100 * time.Millisecond
	serverSilence = 250 * time.Millisecond
)

func (w *World) oneWay(a, b string) time.Duration {
	if a == b {
		return localOneWay
	}
	return w.Config.OneWay
}

// peers is the fake network between hosts.
type peers struct {
	w    *World
	self *Node
}

// reach carries a request to a host, or fails as the real transport does.
func (p *peers) reach(ctx context.Context, to membership.Member) (peer.Handler, error) {
	p.w.mu.Lock()
	n := p.w.nodes[to.ID]
	lost := n == nil || n.down.Load() || p.self.down.Load() || p.w.cuts[[2]string{p.self.ID, to.ID}]
	p.w.mu.Unlock()
	if lost {
		pause.For(ctx, peerSilence)
		return nil, fault.New(fault.PeerFailed, fault.Unknown, "host %q gave no answer", to.ID)
	}
	pause.For(ctx, p.w.oneWay(p.self.DC, n.DC))
	return n.Daemon.Handler(), ctx.Err()
}

// back carries the answer back; it is lost if the host has gone meanwhile.
func (p *peers) back(ctx context.Context, from string) error {
	p.w.mu.Lock()
	n := p.w.nodes[from]
	lost := n.down.Load() || p.self.down.Load() || p.w.cuts[[2]string{p.self.ID, from}]
	p.w.mu.Unlock()
	if lost {
		pause.For(ctx, peerSilence)
		return fault.New(fault.PeerFailed, fault.Unknown, "host %q gave no answer", from)
	}
	pause.For(ctx, p.w.oneWay(p.self.DC, n.DC))
	return nil
}

// Exchange implements daemon.Peers.
func (p *peers) Exchange(ctx context.Context, to membership.Member, news peer.Exchange) (peer.Exchange, error) {
	h, err := p.reach(ctx, to)
	if err != nil {
		return peer.Exchange{}, err
	}
	reply := h.OnExchange(ctx, p.self.ID, news)
	return reply, p.back(ctx, to.ID)
}

// Probe implements daemon.Peers.
func (p *peers) Probe(ctx context.Context, via, target membership.Member) error {
	h, err := p.reach(ctx, via)
	if err != nil {
		return err
	}
	if err := h.OnProbe(ctx, target); err != nil {
		return err
	}
	return p.back(ctx, via.ID)
}

// Forward implements daemon.Peers.
func (p *peers) Forward(ctx context.Context, to membership.Member, server string, call upstream.Call) (*upstream.Answer, error) {
	h, err := p.reach(ctx, to)
	if err != nil {
		return nil, err
	}
	answer, err := h.OnForward(ctx, server, call)
	if lost := p.back(ctx, to.ID); lost != nil {
		return nil, lost
	}
	return answer, err
}

// Configuration implements daemon.Peers.
func (p *peers) Configuration(ctx context.Context, from membership.Member) ([]byte, error) {
	h, err := p.reach(ctx, from)
	if err != nil {
		return nil, err
	}
	return h.OnConfiguration(), p.back(ctx, from.ID)
}

// Knowledge implements daemon.Peers.
func (p *peers) Knowledge(ctx context.Context, from membership.Member) (peer.Exchange, error) {
	h, err := p.reach(ctx, from)
	if err != nil {
		return peer.Exchange{}, err
	}
	return h.OnKnowledge(), p.back(ctx, from.ID)
}

// Result implements daemon.Peers.
func (p *peers) Result(ctx context.Context, from membership.Member, nonce string) ([]byte, error) {
	h, err := p.reach(ctx, from)
	if err != nil {
		return nil, err
	}
	document, err := h.OnResult(ctx, nonce)
	if lost := p.back(ctx, from.ID); lost != nil {
		return nil, lost
	}
	return document, err
}

// Claim implements daemon.Peers.
func (p *peers) Claim(ctx context.Context, owner membership.Member, req claim.Request) (claim.Reply, error) {
	h, err := p.reach(ctx, owner)
	if err != nil {
		return claim.Reply{}, err
	}
	reply, err := h.OnClaim(ctx, req)
	if lost := p.back(ctx, owner.ID); lost != nil {
		return claim.Reply{}, lost
	}
	return reply, err
}

// servers is the fake network between a host and the servers.
type servers struct {
	w    *World
	self *Node
}

// connect takes a kept connection, or makes a new one, and returns when it was
// made.
func (s *servers) connect(ctx context.Context, target *server, fresh bool) time.Time {
	target.mu.Lock()
	idle := target.idle[s.self.ID]
	if n := len(idle); n > 0 && !fresh {
		made := idle[n-1]
		target.idle[s.self.ID] = idle[:n-1]
		target.mu.Unlock()
		return made
	}
	target.mu.Unlock()
	pause.For(ctx, target.pool.Connect)
	return time.Now()
}

func (s *servers) keep(target *server, made time.Time) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.idle[s.self.ID] = append(target.idle[s.self.ID], made)
}

// Do implements upstream.Transport.
func (s *servers) Do(ctx context.Context, u *table.Upstream, call upstream.Call) (*upstream.Answer, error) {
	target := s.w.servers[u.ID()]
	ctx, cancel := context.WithDeadline(ctx, call.Deadline())
	defer cancel()
	made := s.connect(ctx, target, call.Key() != "")
	wire := s.w.oneWay(s.self.DC, target.dc)
	target.mu.Lock()
	silent := made.Before(target.silentAt)
	if silent {
		target.idle[s.self.ID] = nil
	}
	target.mu.Unlock()
	if silent {
		pause.For(ctx, serverSilence)
		return nil, fault.New(fault.ConnectionSilent, fault.Unknown, "%s gave nothing", u.ID())
	}
	pause.For(ctx, wire)
	if ctx.Err() != nil {
		return nil, ended(ctx, u)
	}
	results, state, err := target.Handle(ctx, call)
	if ctx.Err() != nil {
		return nil, ended(ctx, u)
	}
	pause.For(ctx, wire)
	if err != nil {
		return nil, err
	}
	s.keep(target, made)
	return upstream.NewAnswer(call.Holding(), results).WithState(state), nil
}

func ended(ctx context.Context, u *table.Upstream) error {
	kind := fault.Cancelled
	if ctx.Err() == context.DeadlineExceeded {
		kind = fault.DeadlineExceeded
	}
	return fault.New(kind, fault.Unknown, "the call to %s ended", u.ID())
}

// State implements upstream.Transport.
func (s *servers) State(ctx context.Context, u *table.Upstream) (upstream.State, error) {
	target := s.w.servers[u.ID()]
	pause.For(ctx, 2*s.w.oneWay(s.self.DC, target.dc))
	if target.IsDown() {
		return upstream.State{}, fault.New(fault.ConnectionFailed, fault.NotRun, "%s is down", u.ID())
	}
	return target.State(), nil
}
