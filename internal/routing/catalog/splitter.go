package catalog

import "sync"

// Splitter spreads the requests of split routes over their parts by smooth
// weighted round robin, so that short spans keep the weights too. The zero value
// is ready to use. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]map[string]float64
}

// Next returns the service that takes the next request of a route without
// shards, or "" if it has no part with a weight.
func (s *Splitter) Next(r *Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = map[string]map[string]float64{}
	}
	credit := s.routes[r.Name]
	if credit == nil {
		credit = map[string]float64{}
		s.routes[r.Name] = credit
	}
	best, total := "", 0.0
	for _, p := range r.Parts {
		if p.Weight <= 0 {
			continue
		}
		total += p.Weight
		credit[p.Service] += p.Weight
		if best == "" || credit[p.Service] > credit[best] {
			best = p.Service
		}
	}
	if best != "" {
		credit[best] -= total
	}
	return best
}
