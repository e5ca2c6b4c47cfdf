package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// serverConn acts as the server on one connection.
type serverConn func(nc net.Conn, r *bufio.Reader)

// newTestPool returns a pool and a pointer to the number of its dials. The n-th element
// of servers serves the n-th connection. Dials beyond the last element are refused.
func newTestPool(servers ...serverConn) (*Pool, *int) {
	dials := 0
	return NewPool(Options{EchoHeader: "Id", Dial: func(context.Context, string) (net.Conn, error) {
		if dials == len(servers) {
			return nil, syscall.ECONNREFUSED
		}
		clientSide, serverSide := net.Pipe()
		serve := servers[dials]
		dials++
		go func() {
			defer serverSide.Close()
			serve(serverSide, bufio.NewReader(serverSide))
		}()
		return clientSide, nil
	}}), &dials
}

// respond reads one request and writes text as the response. It reports whether both
// succeeded.
func respond(nc net.Conn, r *bufio.Reader, text string) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	_, err = io.WriteString(nc, text)
	return err == nil
}

// respondWith returns a server that answers the n-th request on its connection with the
// n-th element of texts, and closes the connection after the last element.
func respondWith(texts ...string) serverConn {
	return func(nc net.Conn, r *bufio.Reader) {
		for _, text := range texts {
			if !respond(nc, r, text) {
				return
			}
		}
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"

func newCall() *Call {
	return &Call{Method: http.MethodGet, Target: "/x?y=1", Host: "h", RequestID: "a"}
}

func TestPoolReusesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, dials := newTestPool(respondWith(okResponse, okResponse))
		for range 2 {
			reply, err := p.Exchange(t.Context(), "s", newCall())
			if err != nil || string(reply.Body) != "ok" {
				t.Fatalf("got %v, %v", reply, err)
			}
		}
		if *dials != 1 || p.OpenConnections() != 1 {
			t.Fatalf("%d dials, %d open, want 1 and 1", *dials, p.OpenConnections())
		}
		p.CloseIdleConnections([]string{"s"})
		if p.OpenConnections() != 0 {
			t.Fatalf("%d open connections after CloseIdleConnections, want 0", p.OpenConnections())
		}
	})
}

// The store drops its history and then closes the connections of pending watches. If the
// client retried such a call by itself, it would wait for changes after a revision whose
// history the store no longer has. Exchange must return the failure instead (jeroa-find,
// scale-1: CONFIG).
func TestExchangeDoesNotRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, dials := newTestPool(respondWith(okResponse), respondWith(okResponse))
		if _, err := p.Exchange(t.Context(), "s", newCall()); err != nil {
			t.Fatal(err)
		}
		// The server has closed the connection that the pool kept for reuse.
		_, err := p.Exchange(t.Context(), "s", newCall())
		var failure *Failure
		if !errors.As(err, &failure) || failure.Stage != Sent {
			t.Fatalf("got %v, want a failure after which the request may have run", err)
		}
		if *dials != 1 {
			t.Fatalf("%d dials, want 1: the call was retried", *dials)
		}
	})
}

func TestExchangeSkipsResponsesToOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 5\r\n\r\nwrong"
		p, dials := newTestPool(respondWith(other+okResponse), respondWith(okResponse))
		for i := range 2 {
			reply, err := p.Exchange(t.Context(), "s", newCall())
			if err != nil || string(reply.Body) != "ok" {
				t.Fatalf("%d: got %v, %v", i, reply, err)
			}
		}
		if *dials != 2 {
			t.Fatal("a connection that had delivered a surplus response was reused")
		}
	})
}

func TestBytesAfterResponseCloseConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, dials := newTestPool(respondWith(okResponse+"HTTP/1.1 200 OK\r\n"), respondWith(okResponse))
		for range 2 {
			if reply, err := p.Exchange(t.Context(), "s", newCall()); err != nil || string(reply.Body) != "ok" {
				t.Fatalf("got %v, %v", reply, err)
			}
		}
		if *dials != 2 {
			t.Fatalf("%d dials, want 2", *dials)
		}
	})
}

func TestExchangeRejectsMalformedResponses(t *testing.T) {
	tests := []struct{ name, text string }{
		{"truncated body", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nok"},
		{"no HTTP response", "\x00\x01garbage\r\n\r\n"},
		{"truncated header", "HTTP/1.1 200 OK\r\nId: a\r\n"},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok"},
		{"response to another request only", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nok"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, _ := newTestPool(respondWith(test.text))
				reply, err := p.Exchange(t.Context(), "s", newCall())
				var failure *Failure
				if !errors.As(err, &failure) || failure.Stage == Unsent {
					t.Fatalf("got %v, %v, want a failure after which the request may have run", reply, err)
				}
				if p.OpenConnections() != 0 {
					t.Fatal("the connection was kept")
				}
			})
		})
	}
}

func TestResponseWithoutLengthEndsAtClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newTestPool(respondWith("HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it"))
		reply, err := p.Exchange(t.Context(), "s", newCall())
		if err != nil || string(reply.Body) != "all of it" || p.OpenConnections() != 0 {
			t.Fatalf("got %v, %v, %d open", reply, err, p.OpenConnections())
		}
	})
}

// A server responds before it has read a large request body. The connection must be
// closed, since the rest of the body would otherwise precede the next request on it.
func TestEarlyResponseClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newTestPool(func(nc net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(nc, "HTTP/1.1 413 Too Large\r\nId: a\r\nContent-Length: 0\r\n\r\n") //nolint:errcheck // The exchange fails if this write does.
		})
		c := newCall()
		c.Method, c.Body = http.MethodPost, make([]byte, 4*maxInlineBody)
		reply, err := p.Exchange(t.Context(), "s", c)
		if err != nil || reply.Status != http.StatusRequestEntityTooLarge || p.OpenConnections() != 0 {
			t.Fatalf("got %v, %v, %d open", reply, err, p.OpenConnections())
		}
	})
}

func TestExchangeEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newTestPool(func(_ net.Conn, r *bufio.Reader) {
			io.Copy(io.Discard, r) //nolint:errcheck // It ends when the client closes.
		})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := p.Exchange(ctx, "s", newCall())
		if !errors.Is(err, context.DeadlineExceeded) || time.Since(start) != 300*time.Millisecond {
			t.Fatalf("got %v after %s", err, time.Since(start))
		}
	})
}

// resetConn is a connection that the server has reset: each read fails with ECONNRESET.
type resetConn struct{ net.Conn }

func (resetConn) Read([]byte) (int, error) { return 0, syscall.ECONNRESET }

// A server at its connection limit resets each new connection, for example because the
// connections of a host that has lost power still count towards the limit. Exchange
// must fail with the stage Reset (jeroa-find, scale-2).
func TestResetOfNewConnectionIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(Options{Dial: func(context.Context, string) (net.Conn, error) {
			clientSide, serverSide := net.Pipe()
			go io.Copy(io.Discard, serverSide) //nolint:errcheck // It ends when the client closes.
			return resetConn{clientSide}, nil
		}})
		_, err := p.Exchange(t.Context(), "s", newCall())
		var failure *Failure
		if !errors.As(err, &failure) || failure.Stage != Reset {
			t.Fatalf("got %v, want a failure with stage Reset", err)
		}
	})
}

func TestIdleConnectionsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withKeepAlive := "HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nok"
		respondThenHold := func(text string) serverConn {
			return func(nc net.Conn, r *bufio.Reader) {
				respond(nc, r, text)
				io.Copy(io.Discard, r) //nolint:errcheck // It ends when the client closes.
			}
		}
		p, dials := newTestPool(respondThenHold(withKeepAlive), respondThenHold(okResponse))
		for range 2 {
			if _, err := p.Exchange(t.Context(), "s", newCall()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1800 * time.Millisecond)
		}
		if *dials != 2 {
			t.Fatal("a connection was used within 0.3 s of the idle timeout that its server announced")
		}
		time.Sleep(time.Minute)
		p.Prune(time.Now())
		if p.OpenConnections() != 0 {
			t.Fatalf("%d open connections after one idle minute, want 0", p.OpenConnections())
		}
	})
}

func TestFreshCallDoesNotUseIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, dials := newTestPool(respondWith(okResponse, okResponse), respondWith(okResponse))
		c := newCall()
		c.RequireFresh = true
		for range 2 {
			if _, err := p.Exchange(t.Context(), "s", c); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
		}
		if *dials != 2 {
			t.Fatal("a connection that had been idle for 2 s was reused")
		}
	})
}

// The server restarts between two calls of which the second goes on where the first ended.
// The second must not go over a connection that was opened after the restart.
func TestCallGoesOnOverConnectionThatWasOpenBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, dials := newTestPool(respondWith(okResponse, okResponse), respondWith(okResponse, okResponse))
		goOn := newCall()
		goOn.OpenBy = time.Now()
		if _, err := p.Exchange(t.Context(), "s", goOn); !errors.Is(err, ErrNotConnected) || *dials != 0 {
			t.Fatalf("without a connection: %v, %d dials; want %v and none", err, *dials, ErrNotConnected)
		}
		first, err := p.Exchange(t.Context(), "s", newCall())
		if err != nil || !first.IsConnectionKept || first.SentAt != time.Now() {
			t.Fatalf("the first response is %+v, %v", first, err)
		}
		time.Sleep(time.Second)
		old := p.popUsable("s", false, time.Time{})
		if _, err := p.Exchange(t.Context(), "s", newCall()); err != nil {
			t.Fatal(err)
		}
		goOn.OpenBy = first.SentAt
		if _, err := p.Exchange(t.Context(), "s", goOn); !errors.Is(err, ErrNotConnected) {
			t.Errorf("with only a newer connection: %v, want %v", err, ErrNotConnected)
		}
		p.mu.Lock()
		p.idle["s"] = append([]*conn{old}, p.idle["s"]...)
		p.mu.Unlock()
		if _, err := p.Exchange(t.Context(), "s", goOn); err != nil {
			t.Errorf("with an older connection: %v", err)
		}
		p.CloseIdleConnections([]string{"s"})
	})
}

// A response to HEAD and a response with status 304 may contain a Content-Length although
// no body follows. Exchange must not wait for a body, and must reuse the connection.
func TestResponseToHeadAnd304HasNoBody(t *testing.T) {
	for method, head := range map[string]string{
		http.MethodHead: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\n",
		http.MethodGet:  "HTTP/1.1 304 Not Modified\r\nId: a\r\nContent-Length: 5\r\n\r\n",
	} {
		synctest.Test(t, func(t *testing.T) {
			respond := func(nc net.Conn, r *bufio.Reader) {
				for range 2 {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					io.WriteString(nc, head) //nolint:errcheck // The exchange fails if this write does.
				}
			}
			p, dials := newTestPool(respond, respond)
			for range 2 {
				c := newCall()
				c.Method = method
				reply, err := p.Exchange(t.Context(), "a", c)
				if err != nil || len(reply.Body) != 0 {
					t.Fatalf("%s: %v, %v", method, reply, err)
				}
			}
			if *dials != 1 {
				t.Errorf("%s: %d connections for two complete responses, want 1", method, *dials)
			}
			p.Prune(time.Now().Add(time.Hour))
		})
	}
}
