package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/samber/lo"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/modules/rendezvous"
	"github.com/godwithatch/godwithatch/services/membership"
	"github.com/godwithatch/godwithatch/services/move"
	"github.com/godwithatch/godwithatch/services/table"
)

const (
	moveInterval = 250 * time.Millisecond
	// evidenceReceivers is the number of hosts that collect the evidence of all hosts.
	// Evidence is what a host has counted at the old and the new pool of a move.
	evidenceReceivers = 8
	// movesObject is the name of the stored object with the progress of moves. It is
	// needed when all hosts of a deployment are replaced, because no running host knows
	// the progress then.
	movesObject = "moves"
)

// poolHealth returns the health of a pool as seen by this host.
func (d *Daemon) poolHealth(name string) move.PoolHealth {
	pool := d.view.Load().Pool(name)
	if pool == nil || pool.Snapshot() == nil {
		return move.PoolHealth{}
	}
	return move.PoolHealth{Complete: pool.Snapshot().IsComplete(), Warm: pool.IsWarm()}
}

// runMoves advances the moves in the tables, which shift the traffic of one pool to
// another, and sends this host's evidence about them to other hosts.
func (d *Daemon) runMoves(ctx context.Context) {
	every(ctx, moveInterval, func() {
		d.loadMoves(ctx)
		c := d.keeper.Section().Load()
		if c.Generation() == 0 || !d.mover.IsLoaded() {
			return
		}
		d.mover.Tick(time.Now(), c.Tables)
		changed := d.mover.TakeChanged()
		for _, p := range changed {
			d.progressQueue.Put(p.Move, p)
		}
		if len(changed) > 0 {
			d.log.Info().Interface("moves", changed).Msg("state changed")
			d.announce(ctx)
		}
		if len(c.Moves()) > 0 {
			d.sendEvidence(ctx)
		}
	})
}

// sendEvidence sends this host's evidence to the hosts that collect the evidence of all
// hosts.
func (d *Daemon) sendEvidence(ctx context.Context) {
	message := d.newMessage()
	message.Evidence = d.mover.Evidence()
	order := rendezvous.Order("judges", d.members.Live().Load(), func(m membership.Member) string { return m.ID })
	for _, m := range order[:min(evidenceReceivers, len(order))] {
		if m.ID == d.cfg.Host() {
			continue
		}
		go d.sendMessage(ctx, m, message)
	}
}

// loadMoves reads the progress of moves from the store at the start, unless it has
// already been read from a peer.
func (d *Daemon) loadMoves(ctx context.Context) {
	if d.mover.IsLoaded() {
		return
	}
	object, err := d.store.Get(ctx, movesObject)
	switch {
	case fault.Is(err, fault.ObjectNotFound):
	case err != nil:
		return
	default:
		d.mover.MergeProgress(decodeProgress(object.Value())...)
	}
	d.mover.MarkLoaded()
}

// decodeProgress decodes the stored object with the progress of moves. It returns nil if
// the object is malformed.
func decodeProgress(document []byte) []move.Progress {
	var list []move.Progress
	if json.Unmarshal(document, &list) != nil {
		return nil
	}
	return list
}

// saveMoves merges the progress of moves in the store with the progress that this host
// knows, and stores the result for the moves that are still in the tables.
func (d *Daemon) saveMoves(ctx context.Context) error {
	object, err := d.store.Get(ctx, movesObject)
	if err != nil && !fault.Is(err, fault.ObjectNotFound) {
		return err
	}
	d.mover.MergeProgress(decodeProgress(object.Value())...)
	isInTables := lo.SliceToMap(d.keeper.Section().Load().Moves(), func(m *table.Move) (string, bool) { return m.ID(), true })
	list := lo.Filter(d.mover.Progress(), func(p move.Progress, _ int) bool { return isInTables[p.Move] })
	document, err := json.Marshal(list)
	if err != nil || string(document) == string(object.Value()) || (len(list) == 0 && object.Version() == 0) {
		return err
	}
	_, err = d.store.Put(ctx, movesObject, document, object.Version())
	return err
}
