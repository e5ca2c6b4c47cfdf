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
	// judges is how many hosts get the evidence of all others.
	judges = 8
	// movesObject keeps the progress of moves, for a deployment whose hosts are
	// all replaced.
	movesObject = "moves"
)

// poolHealth returns what this host sees of a pool.
func (d *Daemon) poolHealth(name string) move.PoolHealth {
	pool := d.view.Load().Pool(name)
	if pool == nil || pool.Snapshot() == nil {
		return move.PoolHealth{}
	}
	return move.PoolHealth{Complete: pool.Snapshot().IsComplete(), Warm: pool.IsWarm()}
}

// runMoves advances the moves of the tables and exchanges their evidence.
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
			d.progress.Put(p.Move, p)
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

// sendEvidence gives this host's counts to the judges of the moves.
func (d *Daemon) sendEvidence(ctx context.Context) {
	news := d.news()
	news.Evidence = d.mover.Evidence()
	order := rendezvous.Order("judges", d.members.Live().Load(), func(m membership.Member) string { return m.ID })
	for _, m := range order[:min(judges, len(order))] {
		if m.ID == d.cfg.Host() {
			continue
		}
		go d.tell(ctx, m, news)
	}
}

// loadMoves reads the progress of moves at the start, unless a peer told it.
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

func decodeProgress(document []byte) []move.Progress {
	var list []move.Progress
	if json.Unmarshal(document, &list) != nil {
		return nil
	}
	return list
}

// saveMoves joins the progress of this host into the store.
func (d *Daemon) saveMoves(ctx context.Context) error {
	object, err := d.store.Get(ctx, movesObject)
	if err != nil && !fault.Is(err, fault.ObjectNotFound) {
		return err
	}
	d.mover.MergeProgress(decodeProgress(object.Value())...)
	present := lo.SliceToMap(d.keeper.Section().Load().Moves(), func(m *table.Move) (string, bool) { return m.ID(), true })
	list := lo.Filter(d.mover.Progress(), func(p move.Progress, _ int) bool { return present[p.Move] })
	document, err := json.Marshal(list)
	if err != nil || string(document) == string(object.Value()) || (len(list) == 0 && object.Version() == 0) {
		return err
	}
	_, err = d.store.Put(ctx, movesObject, document, object.Version())
	return err
}
