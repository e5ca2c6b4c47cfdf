package catalog

import (
	"math"
	"testing"
)

func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	c := New(1, []*Route{
		{Name: "a", Host: "H.example", Prefix: "/"},
		{Name: "b", Host: "h.example", Prefix: "/x/"},
		{Name: "c", Host: "h.example", Prefix: "/x/y/"},
		{Name: "d", Host: "other.example", Prefix: "/x/y/z/"},
	}, nil, Limits{})
	for path, want := range map[string]string{"/x/y/z/1": "c", "/x/y": "b", "/x": "a", "/x/y/": "c"} {
		if r := c.Match("h.example:80", path); r == nil || r.Name != want {
			t.Errorf("path %s: got route %v, want %s", path, r, want)
		}
	}
	if c.Match("none.example", "/") != nil {
		t.Error("a route matched an unknown host name")
	}
}

// MinShards must terminate for every share. It once did not terminate for a share of
// 1e300 (found by FuzzObjects).
func TestMinShardsRoundsUpWithinRange(t *testing.T) {
	for _, test := range []struct {
		shards int
		share  float64
		want   int
	}{{10, 0.89, 9}, {10, 0.75, 8}, {36, 0.95, 35}, {10, 0.9, 9}, {10, 0, 1}, {10, 1, 10}, {4, 1e300, 4}, {4, -1, 1}, {4, math.Inf(1), 4}} {
		r := Route{Shards: make([]string, test.shards), MinShardShare: test.share}
		if got := r.MinShards(); got != test.want {
			t.Errorf("share %v of %d shards: got %d shards, want %d", test.share, test.shards, got, test.want)
		}
	}
}

func TestSplitterKeepsWeightsOverShortSpans(t *testing.T) {
	var s Splitter
	r := &Route{Name: "r", WeightedServices: []WeightedService{{"a", 0.7}, {"b", 0.2}, {"c", 0.1}, {"d", 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[s.Next(r)]++
		if n := i + 1; n%100 == 0 && (counts["a"] != 70*n/100 || counts["b"] != 20*n/100) {
			t.Fatalf("after %d requests: got %v, want a split of 70, 20 and 10 per cent", n, counts)
		}
	}
}
