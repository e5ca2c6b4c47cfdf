package catalog

import "github.com/samber/lo"

// isServable reports whether a request to the route can succeed, given whether each service
// has servers.
func (r *Route) isServable(hasServers func(service string) bool) bool {
	if r.IsSharded() {
		return lo.CountBy(r.Shards, hasServers) >= r.MinShards()
	}
	return lo.SomeBy(r.WeightedServices, func(s WeightedService) bool { return hasServers(s.Service) })
}

// LosesServers reports whether c would make a route unservable that old serves, given
// whether each service has servers. This is so for a while after the index has been
// repartitioned or a route was moved, if a host learns of the configuration before it
// learns of the servers that the configuration names: the two are read separately, and
// after an outage of the store the servers' entries may come seconds later.
//
// Routes that are new in c do not count.
func (c *Catalog) LosesServers(old *Catalog, hasServers func(service string) bool) bool {
	former := map[string]*Route{}
	for _, list := range old.routesByHost {
		for _, r := range list {
			former[r.Name] = r
		}
	}
	for _, list := range c.routesByHost {
		for _, r := range list {
			if o := former[r.Name]; o != nil && !r.isServable(hasServers) && o.isServable(hasServers) {
				return true
			}
		}
	}
	return false
}
