package query

import (
	"testing"

	"github.com/godwithatch/godwithatch/services/upstream"
)

func BenchmarkMergeAnswers59Shards(b *testing.B) {
	answers := make([]*upstream.Answer, 59)
	for i := range answers {
		answers[i] = upstream.NewAnswer(upstream.Holding{Snapshot: 41, Shard: i, Shards: 59}, []byte(`{"slots":[]}`))
	}
	b.ReportAllocs()
	for b.Loop() {
		result := mergeAnswers("p", 41, answers)
		if result.Answered() != 59 {
			b.Fatal(result.Missing())
		}
	}
}
