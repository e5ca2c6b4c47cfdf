package catalog

import "sync"

// Splitter distributes the requests of split routes over their services. It uses smooth
// weighted round robin, so that the split matches the weights even over few requests. The
// zero value is ready to use. It is safe for concurrent use.
type Splitter struct {
	mu             sync.Mutex
	creditsByRoute map[string]map[string]float64
}

// Next returns the service for the next request of a route without shards, or "" if
// none of the route's services has a positive weight. If the route has only one
// service, Next returns this service whatever its weight.
func (s *Splitter) Next(r *Route) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.creditsByRoute == nil {
		s.creditsByRoute = map[string]map[string]float64{}
	}
	serviceCredits := s.creditsByRoute[r.Name]
	if serviceCredits == nil {
		serviceCredits = map[string]float64{}
		s.creditsByRoute[r.Name] = serviceCredits
	}
	best, total := "", 0.0
	for _, p := range r.WeightedServices {
		if p.Weight <= 0 {
			continue
		}
		total += p.Weight
		serviceCredits[p.Service] += p.Weight
		if best == "" || serviceCredits[p.Service] > serviceCredits[best] {
			best = p.Service
		}
	}
	if best != "" {
		serviceCredits[best] -= total
	}
	return best
}
