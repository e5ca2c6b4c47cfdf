package table

import (
	"strings"
	"testing"
)

const (
	goodRoutes = `{"routes":[{"name":"r","pool":"p","idempotent":true,"priority":"high","timeout":"400ms"}]}`
	goodPools  = `{"pools":[{"name":"p","slots":3,"connections":30,"upstreams":[{"id":"u","address":"127.0.0.1:1","data_centre":"d"}]},` +
		`{"name":"q","slots":3,"connections":30,"upstreams":[{"id":"v","address":"127.0.0.1:2","data_centre":"d"}]}],` +
		`"moves":[{"id":"m","from":"p","to":"q","start":"2026-01-01T00:00:00Z","deadline":"2026-01-01T01:00:00Z"}],` +
		`"data_centres":[{"name":"d","drained":false}]}`
)

func TestJoinGood(t *testing.T) {
	tables, problems := Join([]byte(goodRoutes), []byte(goodPools))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if tables.MoveFrom("p").To() != "q" || tables.Route("r").Priority() != High {
		t.Fatal("the tables were not joined")
	}
}

// TestJoinRefuses wants one problem for each fault, naming its table and field.
func TestJoinRefuses(t *testing.T) {
	cases := []struct{ name, table, field, old, replacement string }{
		{"malformed", "routes", "-", `{"routes":[`, `{"routes":[[`},
		{"unknown field", "routes", "-", `"name":"r"`, `"name":"r","colour":1`},
		{"dangling pool", "routes", "pool", `"pool":"p"`, `"pool":"nowhere"`},
		{"wrong unit", "routes", "timeout", `"400ms"`, `"400"`},
		{"negative timeout", "routes", "timeout", `"400ms"`, `"-1s"`},
		{"two documents", "routes", "-", `"400ms"}]}`, `"400ms"}]}{}`},
		{"duplicate server", "pools", "upstreams.id", `"id":"v"`, `"id":"u"`},
		{"duplicate pool", "pools", "name", `"name":"q"`, `"name":"p"`},
		{"no slots", "pools", "slots", `"slots":3`, `"slots":0`},
		{"address", "pools", "upstreams.address", `127.0.0.1:1"`, `example:1"`},
		{"negative share", "pools", "moves.trial_share", `"id":"m"`, `"id":"m","trial_share":-0.1`},
		{"large share", "pools", "moves.trial_share", `"id":"m"`, `"id":"m","trial_share":0.5`},
		{"deadline", "pools", "moves.deadline", `01:00:00Z`, `00:00:00Z`},
		{"unknown pool of a move", "pools", "moves.to", `"to":"q"`, `"to":"z"`},
		{"too large", "pools", "-", `"id":"u"`, `"id":"` + strings.Repeat("u", MaxDocument) + `"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			routes := strings.Replace(goodRoutes, c.old, c.replacement, 1)
			pools := strings.Replace(goodPools, c.old, c.replacement, 1)
			_, problems := Join([]byte(routes), []byte(pools))
			for _, p := range problems {
				if p.Table == c.table && p.Field == c.field {
					return
				}
			}
			t.Fatalf("no problem of %s %s in %v", c.table, c.field, problems)
		})
	}
}

func FuzzJoin(f *testing.F) {
	f.Add([]byte(goodRoutes), []byte(goodPools))
	f.Add([]byte(`{}`), []byte(`{"pools":null}`))
	f.Fuzz(func(t *testing.T, routes, pools []byte) {
		tables, problems := Join(routes, pools)
		if (tables == nil) == (len(problems) == 0) {
			t.Fatal("neither tables nor problems, or both")
		}
		if tables == nil {
			return
		}
		document, err := Encode(1, NewSource(1, 1, "w", "n"), routes, pools)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := Decode(document); err != nil {
			t.Fatalf("joined tables cannot be read back: %v", err)
		}
	})
}
