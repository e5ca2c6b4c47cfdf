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

// submission is one sending of a key through a host.
type submission struct {
	Key  int
	At   time.Duration
	Host int
	Wait time.Duration
}

var submissions = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) submission {
	return submission{
		Key:  rapid.IntRange(0, 4).Draw(t, "key"),
		At:   time.Duration(rapid.IntRange(0, 6000).Draw(t, "at ms")) * time.Millisecond,
		Host: rapid.IntRange(0, daemons-1).Draw(t, "host"),
		Wait: time.Duration(rapid.IntRange(20, 1500).Draw(t, "timeout ms")) * time.Millisecond,
	}
}), 1, 25)

type outcome string

const (
	answered outcome = "answered"
	notRun   outcome = "not run"
	unknown  outcome = "unknown"
	ledger0  outcome = "never ran"
	ledger1  outcome = "ran once"
)

// keyModel is the oracle for one key: it has run or not. An answer means that it
// has run; "not run" must be true when it is given; unknown may be either.
var keyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran := state.(bool)
		switch output.(outcome) {
		case answered:
			return []any{true}
		case notRun, ledger0:
			if ran {
				return nil
			}
			return []any{false}
		case ledger1:
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

// runs returns how often each key ran in each group, at the most.
func runs(w *world.World, key string) (most int) {
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

// TestKeysRunAtMostOnce proves that a request with a key runs at most once, and
// that "not run" is true, while copies go through several hosts and anything
// fails.
func TestKeysRunAtMostOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		plan, faults := submissions.Draw(rt, "submissions"), disturbances.Draw(rt, "faults")
		if err := inWorld(t, small(), func(w *world.World) error { return checkKeys(w, plan, faults) }); err != nil {
			rt.Fatal(err)
		}
	})
}

func checkKeys(w *world.World, plan []submission, faults []disturbance) error {
	var mu sync.Mutex
	histories := map[int][]porcupine.Operation{}
	record := func(key int, o porcupine.Operation) {
		mu.Lock()
		defer mu.Unlock()
		o.ClientId = len(histories[key])
		histories[key] = append(histories[key], o)
	}
	befall(w, faults)
	var wg sync.WaitGroup
	for _, s := range plan {
		wg.Go(func() {
			time.Sleep(s.At)
			call := time.Now().UnixNano()
			_, f := w.Submit(s.Host, "book", fmt.Sprint("key-", s.Key), `{"book":1}`, s.Wait)
			result, ret := unknown, time.Now().UnixNano()
			switch {
			case f == nil:
				result = answered
			case f.Outcome() == fault.NotRun:
				result = notRun
			default:
				// What is unknown may still run after the reply.
				ret = time.Now().Add(time.Hour).UnixNano()
			}
			record(s.Key, porcupine.Operation{Call: call, Output: result, Return: ret})
		})
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	for key, history := range histories {
		n := runs(w, fmt.Sprint("key-", key))
		if n > 1 {
			return fmt.Errorf("key %d ran %d times", key, n)
		}
		final := ledger0
		if n == 1 {
			final = ledger1
		}
		end := time.Now().Add(2 * time.Hour).UnixNano()
		history = append(history, porcupine.Operation{ClientId: len(history), Call: end, Output: final, Return: end + 1})
		if !porcupine.CheckOperations(keyModel.ToModel(), history) {
			return fmt.Errorf("the history of key %d cannot be explained: %+v", key, history)
		}
	}
	return nil
}
