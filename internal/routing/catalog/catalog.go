// Package catalog holds the configuration that operators have accepted: routes,
// services and limits, joined by name and ready for lookups.
//
// # Usage
//
// An adapter decodes the configuration of its platform into Route and Service
// values and builds a Catalog once for each version:
//
//	c := catalog.New(7, routes, services, limits)
//	route := c.Match("desk.example", "/lookup/42")
//
// A Catalog is immutable and safe for concurrent use. The part that a split
// route picks next is kept outside of it, in a Splitter, because it outlives one
// version.
package catalog

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Part is one service of a split route.
type Part struct {
	Service string
	Weight  float64
}

// Route says what callers may ask and which services answer.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is worth its full value.
	Objective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Attempts is how many servers of one service a request may be sent to.
	Attempts int
	// Parts are the services that share the requests. A route with Shards has
	// none.
	Parts []Part
	// Shards are the services that each answer a part of every request.
	Shards []string
	// TopRecords is how many records an answer of a sharded route has at most.
	TopRecords int
	// MinShardShare is the least share of shards in a successful answer.
	MinShardShare float64
	// Regions are the regions that may serve the route; none means all.
	Regions []string
}

// IsSharded reports whether a request needs a part of every shard.
func (r *Route) IsSharded() bool { return len(r.Shards) > 0 }

// MinShards returns the least number of shards in a successful answer.
func (r *Route) MinShards() int {
	share := min(max(r.MinShardShare, 0), 1)
	return max(int(math.Ceil(share*float64(len(r.Shards))-shareTolerance)), 1)
}

// shareTolerance absorbs the rounding of a share that is meant as a fraction.
const shareTolerance = 1e-9

// AllowsRegion reports whether servers of a region may run requests of the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Service says how the servers of one service may be used.
type Service struct {
	Name string
	// MaxConnections is how many connections each server takes from all callers.
	MaxConnections int
	// ColdTime is how long a server stays cold after its start.
	ColdTime time.Duration
	// ColdRate is how many requests a second a cold server bears; 0 means that
	// the service states no limit.
	ColdRate float64
}

// Limits bound what a client may send. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	version  int64
	hosts    map[string][]*Route
	services map[string]Service
	limits   Limits
	routes   int
}

// New returns the Catalog of a version. Routes of one host are ordered so that
// the longest prefix comes first.
func New(version int64, routes []*Route, services []Service, limits Limits) *Catalog {
	c := &Catalog{
		version:  version,
		hosts:    map[string][]*Route{},
		services: make(map[string]Service, len(services)),
		limits:   limits,
		routes:   len(routes),
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	return c
}

// Version returns the version that the operators gave.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the limits on requests.
func (c *Catalog) Limits() Limits { return c.limits }

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int { return c.routes }

// Service returns a service by its name; an unknown one has no limits.
func (c *Catalog) Service(name string) Service { return c.services[name] }

// Services returns all services.
func (c *Catalog) Services() []Service { return lo.Values(c.services) }

// Match returns the route with the longest prefix of path at a host, or nil. A
// port behind the host name is ignored.
func (c *Catalog) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
