// Command platform is a stand-in for the platform's object API, for tests.
//
// PUT /control replaces the injected faults: {"down":false,"slow":0,"lose_every":0},
// with slow in nanoseconds.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/platform"
	"github.com/godwithatch/godwithatch/tests/standin/objects"
)

type server struct{ store *objects.Objects }

func main() {
	listen := flag.String("listen", "127.0.0.2:9000", "IP address and port")
	flag.Parse()
	s := &server{objects.New()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{name...}", s.get)
	mux.HandleFunc("PUT /v1/objects/{name...}", s.put)
	mux.HandleFunc("GET /v1/objects", s.list)
	mux.HandleFunc("GET /v1/hosts", s.hosts)
	mux.HandleFunc("PUT /v1/hosts", s.setHosts)
	mux.HandleFunc("PUT /control", s.setFaults)
	if err := http.ListenAndServe(*listen, mux); !errors.Is(err, http.ErrServerClosed) {
		panic(err)
	}
}

// writeError answers with the HTTP status that the object API uses for the kind of fault
// that err is.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch fault.From(err).Kind() {
	case fault.ObjectNotFound:
		status = http.StatusNotFound
	case fault.VersionConflict:
		status = http.StatusPreconditionFailed
	case fault.ObjectTooLarge:
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}

// get answers with an object. If wait_ms is given, it first waits until the object has a
// newer version than after, for at most wait_ms milliseconds.
func (s *server) get(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	var object platform.Object
	var err error
	if wait > 0 {
		object, err = s.store.Watch(r.Context(), r.PathValue("name"), after, time.Duration(wait)*time.Millisecond)
	} else {
		object, err = s.store.Get(r.Context(), r.PathValue("name"))
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Object-Version", strconv.FormatUint(object.Version(), 10))
	_, _ = w.Write(object.Value())
}

func (s *server) put(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match is missing", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err == nil {
		version, err = s.store.Put(r.Context(), r.PathValue("name"), value, version)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Object-Version", strconv.FormatUint(version, 10))
}

func (s *server) list(w http.ResponseWriter, r *http.Request) {
	list, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	type row struct {
		Name    string `json:"name"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	rows := []row{}
	for _, o := range list {
		rows = append(rows, row{o.Name(), o.Version(), o.Value()})
	}
	_ = json.NewEncoder(w).Encode(rows)
}

type hostRow struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving"`
}

func (s *server) hosts(w http.ResponseWriter, r *http.Request) {
	list, err := s.store.Hosts(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	rows := []hostRow{}
	for _, h := range list {
		rows = append(rows, hostRow{h.ID(), h.Address(), h.DataCentre(), h.Leaving()})
	}
	_ = json.NewEncoder(w).Encode(rows)
}

func (s *server) setHosts(w http.ResponseWriter, r *http.Request) {
	var rows []hostRow
	if err := json.NewDecoder(r.Body).Decode(&rows); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var hosts []platform.HostEntry
	for _, h := range rows {
		hosts = append(hosts, platform.NewHostEntry(h.ID, h.Address, h.DataCentre, h.Leaving))
	}
	s.store.SetHosts(hosts)
}

func (s *server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f objects.Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.store.SetFaults(f)
}
