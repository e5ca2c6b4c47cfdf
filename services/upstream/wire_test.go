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

// TestChangedAnswers changes good answers in any way and wants each to be
// refused or to hold exactly the results that were sent.
func TestChangedAnswers(t *testing.T) {
	call := testCall(time.Now())
	results := []byte(`{"slots":[1,2,3]}`)
	good, err := EncodeAnswer(call, results, NewState(nil, "i", 1, false))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		body := bytes.Clone(good)
		switch rapid.IntRange(0, 3).Draw(rt, "how") {
		case 0:
			body = body[:rapid.IntRange(0, len(body)-1).Draw(rt, "short")]
		case 1:
			body[rapid.IntRange(0, len(body)-1).Draw(rt, "at")] = byte(rapid.IntRange(32, 126).Draw(rt, "byte"))
		case 2:
			other, _ := EncodeAnswer(call.WithAttempt("h/1/8"), results, State{})
			body = other
		case 3:
			other, _ := EncodeAnswer(call.WithShard(3), results, State{})
			body = other
		}
		a, err := DecodeAnswer(call, body)
		if err == nil && !bytes.Equal(a.Results(), results) {
			rt.Fatalf("changed results were accepted: %s", a.Results())
		}
	})
}

func serve(t *testing.T, h http.HandlerFunc) *table.Upstream {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return table.NewUpstream("u", netip.MustParseAddrPort(s.Listener.Addr().String()), "d", false)
}

// TestWhatFailuresProve wants each way to fail to say truthfully whether the
// request may have run.
func TestWhatFailuresProve(t *testing.T) {
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
		{"503 of something else", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, fault.UpstreamFailed, fault.Unknown},
		{"failure", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, fault.UpstreamFailed, fault.Unknown},
		{"broken connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, fault.ConnectionFailed, fault.Unknown},
		{"silence", func(_ http.ResponseWriter, r *http.Request) {
			// The server notices the end of a connection once the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, fault.ConnectionSilent, fault.Unknown},
		{"half an answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"attempt"`))
		}, fault.ConnectionFailed, fault.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := serve(t, c.handler)
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
