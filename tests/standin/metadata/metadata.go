// Package metadata is a stand-in for the metadata store of the users' platform. It
// speaks the published protocol: lists in pages, watches, revisions, a history that
// can be dropped.
//
// # Usage
//
//	s := metadata.New()
//	s.Put("servers", "i-1", spec)
//	http.Serve(listener, s)
//	s.SetFault(metadata.Down)
package metadata

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/modules/pause"
)

const (
	prefix   = "/godwithatch/objects/"
	pageSize = 50
)

// Fault is what is wrong with the store.
type Fault int

// The faults.
const (
	// None means that the store is well.
	None Fault = iota
	// Down answers 503 to everything and cuts the watches.
	Down
	// Deaf takes watches and never answers them.
	Deaf
	// Cutting serves lists and cuts every watch at once.
	Cutting
	// Slow answers after half a second.
	Slow
	// Silent takes calls and answers none; watches that wait are answered afterwards.
	Silent
)

const slowness = 500 * time.Millisecond

type object struct {
	Meta struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	// oldest is the revision before the first change of the history.
	oldest  int64
	changed chan struct{}
	fault   Fault
	calls   int
	stale   int
	// refused are the addresses of hosts that the store turns away.
	refused map[string]bool
}

// New returns an empty Store.
func New() *Store {
	return &Store{revision: 1, oldest: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// Put writes an object.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	var o object
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, raw
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.tell(change{kind: kind, Object: o})
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Meta.Revision = s.revision
	delete(s.objects[kind], name)
	s.tell(change{kind: kind, Object: o, Deleted: true})
}

// tell wakes the watches. The caller holds mu.
func (s *Store) tell(c change) {
	s.history = append(s.history, c)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFault sets what is wrong from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// Refuse turns away the callers with an IP address, or serves them again.
func (s *Store) Refuse(ip string, isRefused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused == nil {
		s.refused = map[string]bool{}
	}
	s.refused[ip] = isRefused
	s.wake()
}

// isRefused reports whether the store turns a caller away.
func (s *Store) isRefused(r *http.Request) bool {
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	return err == nil && s.refused[ip]
}

// Objects returns how many objects of a kind there are.
func (s *Store) Objects(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects[kind])
}

// DropHistory forgets the changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
	s.wake()
}

// Calls returns how many calls there were.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// staleCost is the price of a call that may be answered with what was true before.
const staleCost = 0.1

// Cost returns the price of the calls so far in calls.
func (s *Store) Cost() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.calls-s.stale) + staleCost*float64(s.stale)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, ok := strings.CutPrefix(r.URL.Path, prefix)
	s.mu.Lock()
	s.calls++
	if r.URL.Query().Has("allow_stale") {
		s.stale++
	}
	fault := s.fault
	s.mu.Unlock()
	query := r.URL.Query()
	switch {
	case fault == Silent:
		<-r.Context().Done()
	case fault == Down || s.isRefused(r):
		w.WriteHeader(http.StatusServiceUnavailable)
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method != http.MethodGet:
		s.write(w, r, kind)
	case query.Has("watch"):
		s.watch(w, r, kind)
	default:
		if fault == Slow {
			time.Sleep(slowness)
		}
		s.list(w, kind, query.Get("after"))
	}
}

// write serves the calls that change an object.
func (s *Store) write(w http.ResponseWriter, r *http.Request, path string) {
	kind, name, _ := strings.Cut(path, "/")
	var body object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = body.Meta.Name
	}
	s.mu.Lock()
	old, exists := s.objects[kind][name]
	s.mu.Unlock()
	asked := r.URL.Query().Get("revision")
	switch {
	case r.Method == http.MethodPost && exists,
		asked != "" && asked != strconv.FormatInt(old.Meta.Revision, 10):
		w.WriteHeader(http.StatusConflict)
		return
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodDelete:
		s.Delete(kind, name)
	case !exists || string(old.Spec) != string(body.Spec):
		s.Put(kind, name, body.Spec)
	}
	reply(w, body)
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	items := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][name])
	}
	reply(w, struct {
		Items    []object `json:"items"`
		More     bool     `json:"has_more"`
		Revision int64    `json:"store_revision"`
	}{items, more, s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := pause.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		events, revision, gone, fault, changed := s.since(kind, from)
		switch {
		case fault == Down || fault == Cutting || s.isRefused(r):
			panic(http.ErrAbortHandler)
		case fault == Silent:
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		case fault == Deaf:
			<-r.Context().Done()
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			reply(w, struct {
				Events   []change `json:"events"`
				Revision int64    `json:"store_revision"`
			}{events, revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline.C():
			reply(w, struct {
				Events   []change `json:"events"`
				Revision int64    `json:"store_revision"`
			}{[]change{}, revision})
			return
		}
	}
}

func (s *Store) since(kind string, from int64) (events []change, revision int64, gone bool, fault Fault, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.history {
		if c.kind == kind && c.Object.Meta.Revision > from {
			events = append(events, c)
		}
	}
	return events, s.revision, from < s.oldest, s.fault, s.changed
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		// The caller has gone.
		return
	}
}
