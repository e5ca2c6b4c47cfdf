//go:build review

package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for a server of a service. Without the fields that spoil its
// answers it is a sound server: it processes capacity requests at a time, queues a few
// more, refuses the rest with Not-Executed, refuses requests for another instance with
// 421, and serves one request at a time on a connection.
type server struct {
	id, service, zone, address string
	capacity, queue            int
	// work returns the time that a request takes.
	work func() time.Duration
	// echoes says whether an answer repeats the Request-Id. Without it, all do.
	echoes func(status int) bool
	// answer returns the answer to a request that has run; nil stands for a success.
	answer func(s *server, id string) *answer
	// second says whether a second copy of an answer follows, late: at the point where
	// the next answer on the connection is expected.
	second func() bool
	// lose says whether an answer is lost: the connection is reset or closed instead.
	lose func() bool
	// trailing says whether an answer is sent without a length, with additional bytes after
	// it, until the server closes the connection.
	trailing func() bool
	// endless means that the body of a success does not end until the caller closes.
	endless bool
	// endlessHead is the same for the head.
	endlessHead bool
	// pauses is the offset of the server's pauses; 0 means that it never pauses.
	pauses time.Duration
	// parts means that the body of an answer consists of records.
	parts bool

	sequence atomic.Int64
	running  atomic.Int64
	slots    chan struct{}
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	gone     bool
	ledger   *ledger
}

// trailingBytes is the number of additional bytes after an answer.
const trailingBytes = 14 << 20

// answer is the answer of a server.
type answer struct {
	status      int
	signature   string
	notExecuted bool
	body        []byte
}

func (a *answer) encode(id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	if id != "" {
		fmt.Fprintf(&b, "Request-Id: %s\r\n", id)
	}
	if a.signature != "" {
		fmt.Fprintf(&b, "Server-Signature: %s\r\n", a.signature)
	}
	if a.notExecuted {
		b.WriteString("Not-Executed: 1\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(a.body))
	b.Write(a.body)
	return b.Bytes()
}

// signatureOf returns the signature of a server for a request, and the bytes that the
// server answers.
func (s *server) signatureOf(id string) (string, []byte) {
	sum := sha256.Sum256([]byte(s.id + " " + id))
	signature := s.id + "." + hex.EncodeToString(sum[:6])
	if !s.parts {
		return signature, []byte("answer of " + s.id + " to " + id + "\n")
	}
	var body []byte
	for n := range 12 {
		record := sha256.Sum256([]byte(fmt.Sprint(signature, n)))
		body = append(body, record[:16]...)
	}
	return signature, body
}

// entry is what the server writes about itself to the store.
func (s *server) entry(state string) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "capacity": s.capacity,
		"state": state, "cold_remaining_ms": 0, "sequence": s.sequence.Add(1), "born": started.UnixMilli(),
	}
}

func (s *server) start(l *ledger) {
	listener, err := net.Listen("tcp4", s.address)
	check(err)
	s.address = listener.Addr().String()
	s.listener, s.conns, s.ledger = listener, map[net.Conn]bool{}, l
	s.slots = make(chan struct{}, s.capacity)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			if s.gone {
				_ = c.Close()
			}
			s.mu.Unlock()
			go s.serveConn(c)
		}
	}()
}

// exit ends the server at once, as the end of its process would.
func (s *server) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	var late []byte
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		if len(late) > 0 {
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		id := req.Header.Get("Request-Id")
		a := s.handle(id, req)
		if s.gone {
			return
		}
		echo := id
		if s.echoes != nil && !s.echoes(a.status) {
			echo = ""
		}
		if a.status == http.StatusOK && s.lose != nil && s.lose() {
			s.ledger.note("lost     the answer of server %s to %s", s.id, id)
			if rand.IntN(2) == 0 {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return
		}
		if a.status == http.StatusOK && s.endlessHead {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX: ")
			for err == nil {
				_, err = c.Write(bytes.Repeat([]byte("a"), 1<<15))
			}
			return
		}
		if a.status == http.StatusOK && s.endless {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id, a.signature)
			chunk := append([]byte("8000\r\n"), make([]byte, 0x8000)...)
			chunk = append(chunk, "\r\n"...)
			for err == nil {
				_, err = c.Write(chunk)
			}
			return
		}
		if a.status == http.StatusOK && s.trailing != nil && s.trailing() {
			s.ledger.note("garbled  server %s answers %s without a length, and sends more bytes after it", s.id, id)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\nConnection: close\r\n\r\n", id, a.signature)
			_, _ = c.Write(a.body)
			_, _ = c.Write(make([]byte, trailingBytes))
			return
		}
		raw := a.encode(echo)
		if _, err := c.Write(raw); err != nil {
			return
		}
		if s.second != nil && s.second() {
			late = raw
			s.ledger.note("second   server %s will repeat its answer %d to %s late", s.id, a.status, id)
		}
	}
}

func (s *server) handle(id string, req *http.Request) *answer {
	if req.Header.Get("Target-Instance") != s.id {
		return &answer{status: http.StatusMisdirectedRequest}
	}
	s.ledger.arrive(s, id)
	if s.running.Add(1) > int64(s.capacity+s.queue) {
		s.running.Add(-1)
		s.ledger.note("refused  server %s is full, did not run %s", s.id, id)
		return &answer{status: http.StatusServiceUnavailable, notExecuted: true}
	}
	defer s.running.Add(-1)
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.ledger.run(s, id)
	time.Sleep(s.work())
	if s.pauses > 0 {
		// The server pauses for 250 ms each 6 s, at its own time.
		if at := (time.Since(started) + s.pauses) % (6 * time.Second); at < 250*time.Millisecond {
			time.Sleep(250*time.Millisecond - at)
		}
	}
	if s.answer != nil {
		if a := s.answer(s, id); a != nil {
			s.ledger.note("failed   server %s ran %s and answered %d", s.id, id, a.status)
			return a
		}
	}
	signature, body := s.signatureOf(id)
	return &answer{status: http.StatusOK, signature: signature, body: body}
}
