package peer

import (
	"bytes"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/upstream"
)

func testCall() upstream.Call {
	return upstream.NewCall("a/1", "r", upstream.Holding{Snapshot: 41, Shard: 1, Shards: 3}, time.UnixMilli(1), []byte(`{}`))
}

// TestAnswerRejectsResponseThatDoesNotMatchCall checks that a response with the attempt
// or the holding of another call, with truncated results or without content is never
// returned as the answer to a call.
func TestAnswerRejectsResponseThatDoesNotMatchCall(t *testing.T) {
	holding := testCall().Holding()
	otherHolding := holding
	otherHolding.Snapshot++
	valid := response{Attempt: "a/1", Holding: &holding, Results: []byte(`[1]`), Digest: upstream.Digest([]byte(`[1]`))}
	if _, err := valid.answer(testCall()); err != nil {
		t.Fatal(err)
	}
	wrongAttempt, wrongHolding, truncated := valid, valid, valid
	wrongAttempt.Attempt = "a/2"
	wrongHolding.Holding = &otherHolding
	truncated.Results = []byte(`[`)
	for _, invalid := range []response{wrongAttempt, wrongHolding, truncated, {}} {
		if _, err := invalid.answer(testCall()); !fault.Is(err, fault.CorruptReply) {
			t.Fatalf("answer() of response %+v: error = %v, want a CorruptReply fault", invalid, err)
		}
	}
}

// FuzzMessage checks that decoding a request with arbitrary content does not panic.
// Dispatch must reject a request of an unknown kind, an exchange without a message, a
// probe without a target and a forward without a call.
func FuzzMessage(f *testing.F) {
	body, _ := cbor.Marshal(request{Kind: KindForward, Forward: newForward("s", testCall())})
	f.Add(body)
	f.Add([]byte{0xa0})
	transport := &Transport{}
	f.Fuzz(func(t *testing.T, body []byte) {
		var req request
		if decodeMessage(bytes.NewReader(body), &req) != nil {
			return
		}
		if req.Forward != nil {
			_ = req.Forward.call()
		}
		// Dispatch must reject the request before it uses the missing field.
		req = request{Kind: req.Kind}
		if req.Kind < KindConfiguration || req.Kind > KindClaim {
			if r := transport.dispatch(t.Context(), "h", &req); r.Fault == nil {
				t.Fatalf("dispatch returned no fault for kind %d without its field", req.Kind)
			}
		}
	})
}
