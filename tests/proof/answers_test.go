package proof

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/query"
	"github.com/godwithatch/godwithatch/services/upstream"
	"github.com/godwithatch/godwithatch/tests/standin/model"
	"github.com/godwithatch/godwithatch/tests/standin/world"
)

// publication is an index version that appears on the servers one by one, while
// an older one leaves.
type publication struct {
	Version uint64
	Shards  int
	At      time.Duration
	Each    time.Duration
	Keep    bool
}

var publications = rapid.Custom(func(t *rapid.T) []publication {
	n := rapid.IntRange(0, 3).Draw(t, "publications")
	list := make([]publication, n)
	for i := range list {
		list[i] = publication{
			Version: uint64(42 + i),
			Shards:  rapid.SampledFrom([]int{1, 3, 3}).Draw(t, "shards"),
			At:      time.Duration(rapid.IntRange(0, 4000).Draw(t, "at ms")) * time.Millisecond,
			Each:    time.Duration(rapid.IntRange(0, 100).Draw(t, "each ms")) * time.Millisecond,
			Keep:    rapid.Bool().Draw(t, "keep the older"),
		}
	}
	return list
})

// publish lets the versions appear, a server at a time.
func publish(w *world.World, list []publication) {
	for _, p := range list {
		for g := range 3 {
			for r := range 3 {
				time.AfterFunc(p.At+time.Duration(3*g+r)*p.Each, func() {
					s := w.Server("main", g, r)
					holdings := []upstream.Holding{{Snapshot: p.Version, Shard: g % p.Shards, Shards: p.Shards}}
					if p.Keep {
						holdings = append(holdings, s.State().Holdings()...)
					}
					s.SetHoldings(holdings)
				})
			}
		}
	}
}

// checkAnswer verifies that an answer is whole, of one snapshot, truthful about
// its coverage, and belongs to the request.
func checkAnswer(r *query.Result, payload string) error {
	seen := map[int]bool{}
	for _, part := range r.Shards() {
		var data struct {
			Snapshot uint64
			Shard    int
			Echo     string
		}
		if err := json.Unmarshal(part.Data, &data); err != nil {
			return fmt.Errorf("a part cannot be read: %w", err)
		}
		switch {
		case data.Snapshot != r.Snapshot():
			return fmt.Errorf("a part is of snapshot %d, the answer of %d", data.Snapshot, r.Snapshot())
		case data.Shard != part.Shard || seen[part.Shard]:
			return fmt.Errorf("shard %d came as %d, or twice", data.Shard, part.Shard)
		case data.Echo != payload:
			return fmt.Errorf("a part answers %q, the request was %q", data.Echo, payload)
		}
		seen[part.Shard] = true
	}
	for _, m := range r.Missing() {
		if seen[m] {
			return fmt.Errorf("shard %d is missing and there", m)
		}
		seen[m] = true
	}
	if len(seen) != r.Total() || r.Answered()+len(r.Missing()) != r.Total() {
		return fmt.Errorf("%d parts and %d missing ones do not make %d", r.Answered(), len(r.Missing()), r.Total())
	}
	return nil
}

// TestAnswersAreOneSnapshot proves the snapshot, the coverage and the
// correlation of answers, and that refusals say "not run" truthfully, while
// index versions change and anything fails.
func TestAnswersAreOneSnapshot(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		versions, faults := publications.Draw(rt, "versions"), disturbances.Draw(rt, "faults")
		if err := inWorld(t, small(), func(w *world.World) error { return checkAnswers(w, versions, faults) }); err != nil {
			rt.Fatal(err)
		}
	})
}

func checkAnswers(w *world.World, versions []publication, faults []disturbance) error {
	befall(w, faults)
	publish(w, versions)
	var mu sync.Mutex
	var problem error
	refused := map[string]bool{}
	var wg sync.WaitGroup
	for i := range 300 {
		time.Sleep(20 * time.Millisecond)
		wg.Go(func() {
			payload := fmt.Sprintf(`{"n":%d}`, i)
			r, f := w.Submit(i%daemons, "main", "", payload, 300*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			if f == nil {
				if err := checkAnswer(r, payload); err != nil {
					problem = err
				}
			} else if f.Outcome() == fault.NotRun {
				refused[payload] = true
			}
		})
	}
	wg.Wait()
	w.EachServer(func(id, _, _ string, s *model.Server) {
		for payload := range refused {
			if s.RunsByPayload()[payload] > 0 {
				problem = fmt.Errorf("%s ran %s, which was refused as not run", id, payload)
			}
		}
	})
	return problem
}
