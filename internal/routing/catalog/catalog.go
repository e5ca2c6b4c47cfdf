// Package catalog holds the configuration that operators have put in force: routes,
// services and limits, indexed by name for lookups.
//
// An adapter, the code for one platform, decodes the platform's configuration into Route
// and Service values and builds a Catalog once for each version:
//
//	c := catalog.New(7, routes, services, limits)
//	route := c.Match("desk.example", "/lookup/42")
//
// A Catalog is immutable and safe for concurrent use. A split route distributes its
// requests over several services in a round robin. The state of the round robin is kept
// in a Splitter, outside of the Catalog, because it must survive a change of version.
package catalog

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// WeightedService is one service of a split route. Its share of the requests is Weight
// divided by the sum of the weights of all services of the route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route describes which requests callers may send and which services answer them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent means that a request may safely run more than once.
	Idempotent bool
	// Timeout is the longest time for which a request may wait for its answer.
	Timeout time.Duration
	// Objective is the latency objective: an answer that takes longer is worth less to
	// the caller.
	Objective time.Duration
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of servers of one service to which a request may
	// be sent.
	MaxAttempts int
	// WeightedServices are the services over which the requests are split by weight. The
	// list is empty for a route with Shards.
	WeightedServices []WeightedService
	// Shards are the services that each hold one shard of the data. Every request goes to
	// all of them, and each answers with a part of the result.
	Shards []string
	// TopRecords is the maximum number of records in an answer of a sharded route.
	TopRecords int
	// MinShardShare is the minimum share of the shards, from 0 to 1, whose replies a
	// successful answer must contain.
	MinShardShare float64
	// Regions are the regions whose servers may run requests of the route. An empty list
	// allows all regions.
	Regions []string
}

// IsSharded reports whether a request goes to all services in Shards instead of to one
// service.
func (r *Route) IsSharded() bool { return len(r.Shards) > 0 }

// MinShards returns the minimum number of shards whose replies a successful answer must
// contain.
func (r *Route) MinShards() int {
	share := min(max(r.MinShardShare, 0), 1)
	return max(int(math.Ceil(share*float64(len(r.Shards))-shareTolerance)), 1)
}

// shareTolerance keeps MinShards from requiring one shard more because of the
// floating-point error in the product of MinShardShare and the number of shards.
const shareTolerance = 1e-9

// AllowsRegion reports whether servers of a region may run requests of the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Service describes the load that the servers of one service accept.
type Service struct {
	Name string
	// MaxConnections is the number of connections that each server accepts from all
	// callers together.
	MaxConnections int
	// ColdTime is the time for which a server is cold after its start: its caches are
	// empty, and it can bear only a low request rate.
	ColdTime time.Duration
	// ColdRate is the number of requests a second that a cold server can bear; 0 means
	// that the service sets no limit.
	ColdRate float64
}

// Limits bound the size of a request, the time in which its header must arrive and the
// time for which a connection may be idle. A field that is zero sets no limit.
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

// Version returns the number that the operators gave to this version of the
// configuration.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the limits on requests and idle connections.
func (c *Catalog) Limits() Limits { return c.limits }

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int { return c.routeCount }

// Service returns the service with the given name, or a Service without limits if the
// name is unknown.
func (c *Catalog) Service(name string) Service { return c.services[name] }

// Services returns all services.
func (c *Catalog) Services() []Service { return lo.Values(c.services) }

// Match returns the route for a request to path at a host name: the route of this host
// name with the longest Prefix that path starts with. It returns nil if path starts
// with none of the prefixes. A port after the host name is ignored.
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
