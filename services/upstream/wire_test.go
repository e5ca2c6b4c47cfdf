package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/table"
)

func testCall(deadline time.Time) Call {
	return NewCall("h/1/7", "r", Holding{41, 2, 10}, deadline, []byte(`{"q":1}`))
}

// TestDecodeAnswerDetectsAlteredAnswers truncates or alters an encoded answer, or
// replaces it with one for another attempt or shard. DecodeAnswer must reject it or
// return exactly the results that were encoded.
func TestDecodeAnswerDetectsAlteredAnswers(t *testing.T) {
	call := testCall(time.Now())
	results := []byte(`{"slots":[1,2,3]}`)
	encoded, err := EncodeAnswer(call, results, NewState(nil, "i", 1, false))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		body := bytes.Clone(encoded)
		switch rapid.IntRange(0, 3).Draw(rt, "alteration") {
		case 0:
			body = body[:rapid.IntRange(0, len(body)-1).Draw(rt, "length")]
		case 1:
			body[rapid.IntRange(0, len(body)-1).Draw(rt, "position")] = byte(rapid.IntRange(32, 126).Draw(rt, "byte"))
		case 2:
			other, _ := EncodeAnswer(call.WithAttempt("h/1/8"), results, State{})
			body = other
		case 3:
			other, _ := EncodeAnswer(call.WithShard(3), results, State{})
			body = other
		}
		a, err := DecodeAnswer(call, body)
		if err == nil && !bytes.Equal(a.Results(), results) {
			rt.Fatalf("altered results accepted: %s", a.Results())
		}
	})
}

func startServer(t *testing.T, h http.HandlerFunc) *table.Upstream {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return table.NewUpstream("u", netip.MustParseAddrPort(s.Listener.Addr().String()), "d", false)
}

// TestFailureOutcomeTellsWhetherCallMayHaveRun makes a call fail in several ways.
// The outcome of the fault that Do returns must be NotRun only if the server
// cannot have run the call. Otherwise the caller could run a non-idempotent
// request twice.
func TestFailureOutcomeTellsWhetherCallMayHaveRun(t *testing.T) {
	refuse := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		c, _ := DecodeCall(body)
		reply, _ := EncodeRefusal(c.Attempt(), ReasonShed, NewState(nil, "i", 3, false))
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write(reply)
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		kind    fault.Kind
		outcome fault.Outcome
	}{
		{"refusal", refuse, fault.UpstreamRefused, fault.NotRun},
		{"503 without refusal", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, fault.UpstreamFailed, fault.Unknown},
		{"internal server error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, fault.UpstreamFailed, fault.Unknown},
		{"broken connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, fault.ConnectionFailed, fault.Unknown},
		{"no response on pooled connection", func(_ http.ResponseWriter, r *http.Request) {
			// net/http detects a closed connection only after the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, fault.ConnectionSilent, fault.Unknown},
		{"truncated answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"attempt"`))
		}, fault.ConnectionFailed, fault.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := startServer(t, c.handler)
			_, err := NewClient(50*time.Millisecond).Do(context.Background(), u, testCall(time.Now().Add(time.Minute)))
			if f := fault.From(err); f.Kind() != c.kind || f.Outcome() != c.outcome {
				t.Fatal(err)
			}
		})
	}
	t.Run("refused connection", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		u := table.NewUpstream("u", netip.MustParseAddrPort(l.Addr().String()), "d", false)
		_ = l.Close()
		_, err = NewClient(time.Second).Do(context.Background(), u, testCall(time.Now().Add(time.Minute)))
		if f := fault.From(err); f.Kind() != fault.ConnectionFailed || f.Outcome() != fault.NotRun {
			t.Fatal(err)
		}
	})
}
