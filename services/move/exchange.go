package move

// ownEvidence returns the counts of this host for one move, with one entry for each
// route.
func (m *Mover) ownEvidence(r *moveRun) []Evidence {
	appliedStep := r.appliedStep()
	list := make([]Evidence, 0, len(r.counters))
	for route, p := range r.counters {
		list = append(list, Evidence{
			Host:        m.opts.Host,
			Incarnation: m.opts.Incarnation,
			Move:        r.row.ID(),
			Route:       route,
			OldPool:     p.oldPool.counts(),
			NewPool:     p.newPool.counts(),
			Applied:     appliedStep,
		})
	}
	return list
}

// Evidence returns the counts of this host for all moves in progress.
func (m *Mover) Evidence() []Evidence {
	var list []Evidence
	for _, r := range *m.runs.Load() {
		list = append(list, m.ownEvidence(r)...)
	}
	return list
}

// MergeEvidence records the counts received from other hosts. It ignores counts that are
// older than those already known from the same host for the same route, and counts for
// moves that this host does not know.
func (m *Mover) MergeEvidence(list []Evidence) {
	runs := *m.runs.Load()
	for _, e := range list {
		if r := runs[e.Move]; r != nil && e.Host != m.opts.Host {
			r.mergeEvidence(e)
		}
	}
}
