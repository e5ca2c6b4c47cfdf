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

// publication is an index version that the servers load one after another: the first
// server at At, and each further server Interval after the previous one. A server drops
// the versions that it holds, unless KeepsOlder is set.
type publication struct {
	Version    uint64
	Shards     int
	At         time.Duration
	Interval   time.Duration
	KeepsOlder bool
}

var publications = rapid.Custom(func(t *rapid.T) []publication {
	n := rapid.IntRange(0, 3).Draw(t, "publications")
	list := make([]publication, n)
	for i := range list {
		list[i] = publication{
			Version:    uint64(42 + i),
			Shards:     rapid.SampledFrom([]int{1, 3, 3}).Draw(t, "shards"),
			At:         time.Duration(rapid.IntRange(0, 4000).Draw(t, "at ms")) * time.Millisecond,
			Interval:   time.Duration(rapid.IntRange(0, 100).Draw(t, "each ms")) * time.Millisecond,
			KeepsOlder: rapid.Bool().Draw(t, "keep the older"),
		}
	}
	return list
})

// schedulePublications schedules the loading of each version, one server at a time.
func schedulePublications(w *world.World, list []publication) {
	for _, p := range list {
		for g := range 3 {
			for r := range 3 {
				time.AfterFunc(p.At+time.Duration(3*g+r)*p.Interval, func() {
					s := w.Server("main", g, r)
					holdings := []upstream.Holding{{Snapshot: p.Version, Shard: g % p.Shards, Shards: p.Shards}}
					if p.KeepsOlder {
						holdings = append(holdings, s.State().Holdings()...)
					}
					s.SetHoldings(holdings)
				})
			}
		}
	}
}

// checkAnswer returns an error unless all shard replies of an answer are of the answer's
// snapshot and belong to the request, and the answer lists each shard exactly once,
// either as answered or as missing.
func checkAnswer(r *query.Result, payload string) error {
	seen := map[int]bool{}
	for _, reply := range r.Shards() {
		var data struct {
			Snapshot uint64
			Shard    int
			Echo     string
		}
		if err := json.Unmarshal(reply.Data, &data); err != nil {
			return fmt.Errorf("shard reply cannot be decoded: %w", err)
		}
		switch {
		case data.Snapshot != r.Snapshot():
			return fmt.Errorf("shard reply is of snapshot %d, the answer of snapshot %d", data.Snapshot, r.Snapshot())
		case data.Shard != reply.Shard || seen[reply.Shard]:
			return fmt.Errorf("reply of shard %d is listed as shard %d, or the shard is listed twice", data.Shard, reply.Shard)
		case data.Echo != payload:
			return fmt.Errorf("shard reply echoes %q, the request was %q", data.Echo, payload)
		}
		seen[reply.Shard] = true
	}
	for _, m := range r.Missing() {
		if seen[m] {
			return fmt.Errorf("shard %d is listed both as missing and as answered, or twice as missing", m)
		}
		seen[m] = true
	}
	if len(seen) != r.Total() || r.Answered()+len(r.Missing()) != r.Total() {
		return fmt.Errorf("%d answered and %d missing shards do not add up to %d", r.Answered(), len(r.Missing()), r.Total())
	}
	return nil
}

// TestAnswersAreOneSnapshot publishes index versions and injects faults while queries
// run. Each answer must consist of replies of one snapshot, state its coverage correctly
// and belong to its request. If a request is refused as "not run", no server may have run
// it.
func TestAnswersAreOneSnapshot(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		versions, faults := publications.Draw(rt, "versions"), injectedFaults.Draw(rt, "faults")
		if err := runInWorld(t, smallConfig(), func(w *world.World) error { return checkAnswers(w, versions, faults) }); err != nil {
			rt.Fatal(err)
		}
	})
}

func checkAnswers(w *world.World, versions []publication, faults []injectedFault) error {
	scheduleFaults(w, faults)
	schedulePublications(w, versions)
	var mu sync.Mutex
	var problem error
	refused := map[string]bool{}
	var wg sync.WaitGroup
	for i := range 300 {
		time.Sleep(20 * time.Millisecond)
		wg.Go(func() {
			payload := fmt.Sprintf(`{"n":%d}`, i)
			r, f := w.Submit(i%hostCount, "main", "", payload, 300*time.Millisecond)
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
				problem = fmt.Errorf("server %s ran request %s, which was refused as not run", id, payload)
			}
		}
	})
	return problem
}
