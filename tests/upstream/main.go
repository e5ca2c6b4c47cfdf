// Command upstream is a stand-in for a server of a pool, for tests.
//
// GET /ledger returns how often each key ran. PUT /control sets faults, such as
// {"slow":10,"crash_on":"poison","draining":true}; POST /control/cold makes the
// server cold, POST /control/silent makes the open connections silent, PUT
// /control/holdings replaces what it holds.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/upstream"
	"github.com/godwithatch/godwithatch/tests/standin/model"
)

type server struct {
	model  *model.Server
	mu     sync.Mutex
	open   map[net.Conn]bool
	silent map[string]bool
	limit  int
}

func main() {
	listen := flag.String("listen", "127.2.0.1:7000", "IP address and port")
	id := flag.String("id", "s", "identity")
	slots := flag.Int("slots", 3, "slots")
	connections := flag.Int("connections", 30, "connection limit")
	service := flag.Duration("service", 5*time.Millisecond, "mean service time")
	cold := flag.Bool("cold", false, "start cold")
	holdings := flag.String("holdings", "1:0/1", "snapshot:shard/shards, separated by commas")
	flag.Parse()
	s := &server{open: map[net.Conn]bool{}, silent: map[string]bool{}, limit: *connections}
	s.model = model.New(model.Config{
		ID: *id + "-" + fmt.Sprint(os.Getpid()), Slots: *slots, Queue: 4 * *slots, Service: *service,
		Holdings: parse(*holdings), ColdFactor: 4, WarmAfter: 30, ColdBears: 2, Down: time.Second,
	})
	if *cold {
		s.model.GoCold()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/query", s.query)
	mux.HandleFunc("GET /v1/state", s.state)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.model.Ledger())
	})
	mux.HandleFunc("PUT /control", s.control)
	mux.HandleFunc("POST /control/cold", func(http.ResponseWriter, *http.Request) { s.model.GoCold() })
	mux.HandleFunc("POST /control/silent", s.goSilent)
	mux.HandleFunc("PUT /control/holdings", func(_ http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		s.model.SetHoldings(parse(string(text)))
	})
	h := &http.Server{Addr: *listen, Handler: mux, ConnState: s.connState}
	if err := h.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		panic(err)
	}
}

func parse(text string) []upstream.Holding {
	var list []upstream.Holding
	for _, part := range strings.Split(text, ",") {
		var h upstream.Holding
		if _, err := fmt.Sscanf(part, "%d:%d/%d", &h.Snapshot, &h.Shard, &h.Shards); err == nil {
			list = append(list, h)
		}
	}
	return list
}

func (s *server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open[c] = true
		if len(s.open) > s.limit {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
		delete(s.silent, c.RemoteAddr().String())
	}
}

func (s *server) goSilent(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		s.silent[c.RemoteAddr().String()] = true
	}
}

func (s *server) isSilent(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[r.RemoteAddr]
}

func (s *server) query(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.isSilent(r) {
		<-r.Context().Done()
		return
	}
	call, err := upstream.DecodeCall(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	results, state, err := s.model.Handle(r.Context(), call)
	var refusal *upstream.Refusal
	switch {
	case errors.As(err, &refusal):
		reply, _ := upstream.EncodeRefusal(call.Attempt(), refusal.Reason(), refusal.State())
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write(reply)
	case fault.Is(err, fault.ConnectionFailed):
		os.Exit(3)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		reply, _ := upstream.EncodeAnswer(call, results, state)
		_, _ = w.Write(reply)
	}
}

func (s *server) state(w http.ResponseWriter, _ *http.Request) {
	reply, _ := upstream.EncodeState(s.model.State())
	_, _ = w.Write(reply)
}

func (s *server) control(w http.ResponseWriter, r *http.Request) {
	var f model.Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.model.SetFaults(f)
}
