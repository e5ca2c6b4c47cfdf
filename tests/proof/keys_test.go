package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/tests/standin/model"
	"github.com/godwithatch/godwithatch/tests/standin/world"
)

// submission is one request with an idempotency key that a client sends to a host.
type submission struct {
	Key     int
	At      time.Duration
	Host    int
	Timeout time.Duration
}

var submissions = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) submission {
	return submission{
		Key:     rapid.IntRange(0, 4).Draw(t, "key"),
		At:      time.Duration(rapid.IntRange(0, 6000).Draw(t, "at ms")) * time.Millisecond,
		Host:    rapid.IntRange(0, hostCount-1).Draw(t, "host"),
		Timeout: time.Duration(rapid.IntRange(20, 1500).Draw(t, "timeout ms")) * time.Millisecond,
	}
}), 1, 25)

// outcome is the result that a client got for a request, or what the servers counted at
// the end of the test.
type outcome string

const (
	answered outcome = "answered"
	notRun   outcome = "not run"
	unknown  outcome = "unknown"
	neverRan outcome = "never ran"
	ranOnce  outcome = "ran once"
)

// keyModel is the oracle for the requests of one key. Its state says whether the request
// with the key has run. An answer means that it has run. "not run" is right only if it
// has not run by then. After an unknown outcome both are possible.
var keyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran := state.(bool)
		switch output.(outcome) {
		case answered:
			return []any{true}
		case notRun, neverRan:
			if ran {
				return nil
			}
			return []any{false}
		case ranOnce:
			if !ran {
				return nil
			}
			return []any{true}
		default:
			return []any{ran, true}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// maxRuns returns the number of runs of a key in the group that ran it most often.
func maxRuns(w *world.World, key string) (most int) {
	perGroup := map[int]int{}
	w.EachServer(func(id, _, _ string, s *model.Server) {
		var group, replica int
		_, _ = fmt.Sscanf(id, "main-%d-%d", &group, &replica)
		perGroup[group] += s.RunsByKey()[key]
	})
	for _, n := range perGroup {
		most = max(most, n)
	}
	return most
}

// TestKeysRunAtMostOnce sends requests with the same key through several hosts while
// faults are injected. Each group may run the key at most once. Whenever a host reports
// "not run", the key must not have run by then.
func TestKeysRunAtMostOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		plan, faults := submissions.Draw(rt, "submissions"), injectedFaults.Draw(rt, "faults")
		if err := runInWorld(t, smallConfig(), func(w *world.World) error { return checkKeys(w, plan, faults) }); err != nil {
			rt.Fatal(err)
		}
	})
}

func checkKeys(w *world.World, plan []submission, faults []injectedFault) error {
	var mu sync.Mutex
	histories := map[int][]porcupine.Operation{}
	record := func(key int, o porcupine.Operation) {
		mu.Lock()
		defer mu.Unlock()
		o.ClientId = len(histories[key])
		histories[key] = append(histories[key], o)
	}
	scheduleFaults(w, faults)
	var wg sync.WaitGroup
	for _, s := range plan {
		wg.Go(func() {
			time.Sleep(s.At)
			call := time.Now().UnixNano()
			_, f := w.Submit(s.Host, "book", fmt.Sprint("key-", s.Key), `{"book":1}`, s.Timeout)
			result, returned := unknown, time.Now().UnixNano()
			switch {
			case f == nil:
				result = answered
			case f.Outcome() == fault.NotRun:
				result = notRun
			default:
				// A request with an unknown outcome can still run after the client got
				// its reply.
				returned = time.Now().Add(time.Hour).UnixNano()
			}
			record(s.Key, porcupine.Operation{Call: call, Output: result, Return: returned})
		})
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	for key, history := range histories {
		n := maxRuns(w, fmt.Sprint("key-", key))
		if n > 1 {
			return fmt.Errorf("key %d ran %d times", key, n)
		}
		final := neverRan
		if n == 1 {
			final = ranOnce
		}
		end := time.Now().Add(2 * time.Hour).UnixNano()
		history = append(history, porcupine.Operation{ClientId: len(history), Call: end, Output: final, Return: end + 1})
		if !porcupine.CheckOperations(keyModel.ToModel(), history) {
			return fmt.Errorf("outcomes reported for key %d contradict each other or the number of its runs: %+v", key, history)
		}
	}
	return nil
}
