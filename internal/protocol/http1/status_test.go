package http1

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// A server in trouble answers with a status that does not exist, and further bytes follow.
func TestStatusThatDoesNotExistIsNoAnswer(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nx"
	tests := map[string]string{
		"000 without a body, then an answer": "HTTP/1.1 000 \r\nId: 1\r\n\r\n" + next,
		"000 with a body":                    "HTTP/1.1 000 \r\nId: 1\r\nContent-Length: 1\r\n\r\nx",
		"099":                                "HTTP/1.1 099 \r\nId: 1\r\n\r\n" + next,
		"101":                                "HTTP/1.1 101 Switching Protocols\r\nId: 1\r\n\r\n" + next,
		"600":                                "HTTP/1.1 600 \r\nId: 1\r\nContent-Length: 1\r\n\r\nx",
		"999":                                "HTTP/1.1 999 \r\nId: 1\r\nContent-Length: 1\r\n\r\nx",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, _ := newTestPool(respondWith(text))
				reply, err := p.Exchange(t.Context(), "a", &Call{Method: http.MethodGet, Target: "/", Host: "h", RequestID: "1"})
				var failure *Failure
				if !errors.As(err, &failure) || failure.Stage != Sent {
					t.Errorf("got %v, %v; want a failure after the request was sent", reply, err)
				}
				if n := p.OpenConnections(); n != 0 {
					t.Errorf("%d connections are kept", n)
				}
				p.Prune(time.Now().Add(time.Hour))
			})
		})
	}
}

func TestInterimResponsesAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newTestPool(respondWith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 599 \r\nId: 1\r\nContent-Length: 1\r\n\r\nx"))
		reply, err := p.Exchange(t.Context(), "a", &Call{Method: http.MethodGet, Target: "/", Host: "h", RequestID: "1"})
		if err != nil || reply.Status != 599 {
			t.Errorf("got %v, %v; want status 599", reply, err)
		}
		p.Prune(time.Now().Add(time.Hour))
	})
}
