package move

// ownEvidence returns what this host counted for one run.
func (m *Mover) ownEvidence(r *run) []Evidence {
	applied := r.applied()
	list := make([]Evidence, 0, len(r.counters))
	for route, p := range r.counters {
		list = append(list, Evidence{
			Host:    m.opts.Host,
			Boot:    m.opts.Boot,
			Move:    r.row.ID(),
			Route:   route,
			Old:     p.old.counts(),
			Fresh:   p.fresh.counts(),
			Applied: applied,
		})
	}
	return list
}

// Evidence returns what this host counted for all moves under way.
func (m *Mover) Evidence() []Evidence {
	var list []Evidence
	for _, r := range *m.active.Load() {
		list = append(list, m.ownEvidence(r)...)
	}
	return list
}

// LearnEvidence takes in what another host counted.
func (m *Mover) LearnEvidence(list []Evidence) {
	runs := *m.active.Load()
	for _, e := range list {
		if r := runs[e.Move]; r != nil && e.Host != m.opts.Host {
			r.learn(e)
		}
	}
}
