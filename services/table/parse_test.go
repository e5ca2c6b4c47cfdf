package table

import (
	"strings"
	"testing"
)

const (
	validRoutes = `{"routes":[{"name":"r","pool":"p","idempotent":true,"priority":"high","timeout":"400ms"}]}`
	validPools  = `{"pools":[{"name":"p","slots":3,"connections":30,"upstreams":[{"id":"u","address":"127.0.0.1:1","data_centre":"d"}]},` +
		`{"name":"q","slots":3,"connections":30,"upstreams":[{"id":"v","address":"127.0.0.1:2","data_centre":"d"}]}],` +
		`"moves":[{"id":"m","from":"p","to":"q","start":"2026-01-01T00:00:00Z","deadline":"2026-01-01T01:00:00Z"}],` +
		`"data_centres":[{"name":"d","drained":false}]}`
)

func TestJoinAcceptsValidTables(t *testing.T) {
	tables, problems := Join([]byte(validRoutes), []byte(validPools))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if tables.MoveFrom("p").To() != "q" || tables.Route("r").Priority() != High {
		t.Fatal("the joined tables differ from the documents: want a move from p to q and high priority for r")
	}
}

// TestJoinReportsTableAndFieldOfProblem makes one error in otherwise valid tables and
// expects a problem that names its table and field.
func TestJoinReportsTableAndFieldOfProblem(t *testing.T) {
	cases := []struct{ name, table, field, old, replacement string }{
		{"malformed JSON", "routes", "-", `{"routes":[`, `{"routes":[[`},
		{"unknown field", "routes", "-", `"name":"r"`, `"name":"r","colour":1`},
		{"unknown pool of a route", "routes", "pool", `"pool":"p"`, `"pool":"nowhere"`},
		{"timeout without unit", "routes", "timeout", `"400ms"`, `"400"`},
		{"negative timeout", "routes", "timeout", `"400ms"`, `"-1s"`},
		{"two documents", "routes", "-", `"400ms"}]}`, `"400ms"}]}{}`},
		{"duplicate upstream ID", "pools", "upstreams.id", `"id":"v"`, `"id":"u"`},
		{"duplicate pool name", "pools", "name", `"name":"q"`, `"name":"p"`},
		{"zero slots", "pools", "slots", `"slots":3`, `"slots":0`},
		{"host name as address", "pools", "upstreams.address", `127.0.0.1:1"`, `example:1"`},
		{"negative trial share", "pools", "moves.trial_share", `"id":"m"`, `"id":"m","trial_share":-0.1`},
		{"trial share above the maximum", "pools", "moves.trial_share", `"id":"m"`, `"id":"m","trial_share":0.5`},
		{"deadline not after start", "pools", "moves.deadline", `01:00:00Z`, `00:00:00Z`},
		{"unknown pool of a move", "pools", "moves.to", `"to":"q"`, `"to":"z"`},
		{"document too large", "pools", "-", `"id":"u"`, `"id":"` + strings.Repeat("u", MaxDocumentBytes) + `"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			routes := strings.Replace(validRoutes, c.old, c.replacement, 1)
			pools := strings.Replace(validPools, c.old, c.replacement, 1)
			_, problems := Join([]byte(routes), []byte(pools))
			for _, p := range problems {
				if p.Table == c.table && p.Field == c.field {
					return
				}
			}
			t.Fatalf("no problem names table %s and field %s: %v", c.table, c.field, problems)
		})
	}
}

// FuzzJoin checks that Join returns either tables or problems. If Join accepts a pair of
// tables, it must be possible to encode the store object that records the pair as
// accepted, and to decode that object.
func FuzzJoin(f *testing.F) {
	f.Add([]byte(validRoutes), []byte(validPools))
	f.Add([]byte(`{}`), []byte(`{"pools":null}`))
	f.Fuzz(func(t *testing.T, routes, pools []byte) {
		tables, problems := Join(routes, pools)
		if (tables == nil) == (len(problems) == 0) {
			t.Fatal("Join returned neither tables nor problems, or both")
		}
		if tables == nil {
			return
		}
		document, err := Encode(1, NewProvenance(1, 1, "w", "n"), routes, pools)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := Decode(document); err != nil {
			t.Fatalf("the accepted object of valid tables cannot be decoded: %v", err)
		}
	})
}
