// Command upstream is a stand-in for a server of a pool, for tests.
//
// GET /ledger returns the number of executions for each idempotency key. PUT /control
// replaces the injected faults, such as
// {"slow":10,"crash_on":"poison","draining":true}. POST /control/cold makes the server
// cold. POST /control/silent makes the server leave queries on the open connections
// unanswered. PUT /control/holdings replaces the shards of snapshots that the server
// holds, in the format of the flag -holdings.
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
	model     *model.Server
	mu        sync.Mutex
	openConns map[net.Conn]bool
	// silentAddrs holds the remote addresses of the connections on which queries are
	// not answered.
	silentAddrs    map[string]bool
	maxConnections int
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
	s := &server{openConns: map[net.Conn]bool{}, silentAddrs: map[string]bool{}, maxConnections: *connections}
	s.model = model.New(model.Config{
		ID: *id + "-" + fmt.Sprint(os.Getpid()), Slots: *slots, QueueLength: 4 * *slots, MeanServiceTime: *service,
		Holdings: parseHoldings(*holdings), ColdSlowdown: 4, WarmupRequests: 30, ColdCapacity: 2, RestartTime: time.Second,
	})
	if *cold {
		s.model.MakeCold()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/query", s.query)
	mux.HandleFunc("GET /v1/state", s.state)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.model.RunsByKey())
	})
	mux.HandleFunc("PUT /control", s.setFaults)
	mux.HandleFunc("POST /control/cold", func(http.ResponseWriter, *http.Request) { s.model.MakeCold() })
	mux.HandleFunc("POST /control/silent", s.silenceOpenConns)
	mux.HandleFunc("PUT /control/holdings", func(_ http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		s.model.SetHoldings(parseHoldings(string(text)))
	})
	h := &http.Server{Addr: *listen, Handler: mux, ConnState: s.connState}
	if err := h.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		panic(err)
	}
}

// parseHoldings returns the holdings of a comma-separated list whose entries have the
// form snapshot:shard/shards. It skips malformed entries.
func parseHoldings(text string) []upstream.Holding {
	var list []upstream.Holding
	for _, part := range strings.Split(text, ",") {
		var h upstream.Holding
		if _, err := fmt.Sscanf(part, "%d:%d/%d", &h.Snapshot, &h.Shard, &h.Shards); err == nil {
			list = append(list, h)
		}
	}
	return list
}

// connState keeps the set of open connections. It closes a new connection if the
// connection limit is exceeded.
func (s *server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.openConns[c] = true
		if len(s.openConns) > s.maxConnections {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.openConns, c)
		delete(s.silentAddrs, c.RemoteAddr().String())
	}
}

// silenceOpenConns leaves all further queries unanswered on the connections that are open
// now.
func (s *server) silenceOpenConns(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.openConns {
		s.silentAddrs[c.RemoteAddr().String()] = true
	}
}

func (s *server) isSilent(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silentAddrs[r.RemoteAddr]
}

// query executes a call. If the model crashes, the process exits, so that its connections
// break as those of a real crashed server do.
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

func (s *server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f model.Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.model.SetFaults(f)
}
