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
	// maxKnowledge is the maximum number of server records in one gossip message.
	maxKnowledge = 64
	// maxSuspects is the maximum number of suspects (requests that may crash servers) in
	// one gossip message. The number of progress records of moves has the same maximum.
	maxSuspects = 32
	// fetchTimeout is the timeout for fetching a configuration, or what a peer knows of
	// hosts, servers and moves, from that peer.
	fetchTimeout = 5 * time.Second
)

// prober probes other hosts on behalf of the membership.
type prober struct{ d *Daemon }

// Probe implements membership.Prober.
func (p prober) Probe(ctx context.Context, target membership.Member) error {
	return p.d.exchange(ctx, target)
}

// ProbeVia implements membership.Prober.
func (p prober) ProbeVia(ctx context.Context, via, target membership.Member) error {
	return p.d.peers.Probe(ctx, via, target)
}

// forwarder sends calls of the engine to other hosts, which send them on to servers.
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

// newMessage returns a gossip message for one peer with the queued updates of this host.
func (d *Daemon) newMessage() peer.Exchange {
	hosts := len(d.members.Live().Load())
	return peer.Exchange{
		From:       d.members.Self(),
		Members:    d.members.TakeUpdates(),
		Generation: d.keeper.Generation(),
		Knowledge:  d.knowledgeQueue.Take(maxKnowledge, hosts),
		Suspects:   d.suspectQueue.Take(maxSuspects, hosts),
		Progress:   d.progressQueue.Take(maxSuspects, hosts),
	}
}

// exchange sends a new gossip message to a host and merges the message that the host
// replies with.
func (d *Daemon) exchange(ctx context.Context, to membership.Member) error {
	reply, err := d.peers.Exchange(ctx, to, d.newMessage())
	if err == nil {
		d.mergeMessage(reply)
	}
	return err
}

// syncState fetches in the background what a peer knows of hosts, servers and moves, and
// merges it. It does so once after this process has started and once after each detected
// pause of this process. It does nothing if that has been done, or while another
// syncState is running.
func (d *Daemon) syncState(from membership.Member) {
	pauses := d.members.Pauses() + 1
	if d.syncedPauses.Load() == pauses || d.isSyncingState.Swap(true) {
		return
	}
	go func() {
		defer d.isSyncingState.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		state, err := d.peers.Knowledge(ctx, from)
		if err != nil {
			return
		}
		d.syncedPauses.Store(pauses)
		d.mergeMessage(state)
		if state.HasMoveProgress {
			d.mover.MarkLoaded()
		}
	}()
}

// mergeMessage merges the gossip message of a peer. If the peer has a newer configuration
// than the one in force on this host, mergeMessage fetches it in the background. A
// message without a sender is ignored.
func (d *Daemon) mergeMessage(message peer.Exchange) {
	if message.From.ID == "" {
		return
	}
	d.members.HandleMessage(message.From, message.Members)
	d.syncState(message.From)
	for _, k := range message.Knowledge {
		d.fleet.Merge(k)
	}
	for _, s := range message.Suspects {
		if d.engine.Quarantine().Merge(s) {
			d.suspectQueue.Put(s.Fingerprint, s)
		}
	}
	d.fleet.AddSuccessReports(message.SuccessReports)
	d.mover.MergeEvidence(message.Evidence)
	d.mover.MergeProgress(message.Progress...)
	if message.Generation > d.keeper.Generation() {
		d.fetchConfiguration(message.From)
	}
}

// fetchConfiguration fetches a newer configuration from a peer in the background. It does
// nothing while another configuration is being fetched.
func (d *Daemon) fetchConfiguration(from membership.Member) {
	if d.isFetchingConfiguration.Swap(true) {
		return
	}
	go func() {
		defer d.isFetchingConfiguration.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		document, err := d.peers.Configuration(ctx, from)
		if err == nil && document != nil {
			_, _ = d.keeper.Offer(document, "peer "+from.ID)
		}
	}()
}

// Handler returns the handler that answers the requests of other hosts.
func (d *Daemon) Handler() peer.Handler { return &handler{d} }

// handler answers the requests that other hosts send to this host.
type handler struct{ d *Daemon }

// OnExchange implements peer.Handler.
func (h *handler) OnExchange(_ context.Context, _ string, message peer.Exchange) peer.Exchange {
	h.d.mergeMessage(message)
	reply := h.d.newMessage()
	// If this host does not consider the sender alive, the reply says so. Only a host
	// that knows this can refute it.
	if m, ok := h.d.members.Find(message.From.ID); ok && m.State != membership.Alive {
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
	h.d.activeForwards.Add(1)
	defer h.d.activeForwards.Add(-1)
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
	state := peer.Exchange{From: h.d.members.Self(), Members: h.d.members.VerifiedMembers(), Generation: h.d.keeper.Generation()}
	for _, t := range h.d.fleet.Trackers() {
		state.Knowledge = append(state.Knowledge, t.Knowledge())
	}
	if h.d.mover.IsLoaded() {
		state.Progress, state.HasMoveProgress = h.d.mover.Progress(), true
	}
	return state
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

// claimPeers sends the requests of this host's claim service to other hosts.
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

// claimOwner returns the ID of the live host that owns a bucket of idempotency keys, or
// "" if no host is live. The owner writes the bucket to the store on behalf of all hosts.
func (d *Daemon) claimOwner(bucket int) string {
	key := "claims/" + strconv.Itoa(bucket)
	owner, highestWeight := "", uint64(0)
	for _, m := range d.members.Live().Load() {
		if w := rendezvous.Weight(key, m.ID); owner == "" || w > highestWeight {
			owner, highestWeight = m.ID, w
		}
	}
	return owner
}
