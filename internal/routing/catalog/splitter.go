package catalog

import "sync"

// Splitter distributes the requests of split routes over their services. It uses smooth
// weighted round robin, so that the requests follow the weights over short spans too. The
// zero value is ready to use. It is safe for concurrent use.
type Splitter struct {
	mu      sync.Mutex
	credits map[string]map[string]float64
}

// Next returns the service for the next request of a route without shards, or "" if
// none of its services has a weight.
func (s *Splitter) Next(r *Route) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credits == nil {
		s.credits = map[string]map[string]float64{}
	}
	credit := s.credits[r.Name]
	if credit == nil {
		credit = map[string]float64{}
		s.credits[r.Name] = credit
	}
	best, total := "", 0.0
	for _, p := range r.WeightedServices {
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
