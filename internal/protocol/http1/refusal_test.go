package http1

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// breakOff reads one request and closes the connection without a response.
func breakOff(_ net.Conn, r *bufio.Reader) {
	if req, err := http.ReadRequest(r); err == nil {
		req.Body.Close()
	}
}

func waitForClose(_ net.Conn, r *bufio.Reader) { r.ReadByte() } //nolint:errcheck // The peer closes.

// A server that broke off one connection either runs on or has ended. The check of one that
// runs opens one connection and keeps it for the next exchange and the next check.
func TestServerThatEndedIsToldFromBrokenConnection(t *testing.T) {
	tests := map[string]struct {
		servers []serverConn
		want    bool
		dials   int
	}{
		"ended": {[]serverConn{breakOff}, true, 1},
		"runs":  {[]serverConn{breakOff, waitForClose}, false, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, dials := newTestPool(test.servers...)
				if _, err := p.Exchange(t.Context(), "a", &Call{Method: http.MethodGet, Target: "/", Host: "h", RequestID: "1"}); err == nil {
					t.Fatal("got a response, want a broken connection")
				}
				for range 2 {
					if got := p.IsRefusing(t.Context(), "a"); got != test.want {
						t.Fatalf("refuses connections: %t, want %t", got, test.want)
					}
				}
				if *dials != test.dials {
					t.Fatalf("%d connections were opened, want %d", *dials, test.dials)
				}
				p.Prune(time.Now().Add(time.Hour))
			})
		})
	}
}
