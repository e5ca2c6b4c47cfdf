package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
)

// A server repeats an answer without an ID late, where the answer to the next request is
// expected.
func TestLateCopyWithoutIDAnswersNoOtherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
		const second = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"
		p, _ := newTestPool(respondWith(first, first+second), respondWith(second))
		for _, want := range []string{"first", "second"} {
			reply, err := p.Exchange(t.Context(), "s", newCall())
			if err != nil || string(reply.Body) != want || reply.Match != First {
				t.Fatalf("got %v, %v, want %q", reply, err, want)
			}
		}
	})
}

// A connection has carried an answer with an ID. An answer without one may be a late copy
// or the server's refusal, and must not count as matched.
func TestAnswerWithoutIDOnReusedConnectionIsUnidentified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const misdirected = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
		p, dials := newTestPool(respondWith(okResponse, misdirected+okResponse), respondWith(okResponse))
		if _, err := p.Exchange(t.Context(), "s", newCall()); err != nil {
			t.Fatal(err)
		}
		reply, err := p.Exchange(t.Context(), "s", newCall())
		if err != nil || reply.Match != Unidentified || reply.Status != http.StatusMisdirectedRequest {
			t.Fatalf("got %v, %v, want an unidentified 421", reply, err)
		}
		if reply, err := p.Exchange(t.Context(), "s", newCall()); err != nil || reply.Match != Echoed || *dials != 2 {
			t.Fatalf("got %v, %v, %d dials, want the answer on a new connection", reply, err, *dials)
		}
	})
}

// A server stops in the middle of the head of its answer and closes the connection. No
// part of a head may count as an answer.
func TestHeadThatEndsEarlyIsNoAnswer(t *testing.T) {
	for _, response := range []string{
		okResponse,
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\n",
		"HTTP/1.0 200 OK\nId: a\n\n",
	} {
		for n := range len(response) {
			synctest.Test(t, func(t *testing.T) {
				p, _ := newTestPool(func(nc net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if _, err := io.WriteString(nc, response[:n]); err != nil {
						return
					}
				})
				if reply, err := p.Exchange(t.Context(), "s", newCall()); err == nil {
					t.Errorf("an answer that ends after %q counts as whole: %v", response[:n], reply)
				}
			})
		}
	}
}
