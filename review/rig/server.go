//go:build review

package main

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that has reached a server under the server's own ID.
type arrival struct {
	at time.Time
	// sent is the time at which the client sent the request.
	sent    time.Time
	request string
	// isDeadly means that the request ends the server that runs it.
	isDeadly bool
}

// server is a stand-in for one server. It keeps its ID and its address when it starts again.
type server struct {
	rig               *rig
	id, service, zone string
	address           string
	slots             int
	work              time.Duration
	// coldTime is the time for which the server is cold after it has started again, and
	// coldFactor the factor by which it is slower then.
	coldTime   time.Duration
	coldFactor float64
	// isRecorded means that the record names the requests that reach the server.
	isRecorded bool

	mu        sync.Mutex
	http      *http.Server
	sequence  int
	born      int64
	state     string
	coldUntil time.Time
	busy      chan struct{}
	arrivals  []arrival
	// failShare is the share of the requests that fail with failStatus after they have run.
	failShare  float64
	failStatus int
	// revived is closed when the server is back, if it is dark: it answers nothing then.
	revived chan struct{}
	// deadly is the path of the request that ends the server, silently and for downTime, and
	// crashes are the times at which it did.
	deadly  string
	crashes []time.Time
	// runs holds the IDs of the requests that have run.
	runs map[string]bool
}

// listen serves the server's address; the first time it takes a free one.
func (s *server) listen(ip string) {
	at := s.address
	if at == "" {
		at = ip + ":0"
	}
	l, err := net.Listen("tcp4", at)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	s.busy = make(chan struct{}, s.slots)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ErrorLog: log.New(io.Discard, "", 0)}
	go s.http.Serve(l) //nolint:errcheck // It serves until the server crashes.
}

// register writes the entry of the server to the store.
func (s *server) register() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "capacity": s.slots,
		"state": s.state, "cold_remaining_ms": max(time.Until(s.coldUntil).Milliseconds(), 0), "sequence": s.sequence, "born": s.born,
	}
	s.mu.Unlock()
	s.rig.store.Put("servers", s.id, entry)
	s.rig.log("entry %s state %s cold_remaining_ms %v sequence %v born %v accepted", s.id, entry["state"], entry["cold_remaining_ms"], entry["sequence"], entry["born"])
}

// begin starts the server and registers it. A server that starts during traffic is cold.
func (s *server) begin(ip string, isCold bool, born time.Time) {
	s.mu.Lock()
	s.sequence, s.state, s.born, s.coldUntil = 0, "ready", born.UnixMilli(), time.Time{}
	if isCold {
		s.coldUntil = time.Now().Add(s.coldTime)
	}
	s.mu.Unlock()
	s.listen(ip)
	s.rig.log("server %s of %s starts at %s, cold %t", s.id, s.service, s.address, isCold)
	s.register()
}

// setState changes the state of the server and registers it.
func (s *server) setState(state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.register()
}

// since returns the number of requests that reached the server after t, and the time of the
// last one.
func (s *server) since(t time.Time) (n int, last time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.at.After(t) {
			n, last = n+1, a.at
		}
	}
	return n, last
}

// darkTime is the time for which a server is dark.
const darkTime = 3 * time.Second

// goDark ends the server because of a request. Its machine is silent for darkTime; then the
// server is back, and knows nothing of the connections and requests of before.
func (s *server) goDark(request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revived != nil {
		return
	}
	revived := make(chan struct{})
	s.revived, s.crashes = revived, append(s.crashes, time.Now())
	s.rig.log("%s begins to run at %s, whose machine goes silent", request, s.id)
	time.AfterFunc(darkTime, func() {
		s.mu.Lock()
		s.revived = nil
		h := s.http
		s.mu.Unlock()
		close(revived)
		h.Close()
		s.begin("", true, time.Now())
	})
}

// awaitPower ends the request without an answer if the server is dark.
func (s *server) awaitPower() {
	s.mu.Lock()
	revived := s.revived
	s.mu.Unlock()
	if revived != nil {
		<-revived
		panic(http.ErrAbortHandler)
	}
}

// setFailure makes a share of the requests fail with a status after they have run.
func (s *server) setFailure(share float64, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failShare, s.failStatus = share, status
}

// hasRun reports whether the server has run a request.
func (s *server) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// crash ends the server: it closes its listener and all connections.
func (s *server) crash() {
	s.mu.Lock()
	h := s.http
	s.mu.Unlock()
	h.Close()
	s.rig.log("server %s ends", s.id)
}

// serve answers one request as the protocol says.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.awaitPower()
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.URL.Path == "/healthz" {
		s.serveHealth(w)
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// What a client sends after the ID is the time at which it sent the request, for the
	// record alone.
	sentNs, _ := strconv.ParseInt(id[strings.LastIndexByte(id, '-')+1:], 36, 64)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{time.Now(), s.rig.start.Add(time.Duration(sentNs)), id, s.deadly != "" && r.URL.Path == s.deadly})
	busy, isCold := s.busy, time.Now().Before(s.coldUntil)
	s.mu.Unlock()
	if s.isRecorded {
		s.rig.log("arrive %s at %s", id, s.id)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case busy <- struct{}{}:
		defer func() { <-busy }()
	case <-time.After(300 * time.Millisecond):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	if s.deadly != "" && r.URL.Path == s.deadly {
		s.goDark(id)
		s.awaitPower()
	}
	work := s.work
	if isCold {
		work = time.Duration(s.coldFactor * float64(work))
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	s.awaitPower()
	s.mu.Lock()
	if s.runs == nil {
		s.runs = map[string]bool{}
	}
	s.runs[id] = true
	fails := rand.Float64() < s.failShare
	s.mu.Unlock()
	w.Header().Set("Server-Signature", s.id+"."+strconv.FormatUint(hash(s.id+"/"+id), 16))
	if fails {
		s.rig.log("run %s at %s: %q, answered %d without Not-Executed", id, s.id, body, s.failStatus)
		w.WriteHeader(s.failStatus)
		return
	}
	if s.isRecorded && len(body) > 0 {
		s.rig.log("run %s at %s: %q, answered 200", id, s.id, body)
	}
	answer := make([]byte, 0, 16)
	answer = binary.BigEndian.AppendUint64(answer, hash(id))
	answer = binary.BigEndian.AppendUint64(answer, hash(s.id))
	w.Write(answer) //nolint:errcheck // The front may have left.
}

func (s *server) serveHealth(w http.ResponseWriter) {
	s.mu.Lock()
	cold := max(time.Until(s.coldUntil).Milliseconds(), 0)
	s.mu.Unlock()
	w.Header().Set("Instance-Id", s.id)
	w.Header().Set("Cold-Start-Ms", strconv.FormatInt(cold, 10))
}

func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// mostIn returns the largest number of requests in a span of the given length that were sent
// and arrived inside it and inside the period, and the start of that span.
func (s *server) mostIn(span time.Duration, from, to time.Time) (int, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, at := 0, from
	for _, first := range s.arrivals {
		start := first.sent
		if start.Before(from) || start.After(to) {
			continue
		}
		n := 0
		for _, a := range s.arrivals {
			if !a.sent.Before(start) && !a.at.Before(start) && !a.at.After(start.Add(span)) && !a.at.After(to) {
				n++
			}
		}
		if n > most {
			most, at = n, start
		}
	}
	return most, at
}
