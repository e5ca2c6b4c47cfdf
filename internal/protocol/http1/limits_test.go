package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// sendEndlessly returns a server that answers its first request with head, and then sends
// text until the client closes the connection.
func sendEndlessly(head, text string) serverConn {
	return func(nc net.Conn, r *bufio.Reader) {
		if !respond(nc, r, head) {
			return
		}
		chunk := []byte(strings.Repeat(text, 1+(32<<10)/len(text)))
		for {
			if _, err := nc.Write(chunk); err != nil {
				return
			}
		}
	}
}

// endlessResponses are responses without end, by what has no end.
var endlessResponses = map[string]serverConn{
	"header field":    sendEndlessly("HTTP/1.1 200 OK\r\nX: ", "a"),
	"header":          sendEndlessly("HTTP/1.1 200 OK\r\n", "X: a\r\n"),
	"status line":     sendEndlessly("HTTP/1.1 200 ", "a"),
	"no line":         sendEndlessly("", "a"),
	"empty lines":     sendEndlessly("HTTP/1.1 200 OK\r\nId: a\r\nX:", " \r\n"),
	"1xx responses":   sendEndlessly("", "HTTP/1.1 100 Continue\r\n\r\n"),
	"body":            sendEndlessly("HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "a"),
	"chunks":          sendEndlessly("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat("a", 0x1000)+"\r\n"),
	"small chunks":    sendEndlessly("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"),
	"chunk extension": sendEndlessly("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"),
	"trailer":         sendEndlessly("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: a\r\n"),
	"other responses": sendEndlessly("", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nb"),
	"announced body":  sendEndlessly("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 16000000\r\n\r\n", "a"),
}

// A server sends a head or a body without end. The exchange must fail long before the
// deadline, in bounded memory, and must say that the server may have executed the request.
// Only a body with a length within the limit may be an answer.
func TestEndlessResponseFailsInBoundedMemory(t *testing.T) {
	const maxAllocated = 2*maxBodyForTest + 4<<20
	for name, server := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			p, _ := newTestPool(server)
			p.opts.MaxBody = maxBodyForTest
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := p.Exchange(ctx, "s", newCall())
			runtime.ReadMemStats(&after)
			var failure *Failure
			if !errors.As(err, &failure) || failure.Stage != Sent || ctx.Err() != nil {
				t.Errorf("got %v, want a failure of a sent request before the deadline", err)
			}
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated {
				t.Errorf("the exchange allocated %d MB, want %d at most", allocated>>20, maxAllocated>>20)
			}
			if p.OpenConnections() != 0 {
				t.Errorf("%d connections are open after the failure", p.OpenConnections())
			}
		})
	}
}

const maxBodyForTest = 1 << 20

// Many servers send bodies without end at the same time. Together they must not use more
// memory than the pool has for bodies, while other servers are answered.
func TestEndlessBodiesShareMemoryOfPool(t *testing.T) {
	const maxBodies, servers = 4 << 20, 40
	endless := sendEndlessly("HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "a")
	p := NewPool(Options{EchoHeader: "Id", MaxBodies: maxBodies, Dial: func(_ context.Context, address string) (net.Conn, error) {
		clientSide, serverSide := net.Pipe()
		serve := endless
		if address == "good" {
			serve = func(nc net.Conn, r *bufio.Reader) {
				for respond(nc, r, okResponse) {
				}
			}
		}
		go func() {
			defer serverSide.Close()
			serve(serverSide, bufio.NewReader(serverSide))
		}()
		return clientSide, nil
	}})
	var running sync.WaitGroup
	for range servers {
		running.Go(func() {
			if _, err := p.Exchange(t.Context(), "bad", newCall()); err == nil {
				t.Error("a body without end is an answer")
			}
		})
	}
	for range servers {
		if used := p.memory.used.Load(); used > 2*maxBodies {
			t.Errorf("bodies use %d bytes, the limit is %d", used, maxBodies)
		}
		if reply, err := p.Exchange(t.Context(), "good", newCall()); err != nil || string(reply.Body) != "ok" {
			t.Errorf("another server: got %v, %v", reply, err)
		}
	}
	running.Wait()
	p.CloseIdleConnections([]string{"good"})
	if p.RejectedBodies() == 0 {
		t.Error("no body was cut off because of the memory")
	}
	if used := p.memory.used.Load(); used != 0 {
		t.Errorf("%d bytes are still counted after the end", used)
	}
}

// A large body that is within the limits arrives whole, with and without a length.
func TestLargeBodyArrivesWhole(t *testing.T) {
	text := strings.Repeat("0123456789abcdef", 50_000)
	for _, head := range []string{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 800000\r\n\r\n", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"} {
		p, _ := newTestPool(respondWith(head + text))
		p.opts.MaxBody = maxBodyForTest
		if reply, err := p.Exchange(t.Context(), "s", newCall()); err != nil || string(reply.Body) != text {
			t.Errorf("head %q: %v", head, err)
		}
	}
}

// FuzzResponse reads arbitrary bytes as the response to a request. The exchange must end
// once the bytes do, and an answer must echo the request's ID or be the first response.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(okResponse))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + okResponse))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nb" + okResponse))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=99999999999999999999\r\nContent-Length: -1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		p := NewPool(Options{EchoHeader: "Id", MaxBody: 4 << 10, Dial: func(context.Context, string) (net.Conn, error) {
			clientSide, serverSide := net.Pipe()
			go func() {
				defer serverSide.Close()
				r := bufio.NewReader(serverSide)
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				if _, err := serverSide.Write(text); err != nil && !errors.Is(err, syscall.EPIPE) {
					return
				}
			}()
			return clientSide, nil
		}})
		reply, err := p.Exchange(t.Context(), "s", newCall())
		if err != nil {
			return
		}
		if echo := reply.Header.Get("Id"); echo != "" && echo != "a" {
			t.Errorf("the answer to request a has the ID %q", echo)
		}
		if len(reply.Body) > 4<<10 {
			t.Errorf("the body has %d bytes, the limit is %d", len(reply.Body), 4<<10)
		}
	})
}
