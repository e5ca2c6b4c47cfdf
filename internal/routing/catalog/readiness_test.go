package catalog

import "testing"

func TestLosesServers(t *testing.T) {
	sharded := func(shards ...string) *Route {
		return &Route{Name: "r", Host: "h", Prefix: "/", Shards: shards, MinShardShare: 0.5}
	}
	weighted := func(services ...string) *Route {
		r := &Route{Name: "r", Host: "h", Prefix: "/"}
		for _, s := range services {
			r.WeightedServices = append(r.WeightedServices, WeightedService{Service: s, Weight: 1})
		}
		return r
	}
	hasServers := func(service string) bool { return service[0] == 'a' }
	for name, c := range map[string]struct {
		old, next *Route
		loses     bool
	}{
		"same":                        {sharded("a1", "a2"), sharded("a1", "a2"), false},
		"new shards without servers":  {sharded("a1", "a2"), sharded("b1", "b2"), true},
		"enough shards have servers":  {sharded("a1", "a2"), sharded("a1", "b2"), false},
		"too few shards have servers": {sharded("a1", "a2"), sharded("a1", "b2", "b3"), true},
		"was not servable before":     {sharded("b1"), sharded("b2"), false},
		"moved without servers":       {weighted("a1"), weighted("b1"), true},
		"part without servers":        {weighted("a1"), weighted("a1", "b1"), false},
	} {
		old := New(1, []*Route{c.old}, nil, Limits{})
		if got := New(2, []*Route{c.next}, nil, Limits{}).LosesServers(old, hasServers); got != c.loses {
			t.Errorf("%s: got %t, want %t", name, got, c.loses)
		}
	}
	added := weighted("b1")
	added.Name = "added"
	next := New(2, []*Route{sharded("a1", "a2"), added}, nil, Limits{})
	if next.LosesServers(New(1, []*Route{sharded("a1", "a2")}, nil, Limits{}), hasServers) {
		t.Error("a new route without servers holds the configuration back")
	}
}
