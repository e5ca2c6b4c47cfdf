// Package shardserver is a stand-in for a server of the users' platform: it answers
// with records and a signature, knows its identity, sheds, breaks off, loses
// answers, and keeps a ledger of what it ran.
//
// # Usage
//
//	s := shardserver.New("i-1")
//	http.Serve(listener, s)
//	s.SetFault(shardserver.Shed, 0.5)
package shardserver

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/modules/pause"
)

// Fault is what is wrong with a server.
type Fault int

// The faults.
const (
	// None means that the server is well.
	None Fault = iota
	// Shed refuses requests as not run.
	Shed
	// Lose runs requests and resets their connections.
	Lose
	// Hang never answers.
	Hang
	// Sluggish takes ten times as long.
	Sluggish
	// Extra sends a second answer behind the first.
	Extra
)

const (
	workTime  = 4 * time.Millisecond
	slots     = 4
	queueTime = 300 * time.Millisecond
	records   = 3
	recordLen = 16
)

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	id    string
	slots chan struct{}

	mu       sync.Mutex
	fault    Fault
	share    float64
	draining time.Time
	runs     map[string]int
	late     int
}

// New returns a Server that is well.
func New(id string) *Server {
	return &Server{id: id, slots: make(chan struct{}, slots), runs: map[string]int{}}
}

// SetFault sets what is wrong with a share of the requests from now on.
func (s *Server) SetFault(f Fault, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.share = f, share
}

// SetDraining records since when the server has been leaving.
func (s *Server) SetDraining(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = at
}

// Runs returns how often each request ran, by its identity and path.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// LateArrivals returns how many requests came longer than bound after the server
// said that it leaves.
func (s *Server) LateArrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late
}

// drainBound is how long after its report a server may still get requests.
const drainBound = 4 * time.Second

func (s *Server) arrive() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining.IsZero() && time.Since(s.draining) > drainBound {
		s.late++
	}
	if rand.Float64() < s.share {
		return s.fault
	}
	return None
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Request-Id", id)
	fault := s.arrive()
	if fault == Shed || !s.enter(r) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs[id+" "+r.RequestURI]++
	s.mu.Unlock()
	s.answer(w, r, id, body, fault)
}

// enter takes a slot, or reports false if none is free in time.
func (s *Server) enter(r *http.Request) bool {
	t := pause.NewTimer(queueTime)
	defer t.Stop()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-t.C():
	case <-r.Context().Done():
	}
	return false
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, id string, body []byte, fault Fault) {
	work := workTime
	if fault == Sluggish {
		work *= 10
	}
	if !pause.For(r.Context(), work) {
		return
	}
	switch fault {
	case Hang:
		<-r.Context().Done()
		return
	case Lose:
		panic(http.ErrAbortHandler)
	}
	text := s.records(id)
	w.Header().Set("Server-Signature", s.Signature(id))
	w.Header().Set("Body-Length", strconv.Itoa(len(body)))
	if fault == Extra {
		s.sendTwice(w, id, text)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); err != nil {
		return
	}
}

// sendTwice writes the answer and another one that belongs to no request.
func (s *Server) sendTwice(w http.ResponseWriter, id string, text []byte) {
	nc, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Signature: " + s.Signature(id) +
		"\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n"
	for range 2 {
		buffered.WriteString(head) //nolint:errcheck // Flush tells.
		buffered.Write(text)       //nolint:errcheck // Flush tells.
	}
	if err := buffered.Flush(); err != nil {
		return
	}
	time.Sleep(workTime)
}

// Signature is what proves that this server ran a request.
func (s *Server) Signature(id string) string {
	h := fnv.New64a()
	h.Write([]byte(s.id + "/" + id))
	return s.id + "." + strconv.FormatUint(h.Sum64(), 16)
}

// records are the server's part of the answer to a request.
func (s *Server) records(id string) []byte {
	out := make([]byte, 0, records*recordLen)
	for i := range records {
		h := fnv.New64a()
		h.Write([]byte(s.id + id + strconv.Itoa(i)))
		out = binary.BigEndian.AppendUint64(out, h.Sum64())
		out = binary.BigEndian.AppendUint64(out, uint64(i))
	}
	return out
}

// Records returns what the server answers to a request.
func (s *Server) Records(id string) []byte { return s.records(id) }
