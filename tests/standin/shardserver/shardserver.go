// Package shardserver is a stand-in for a server of the users' platform. It answers a
// request with records and a signature, rejects requests that are meant for another
// instance, injects faults such as shed requests and lost answers, and counts the
// executions of each request.
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
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/modules/pause"
)

// Fault is a failure mode of a server.
type Fault int

// The failure modes of a server.
const (
	// None means that the server works normally.
	None Fault = iota
	// Shed refuses requests with status 503 and the header Not-Executed.
	Shed
	// LoseReply executes requests and closes their connections without an answer.
	LoseReply
	// Hang executes requests and never answers them.
	Hang
	// Slow executes each request in ten times workTime.
	Slow
	// DuplicateReply sends the answer twice on the same connection and then closes it.
	DuplicateReply
)

const (
	// workTime is the time to execute a request.
	workTime = 4 * time.Millisecond
	// slotCount is the number of requests that a server executes at once.
	slotCount = 4
	// maxQueueTime is the time after which a request that is still waiting for a slot is
	// refused.
	maxQueueTime = 300 * time.Millisecond
	// recordCount is the number of records in an answer.
	recordCount = 3
	recordBytes = 16
)

// Server is the stand-in for one server, an http.Handler. It is safe for concurrent use.
type Server struct {
	id    string
	slots chan struct{}

	mu            sync.Mutex
	fault         Fault
	faultShare    float64
	drainingSince time.Time
	// runs is the number of executions of each request, by its Request-Id and URI.
	runs         map[string]int
	lateArrivals int
	isLeaving    bool
	restTime     time.Duration
	// unwantedSince and unwantedUntil are, by the address of a host, the period in which
	// the server wants no requests of the host, as it stated in an answer.
	unwantedSince, unwantedUntil map[string]time.Time
	unwantedArrivals             int
}

// New returns a Server with the instance ID id and without faults.
func New(id string) *Server {
	return &Server{id: id, slots: make(chan struct{}, slotCount), runs: map[string]int{}, unwantedSince: map[string]time.Time{}, unwantedUntil: map[string]time.Time{}}
}

// SetFault applies a failure mode to a share of the requests from now on. The share is
// between 0 and 1, and the requests are chosen at random.
func (s *Server) SetFault(f Fault, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faultShare = f, share
}

// SetDrainingSince sets the time at which the server reported that it is draining.
// LateArrivals counts the requests that arrive more than drainBound after it.
func (s *Server) SetDrainingSince(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainingSince = at
}

// Leave makes the server state in all further answers that it leaves.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLeaving = true
}

// SetRestTime makes the server state in its refusals that it wants no further requests of
// the host for the time d.
func (s *Server) SetRestTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restTime = d
}

// UnwantedArrivals returns the number of requests that reached the server from a host more
// than noticeSlack after the server had stated to the host that it leaves, or had asked the
// host for no requests, and before the end of that time.
func (s *Server) UnwantedArrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unwantedArrivals
}

const (
	// noticeSlack is the time after a notice within which requests may still arrive.
	noticeSlack = 500 * time.Millisecond
	// leavingTime is longer than any test. A server that leaves wants no requests again.
	leavingTime = 24 * time.Hour
)

// recordUnwanted counts a request of a host at the given address if the server stated
// before that it does not want the request.
func (s *Server) recordUnwanted(address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if since, ok := s.unwantedSince[host]; ok && now.After(since.Add(noticeSlack)) && now.Before(s.unwantedUntil[host]) {
		s.unwantedArrivals++
	}
}

// state adds to an answer what the server states about the requests that it wants.
func (s *Server) state(w http.ResponseWriter, address string, isRefusal bool) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	d := time.Duration(0)
	if s.isLeaving {
		w.Header().Set("Server-Leaving", "1")
		d = leavingTime
	}
	if isRefusal && s.restTime > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(s.restTime.Seconds(), 'f', -1, 64))
		d = max(d, s.restTime)
	}
	if d > 0 && now.Add(d).After(s.unwantedUntil[host]) {
		if !now.Before(s.unwantedUntil[host]) {
			s.unwantedSince[host] = now
		}
		s.unwantedUntil[host] = now.Add(d)
	}
}

// Runs returns the number of executions of each request. The key is the request's
// Request-Id, a space and its URI.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// LateArrivals returns the number of requests that arrived more than drainBound after the
// time of SetDrainingSince.
func (s *Server) LateArrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lateArrivals
}

// drainBound is the time for which requests may still reach a server after it has
// reported that it is draining.
const drainBound = 4 * time.Second

// recordArrival counts a request that arrives later than drainBound allows, and returns
// the failure mode to apply to the request.
func (s *Server) recordArrival() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drainingSince.IsZero() && time.Since(s.drainingSince) > drainBound {
		s.lateArrivals++
	}
	if rand.Float64() < s.faultShare {
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
	fault := s.recordArrival()
	s.recordUnwanted(r.RemoteAddr)
	if fault == Shed || !s.acquireSlot(r) {
		s.state(w, r.RemoteAddr, true)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs[id+" "+r.RequestURI]++
	s.mu.Unlock()
	s.reply(w, r, id, body, fault)
}

// acquireSlot acquires a slot and reports true, or reports false if none becomes free
// within maxQueueTime or the client cancels the request.
func (s *Server) acquireSlot(r *http.Request) bool {
	t := pause.NewTimer(maxQueueTime)
	defer t.Stop()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-t.C():
	case <-r.Context().Done():
	}
	return false
}

// reply waits until the request would have been executed, applies the failure mode and
// writes the answer.
func (s *Server) reply(w http.ResponseWriter, r *http.Request, id string, body []byte, fault Fault) {
	work := workTime
	if fault == Slow {
		work *= 10
	}
	if !pause.For(r.Context(), work) {
		return
	}
	switch fault {
	case Hang:
		<-r.Context().Done()
		return
	case LoseReply:
		panic(http.ErrAbortHandler)
	}
	text := s.records(id)
	w.Header().Set("Server-Signature", s.Signature(id))
	w.Header().Set("Body-Length", strconv.Itoa(len(body)))
	if fault == DuplicateReply {
		s.sendTwice(w, id, text)
		return
	}
	s.state(w, r.RemoteAddr, false)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); err != nil {
		return
	}
}

// sendTwice writes the answer and a copy of it, which the client did not request, and
// closes the connection.
func (s *Server) sendTwice(w http.ResponseWriter, id string, text []byte) {
	nc, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Signature: " + s.Signature(id) +
		"\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n"
	for range 2 {
		buffered.WriteString(head) //nolint:errcheck // Flush returns the error.
		buffered.Write(text)       //nolint:errcheck // Flush returns the error.
	}
	if err := buffered.Flush(); err != nil {
		return
	}
	time.Sleep(workTime)
}

// Signature returns the signature with which this server proves that it executed the
// request with the Request-Id id.
func (s *Server) Signature(id string) string {
	h := fnv.New64a()
	h.Write([]byte(s.id + "/" + id))
	return s.id + "." + strconv.FormatUint(h.Sum64(), 16)
}

// records returns the records with which this server answers the request with the
// Request-Id id. They depend only on the server's ID and the Request-Id.
func (s *Server) records(id string) []byte {
	out := make([]byte, 0, recordCount*recordBytes)
	for i := range recordCount {
		h := fnv.New64a()
		h.Write([]byte(s.id + id + strconv.Itoa(i)))
		out = binary.BigEndian.AppendUint64(out, h.Sum64())
		out = binary.BigEndian.AppendUint64(out, uint64(i))
	}
	return out
}

// Records returns the body of this server's answer to the request with the Request-Id id.
func (s *Server) Records(id string) []byte { return s.records(id) }
