package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/modules/rendezvous"
	"github.com/godwithatch/godwithatch/services/claim"
	"github.com/godwithatch/godwithatch/services/membership"
	"github.com/godwithatch/godwithatch/services/peer"
	"github.com/godwithatch/godwithatch/services/query"
	"github.com/godwithatch/godwithatch/services/upstream"
)

const (
	maxKnowledge = 64
	maxSuspects  = 32
	// fetchTimeout bounds the transfer of a configuration between hosts.
	fetchTimeout = 5 * time.Second
)

// prober reaches other hosts for the membership.
type prober struct{ d *Daemon }

// Probe implements membership.Prober.
func (p prober) Probe(ctx context.Context, target membership.Member) error {
	return p.d.exchange(ctx, target)
}

// ProbeVia implements membership.Prober.
func (p prober) ProbeVia(ctx context.Context, via, target membership.Member) error {
	return p.d.peers.Probe(ctx, via, target)
}

// forwarder passes calls to other hosts for the engine.
type forwarder struct{ d *Daemon }

// Forward implements query.Forwarder.
func (f forwarder) Forward(ctx context.Context, host, server string, call upstream.Call) (*upstream.Answer, error) {
	m, ok := f.d.members.Find(host)
	if !ok {
		return nil, fault.New(fault.PeerFailed, fault.NotRun, "host %q is not known", host)
	}
	answer, err := f.d.peers.Forward(ctx, m, server, call)
	if fault.Is(err, fault.PeerFailed) && ctx.Err() == nil {
		f.d.members.MarkUnreachable(host)
	}
	return answer, err
}

// news returns what this host tells a peer.
func (d *Daemon) news() peer.Exchange {
	hosts := len(d.members.Live().Load())
	return peer.Exchange{
		From:       d.members.Self(),
		Members:    d.members.TakeUpdates(),
		Generation: d.keeper.Generation(),
		Knowledge:  d.knowledge.Take(maxKnowledge, hosts),
		Suspects:   d.suspects.Take(maxSuspects, hosts),
		Progress:   d.progress.Take(maxSuspects, hosts),
	}
}

// exchange gives news to a peer and takes in its own.
func (d *Daemon) exchange(ctx context.Context, to membership.Member) error {
	reply, err := d.peers.Exchange(ctx, to, d.news())
	if err == nil {
		d.learn(reply)
	}
	return err
}

// catchUp takes in all that a peer knows, once after the start and after each
// pause.
func (d *Daemon) catchUp(from membership.Member) {
	pauses := d.members.Pauses() + 1
	if d.caughtUp.Load() == pauses || d.catching.Swap(true) {
		return
	}
	go func() {
		defer d.catching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		all, err := d.peers.Knowledge(ctx, from)
		if err != nil {
			return
		}
		d.caughtUp.Store(pauses)
		d.learn(all)
		if all.HasMoveProgress {
			d.mover.MarkLoaded()
		}
	}()
}

// learn takes in the news of a peer.
func (d *Daemon) learn(news peer.Exchange) {
	if news.From.ID == "" {
		return
	}
	d.members.HandleMessage(news.From, news.Members)
	d.catchUp(news.From)
	for _, k := range news.Knowledge {
		d.fleet.Merge(k)
	}
	for _, s := range news.Suspects {
		if d.engine.Quarantine().Merge(s) {
			d.suspects.Put(s.Fingerprint, s)
		}
	}
	d.fleet.AddSuccessReports(news.SuccessReports)
	d.mover.MergeEvidence(news.Evidence)
	d.mover.MergeProgress(news.Progress...)
	if news.Generation > d.keeper.Generation() {
		d.fetchConfiguration(news.From)
	}
}

// fetchConfiguration takes a newer configuration from a peer, one transfer at a
// time.
func (d *Daemon) fetchConfiguration(from membership.Member) {
	if d.fetching.Swap(true) {
		return
	}
	go func() {
		defer d.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		document, err := d.peers.Configuration(ctx, from)
		if err == nil && document != nil {
			_, _ = d.keeper.Offer(document, "peer "+from.ID)
		}
	}()
}

// Handler returns what answers peers.
func (d *Daemon) Handler() peer.Handler { return &handler{d} }

// handler answers peers.
type handler struct{ d *Daemon }

// OnExchange implements peer.Handler.
func (h *handler) OnExchange(_ context.Context, _ string, news peer.Exchange) peer.Exchange {
	h.d.learn(news)
	reply := h.d.news()
	// A host that others believe dead must hear of it to refute it.
	if m, ok := h.d.members.Find(news.From.ID); ok && m.State != membership.Alive {
		reply.Members = append(reply.Members, m)
	}
	return reply
}

// OnProbe implements peer.Handler.
func (h *handler) OnProbe(ctx context.Context, target membership.Member) error {
	return h.d.exchange(ctx, target)
}

// OnForward implements peer.Handler.
func (h *handler) OnForward(ctx context.Context, server string, call upstream.Call) (*upstream.Answer, error) {
	h.d.forwards.Add(1)
	defer h.d.forwards.Add(-1)
	return h.d.engine.ServeForwarded(ctx, server, call)
}

// OnConfiguration implements peer.Handler.
func (h *handler) OnConfiguration() []byte {
	c := h.d.keeper.Section().Load()
	if c.Generation() == 0 {
		return nil
	}
	return c.Document()
}

// OnKnowledge implements peer.Handler.
func (h *handler) OnKnowledge() peer.Exchange {
	all := peer.Exchange{From: h.d.members.Self(), Members: h.d.members.VerifiedMembers(), Generation: h.d.keeper.Generation()}
	for _, t := range h.d.fleet.Trackers() {
		all.Knowledge = append(all.Knowledge, t.Knowledge())
	}
	if h.d.mover.IsLoaded() {
		all.Progress, all.HasMoveProgress = h.d.mover.Progress(), true
	}
	return all
}

// OnResult implements peer.Handler.
func (h *handler) OnResult(ctx context.Context, nonce string) ([]byte, error) {
	result, err := h.d.claims.Result(ctx, nonce)
	if err != nil || result == nil {
		return nil, err
	}
	return query.EncodeResult(result)
}

// OnClaim implements peer.Handler.
func (h *handler) OnClaim(ctx context.Context, req claim.Request) (claim.Reply, error) {
	return h.d.claims.Execute(ctx, req)
}

// claimPeers reaches other hosts for claims.
type claimPeers struct{ d *Daemon }

// Claim implements claim.Peers.
func (c claimPeers) Claim(ctx context.Context, owner string, req claim.Request) (claim.Reply, error) {
	m, ok := c.d.members.Find(owner)
	if !ok {
		return claim.Reply{}, fault.New(fault.PeerFailed, fault.NotRun, "host %q is not known", owner)
	}
	return c.d.peers.Claim(ctx, m, req)
}

// Result implements claim.Peers.
func (c claimPeers) Result(ctx context.Context, holder, nonce string) (*query.Result, error) {
	m, ok := c.d.members.Find(holder)
	if !ok {
		return nil, fault.New(fault.PeerFailed, fault.NotRun, "host %q is not known", holder)
	}
	document, err := c.d.peers.Result(ctx, m, nonce)
	if err != nil || document == nil {
		return nil, err
	}
	return query.DecodeResult(document)
}

// claimOwner returns the live host that writes for a bucket of keys.
func (d *Daemon) claimOwner(bucket int) string {
	key := "claims/" + strconv.Itoa(bucket)
	owner, highest := "", uint64(0)
	for _, m := range d.members.Live().Load() {
		if w := rendezvous.Weight(key, m.ID); owner == "" || w > highest {
			owner, highest = m.ID, w
		}
	}
	return owner
}
