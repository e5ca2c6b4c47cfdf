//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects on one page of a list ("about 500").
const pageSize = 500

// answerTime is the time that the store takes for one answer, as in the deployments.
const answerTime = 4 * time.Millisecond

type meta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreatedAt  int64    `json:"created_at"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in for the platform's store. It is linearizable: each call reads or
// changes the objects at one moment. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	// onList is called after a page of a list was read, before it is answered.
	onList func(kind, after string, more bool)
}

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object and returns the time of the acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, raw)
	return time.Now()
}

func (s *store) putLocked(kind, name string, raw json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	old, known := s.objects[kind][name]
	if known && string(old.Spec) == string(raw) {
		return old
	}
	s.revision++
	o := object{Meta: meta{Name: name, Revision: s.revision, CreatedAt: time.Now().UnixMilli(), Finalizers: []string{}}, Spec: raw, Status: json.RawMessage("null")}
	s.objects[kind][name] = o
	s.record(event{kind: kind, Object: o})
	return o
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.revision++
		o.Meta.Revision = s.revision
		delete(s.objects[kind], name)
		s.record(event{kind: kind, Object: o, Deleted: true})
	}
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve serves the store at address until the process ends.
func (s *store) serve(address string) {
	l, err := net.Listen("tcp4", address)
	check(err)
	go func() { check(http.Serve(l, s)) }()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/godwithatch/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	time.Sleep(answerTime)
	kind, name, _ := strings.Cut(path, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, struct{}{})
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	raw, err := io.ReadAll(r.Body)
	var o object
	if err != nil || json.Unmarshal(raw, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Meta.Name
		if old, exists := s.objects[kind][name]; exists {
			reply(w, http.StatusConflict, old)
			return
		}
	}
	reply(w, http.StatusOK, s.putLocked(kind, name, o.Spec))
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := make([]string, 0, len(s.objects[kind]))
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	if more {
		names = names[:pageSize]
	}
	items := make([]object, len(names))
	for i, n := range names {
		items[i] = s.objects[kind][n]
	}
	revision := s.revision
	s.mu.Unlock()
	if s.onList != nil {
		s.onList(kind, after, more)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > from {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
