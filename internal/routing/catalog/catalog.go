// Package catalog holds the configuration that operators have accepted: routes,
// services and limits, joined by name and ready for lookups.
//
// An adapter decodes the configuration of its platform into Route and Service values
// and builds a Catalog once for each version:
//
//	c := catalog.New(7, routes, services, limits)
//	route := c.Match("desk.example", "/lookup/42")
//
// A Catalog is immutable and safe for concurrent use. The rotation of split routes is
// kept outside of it, in a Splitter, because it outlives one version.
package catalog

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// WeightedService is one service of a split route and its share of the requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route describes which requests callers may send and which services answer them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent means that a request may run more than once.
	Idempotent bool
	// Timeout is the longest time for which a request may wait for its answer.
	Timeout time.Duration
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of servers of one service that a request may be
	// sent to.
	MaxAttempts int
	// WeightedServices are the services among which the requests are split. They are
	// empty for a route with Shards.
	WeightedServices []WeightedService
	// Shards are the services that each answer a part of every request.
	Shards []string
	// TopRecords is the maximum number of records in an answer of a sharded route.
	TopRecords int
	// MinShardShare is the minimum share of shards, from 0 to 1, in a successful
	// answer.
	MinShardShare float64
	// Regions are the regions whose servers may run requests of the route; none means
	// all.
	Regions []string
}

// IsSharded reports whether a request goes to every shard.
func (r *Route) IsSharded() bool { return len(r.Shards) > 0 }

// MinShards returns the minimum number of shards in a successful answer.
func (r *Route) MinShards() int {
	share := min(max(r.MinShardShare, 0), 1)
	return max(int(math.Ceil(share*float64(len(r.Shards))-shareTolerance)), 1)
}

// shareTolerance absorbs the rounding error of a share that is written as a decimal
// fraction.
const shareTolerance = 1e-9

// AllowsRegion reports whether servers of a region may run requests of the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Service describes the load that the servers of one service accept.
type Service struct {
	Name string
	// MaxConnections is how many connections each server accepts from all callers
	// together.
	MaxConnections int
	// ColdTime is how long a server stays cold after its start.
	ColdTime time.Duration
	// ColdRate is how many requests a second a cold server can bear; 0 means that the
	// service states no limit.
	ColdRate float64
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	version      int64
	routesByHost map[string][]*Route
	services     map[string]Service
	limits       Limits
	routeCount   int
}

// New returns the Catalog of a version. The routes of each host name are ordered by the
// length of their prefix, the longest first.
func New(version int64, routes []*Route, services []Service, limits Limits) *Catalog {
	c := &Catalog{
		version:      version,
		routesByHost: map[string][]*Route{},
		services:     make(map[string]Service, len(services)),
		limits:       limits,
		routeCount:   len(routes),
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	return c
}

// Version returns the version number that the operators gave.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the limits on requests.
func (c *Catalog) Limits() Limits { return c.limits }

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int { return c.routeCount }

// Service returns the service with the given name, or one without limits if it is
// unknown.
func (c *Catalog) Service(name string) Service { return c.services[name] }

// Services returns all services.
func (c *Catalog) Services() []Service { return lo.Values(c.services) }

// Match returns the route of a host name with the longest prefix of path, or nil. A
// port after the host name is ignored.
func (c *Catalog) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
