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

// TestAnswerOfAnotherRequest wants answers that are crossed, changed or short to
// be refused.
func TestAnswerOfAnotherRequest(t *testing.T) {
	holding := testCall().Holding()
	other := holding
	other.Snapshot++
	good := response{Attempt: "a/1", Holding: &holding, Results: []byte(`[1]`), Digest: upstream.Digest([]byte(`[1]`))}
	if _, err := good.answer(testCall()); err != nil {
		t.Fatal(err)
	}
	crossed, changed, short := good, good, good
	crossed.Attempt = "a/2"
	changed.Holding = &other
	short.Results = []byte(`[`)
	for _, bad := range []response{crossed, changed, short, {}} {
		if _, err := bad.answer(testCall()); !fault.Is(err, fault.CorruptReply) {
			t.Fatalf("%+v was accepted: %v", bad, err)
		}
	}
}

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
		// A message without the body of its kind must be refused, not followed.
		req = request{Kind: req.Kind}
		if req.Kind < KindConfiguration || req.Kind > KindClaim {
			if r := transport.dispatch(t.Context(), "h", &req); r.Fault == nil {
				t.Fatal("an empty message was accepted")
			}
		}
	})
}
