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
	"fmt"
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
	// LongBody executes requests and answers with longBodyBytes more than asked for.
	LongBody
	// NotFound executes requests and answers with status 404 and the signature.
	NotFound
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
	// longBodyBytes is more than any answer needs, and less than the largest body that is
	// read.
	longBodyBytes = 1 << 20
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
	// echoes says whether an answer with a status repeats the Request-Id. repeatShare is the
	// share of answers that are sent again, late.
	echoes      func(status int) bool
	repeatShare float64
}

// New returns a Server with the instance ID id and without faults.
func New(id string) *Server {
	return &Server{id: id, slots: make(chan struct{}, slotCount), runs: map[string]int{}, echoes: func(status int) bool { return status != http.StatusMisdirectedRequest }, unwantedSince: map[string]time.Time{}, unwantedUntil: map[string]time.Time{}}
}

// SetFault applies a failure mode to a share of the requests from now on. The share is
// between 0 and 1, and the requests are chosen at random.
func (s *Server) SetFault(f Fault, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faultShare = f, share
}

// SetEchoes sets the statuses of the answers that repeat the Request-Id. Without it, all
// answers do but those to requests for another instance.
func (s *Server) SetEchoes(echoes func(status int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.echoes = echoes
}

// SetRepeatShare makes the server send a share of its answers again, late: where the answer
// to the next request on the same connection is expected.
func (s *Server) SetRepeatShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeatShare = share
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

// state adds to the header of an answer what the server states about the requests that it
// wants.
func (s *Server) state(h http.Header, address string, isRefusal bool) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	d := time.Duration(0)
	if s.isLeaving {
		h.Set("Server-Leaving", "1")
		d = leavingTime
	}
	if isRefusal && s.restTime > 0 {
		h.Set("Retry-After", strconv.FormatFloat(s.restTime.Seconds(), 'f', -1, 64))
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

// recordArrival counts a request that arrives later than drainBound allows.
func (s *Server) recordArrival() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drainingSince.IsZero() && time.Since(s.drainingSince) > drainBound {
		s.lateArrivals++
	}
}

// drawFault returns the failure mode to apply to a request.
func (s *Server) drawFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rand.Float64() < s.faultShare {
		return s.fault
	}
	return None
}

// drawRepeat reports whether to repeat an answer.
func (s *Server) drawRepeat() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.Float64() < s.repeatShare
}

// answer is an answer of the server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// appendTo appends the answer as it is sent to b.
func (a *answer) appendTo(b []byte) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", a.status, http.StatusText(a.status), len(a.body))
	for name, values := range a.header {
		b = fmt.Appendf(b, "%s: %s\r\n", name, values[0])
	}
	return append(append(b, "\r\n"...), a.body...)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := s.drawFault()
	a := s.handle(r, fault)
	switch {
	case a == nil:
		panic(http.ErrAbortHandler)
	case fault == DuplicateReply && a.status == http.StatusOK:
		s.sendTwice(w, a)
	case s.drawRepeat():
		s.repeatLate(w, a)
	default:
		for name, values := range a.header {
			w.Header()[name] = values
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		w.WriteHeader(a.status)
		if _, err := w.Write(a.body); err != nil {
			return
		}
	}
}

// handle processes a request and returns the answer, or nil if the connection is to be
// closed without one.
func (s *Server) handle(r *http.Request, fault Fault) *answer {
	id := r.Header.Get("Request-Id")
	a := &answer{status: http.StatusOK, header: http.Header{}}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.echoes(a.status) {
			a.header.Set("Request-Id", id)
		}
	}()
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		a.status = http.StatusMisdirectedRequest
		a.header.Set("Instance-Id", s.id)
		return a
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	s.recordArrival()
	s.recordUnwanted(r.RemoteAddr)
	if fault == Shed || !s.acquireSlot(r) {
		a.status = http.StatusServiceUnavailable
		s.state(a.header, r.RemoteAddr, true)
		a.header.Set("Not-Executed", "1")
		return a
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs[id+" "+r.RequestURI]++
	s.mu.Unlock()
	if !s.work(r, fault) {
		return nil
	}
	if fault == NotFound {
		a.status = http.StatusNotFound
	}
	a.body = s.records(id)
	if fault == LongBody {
		a.body = append(a.body, make([]byte, longBodyBytes)...)
	}
	a.header.Set("Server-Signature", s.Signature(id))
	a.header.Set("Body-Length", strconv.Itoa(len(body)))
	s.state(a.header, r.RemoteAddr, false)
	return a
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

// work waits until the request would have been executed. It reports false if the request
// gets no answer.
func (s *Server) work(r *http.Request, fault Fault) bool {
	work := workTime
	if fault == Slow {
		work *= 10
	}
	if !pause.For(r.Context(), work) {
		return false
	}
	if fault == Hang {
		<-r.Context().Done()
		return false
	}
	return fault != LoseReply
}

// sendTwice writes the answer and a copy of it, which the client did not request, and
// closes the connection.
func (s *Server) sendTwice(w http.ResponseWriter, a *answer) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	if _, err := nc.Write(a.appendTo(a.appendTo(nil))); err != nil {
		return
	}
	time.Sleep(workTime)
}

// repeatLate writes the answer. It then serves the connection until the client closes it.
// Each copy precedes the answer to the next request. The modes DuplicateReply and Hang are
// not applied.
func (s *Server) repeatLate(w http.ResponseWriter, a *answer) {
	nc, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	late := a.appendTo(nil)
	if _, err := nc.Write(late); err != nil {
		return
	}
	for {
		r, err := http.ReadRequest(buffered.Reader)
		if err != nil {
			return
		}
		r.RemoteAddr = nc.RemoteAddr().String()
		fault := s.drawFault()
		if fault == Hang {
			// Nothing tells that the client has closed this connection.
			fault = LoseReply
		}
		a := s.handle(r, fault)
		if a == nil {
			return
		}
		own := a.appendTo(nil)
		if _, err := nc.Write(append(late, own...)); err != nil {
			return
		}
		late = nil
		if s.drawRepeat() {
			late = own
		}
	}
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
