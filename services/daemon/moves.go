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
	// evidenceReceivers is the number of hosts that receive the evidence of every host.
	// Evidence is a host's counts of queries, failures and latencies at the old and the
	// new pool of a move.
	evidenceReceivers = 8
	// movesObject is the name of the stored object that holds the progress of moves. When
	// all hosts of a deployment are replaced at once, no running host knows the progress,
	// and the new hosts read it from this object.
	movesObject = "moves"
)

// poolHealth returns the health of a pool as this host sees it. A pool without a snapshot
// is neither complete nor warm.
func (d *Daemon) poolHealth(name string) move.PoolHealth {
	pool := d.view.Load().Pool(name)
	if pool == nil || pool.Snapshot() == nil {
		return move.PoolHealth{}
	}
	return move.PoolHealth{Complete: pool.Snapshot().IsComplete(), Warm: pool.IsWarm()}
}

// runMoves advances the moves in the tables, each of which shifts the traffic of one pool
// to another, and sends this host's evidence about the moves to the evidence receivers.
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

// sendEvidence sends this host's evidence to the evidence receivers.
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

// loadMoves reads the progress of moves from the store at the start of this process,
// unless a peer has already sent it.
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

// decodeProgress decodes the content of the moves object. It returns nil if the content
// is malformed.
func decodeProgress(document []byte) []move.Progress {
	var list []move.Progress
	if json.Unmarshal(document, &list) != nil {
		return nil
	}
	return list
}

// saveMoves merges the stored progress of moves with the progress that this host knows.
// It stores the result for the moves that are still in the tables.
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
