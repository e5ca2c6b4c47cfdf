// Package metadata is a stand-in for the metadata store of the users' platform. It
// implements the store's published protocol: paged lists, watches, revisions, and a
// change history that can be dropped.
//
// # Usage
//
//	s := metadata.New()
//	s.Put("servers", "i-1", spec)
//	http.Serve(listener, s)
//	s.SetFault(metadata.Down)
package metadata

import (
	"bytes"
	"encoding/json"
	"maps"
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
	objectsPath = "/godwithatch/objects/"
	// defaultPageSize is the largest number of objects on a page of a list.
	defaultPageSize = 50
)

// Fault is a failure mode of the store.
type Fault int

// The failure modes of the store.
const (
	// None means that the store works normally.
	None Fault = iota
	// Down answers every call with status 503 and closes the connections of the
	// open watches.
	Down
	// StalledWatches accepts watches and leaves them unanswered. A watch that was open
	// under this fault gets no answer even after the fault has ended.
	StalledWatches
	// ClosedWatches serves lists and writes, and immediately closes the connection of
	// every watch.
	ClosedWatches
	// Slow answers lists after slowDelay.
	Slow
	// Unresponsive accepts calls and answers none. A watch that was already waiting when
	// the fault began is answered once the fault has ended.
	Unresponsive
)

const slowDelay = 500 * time.Millisecond

type object struct {
	Meta struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
		// CreatedAt is in milliseconds since 1970.
		CreatedAt int64 `json:"created_at"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is the stand-in for the metadata store, an http.Handler that keeps its
// objects in memory. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	// historyStart is the revision before the oldest change in history. A watch from
	// an earlier revision is answered with status 410.
	historyStart int64
	changed      chan struct{}
	pageSize     int
	// answerTime is the time that a list takes for each page.
	answerTime time.Duration
	fault      Fault
	calls      int
	staleCalls int
	// rawSpecs are the texts that answers hold in place of placeholder specs; see PutRaw.
	rawSpecs []string
	// refusedIPs holds the IP addresses of the hosts whose calls the store refuses.
	refusedIPs map[string]bool
	// cuts is the number of times that the store has cut off all open watches.
	cuts int
	// isClosing means that the store closes each connection after one answer.
	isClosing bool
	// silences is, by kind, the number of times that the open watches have been silenced.
	silences map[string]int
	// staleLag is the age of the content that calls with allow_stale get, and past holds that
	// content and all later ones.
	staleLag time.Duration
	past     []pastContent
}

// pastContent is the content that the store had from a time on.
type pastContent struct {
	since time.Time
	*Copy
}

// New returns an empty Store.
func New() *Store {
	return &Store{revision: 1, historyStart: 1, pageSize: defaultPageSize, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// Put increments the revision, creates or replaces an object with the new revision, and
// notifies the watches. It panics if spec cannot be encoded as JSON.
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
	if old, exists := s.objects[kind][name]; exists {
		o.Meta.CreatedAt = old.Meta.CreatedAt
	} else {
		o.Meta.CreatedAt = time.Now().UnixMilli()
	}
	s.objects[kind][name] = o
	s.recordChange(change{kind: kind, Object: o})
}

// PutRaw is like Put, but the answers of the store hold the text raw as the spec of the
// object, whatever it is: for instance a text that is no JSON.
func (s *Store) PutRaw(kind, name, raw string) {
	s.mu.Lock()
	n := len(s.rawSpecs)
	s.rawSpecs = append(s.rawSpecs, raw)
	s.mu.Unlock()
	s.Put(kind, name, rawPlaceholder(n))
}

// rawPlaceholder returns the text that stands for the n-th raw spec in encoded answers.
func rawPlaceholder(n int) string { return "raw-spec-" + strconv.Itoa(n) + "-" }

// Delete increments the revision, removes an object and notifies the watches. It does
// nothing if the object does not exist.
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
	s.recordChange(change{kind: kind, Object: o, Deleted: true})
}

// recordChange appends a change to the history and notifies the watches. The caller
// holds mu.
func (s *Store) recordChange(c change) {
	s.history = append(s.history, c)
	s.keepPast()
	s.notifyWatches()
}

// keepPast keeps the content of the store for calls that allow stale answers. The caller holds mu.
func (s *Store) keepPast() {
	if s.staleLag > 0 {
		s.past = append(s.past, pastContent{time.Now(), &Copy{s.revision, copyObjects(s.objects)}})
	}
}

// SetStaleLag sets the age of the content that calls with allow_stale get from now on. Such a
// call gets nothing older than the content at the time of SetStaleLag.
func (s *Store) SetStaleLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleLag, s.past = lag, nil
	s.keepPast()
}

// content returns the objects of a kind and the revision that a list gets. The caller holds mu
// while it uses the objects.
func (s *Store) content(kind string, isStale bool) (map[string]object, int64) {
	if !isStale || s.staleLag == 0 {
		return s.objects[kind], s.revision
	}
	for len(s.past) > 1 && time.Since(s.past[1].since) >= s.staleLag {
		s.past = s.past[1:]
	}
	return s.past[0].objects[kind], s.past[0].revision
}

// notifyWatches makes all waiting watches check the store again for changes and faults.
// The caller holds mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFault sets the failure mode from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notifyWatches()
}

// SetPages sets the largest number of objects on a page of a list, and the time that each
// page takes. An object may change between two pages.
func (s *Store) SetPages(size int, answerTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize, s.answerTime = size, answerTime
}

// SetRefused sets whether the store rejects calls from an IP address with status 503 and
// closes the connections of its watches.
func (s *Store) SetRefused(ip string, isRefused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusedIPs == nil {
		s.refusedIPs = map[string]bool{}
	}
	s.refusedIPs[ip] = isRefused
	s.notifyWatches()
}

// isCallerRefused reports whether the store rejects calls from the IP address that
// sent the request.
func (s *Store) isCallerRefused(r *http.Request) bool {
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	return err == nil && s.refusedIPs[ip]
}

// ObjectCount returns the number of objects of a kind.
func (s *Store) ObjectCount(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects[kind])
}

// DropHistory discards the history of changes. A watch from an earlier revision than the
// current one is then answered with status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.revision
	s.notifyWatches()
}

// Copy is the content of a store at one moment.
type Copy struct {
	revision int64
	objects  map[string]map[string]object
}

// Copy returns a copy of the content of the store.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{s.revision, copyObjects(s.objects)}
}

// Restore makes the store return to an earlier content, as after the loss of its newest
// data. Revisions are given out again, the history is lost, and the open watches are cut off.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.objects = c.revision, copyObjects(c.objects)
	s.history, s.historyStart = nil, s.revision
	s.cuts++
	s.keepPast()
	s.notifyWatches()
}

func copyObjects(objects map[string]map[string]object) map[string]map[string]object {
	out := make(map[string]map[string]object, len(objects))
	for kind, list := range objects {
		out[kind] = maps.Clone(list)
	}
	return out
}

// CallCount returns the number of calls so far.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// staleCost is the cost of a call with allow_stale, whose answer may be out of date. A
// call without allow_stale costs 1.
const staleCost = 0.1

// Cost returns the total cost of all calls so far.
func (s *Store) Cost() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.calls-s.staleCalls) + staleCost*float64(s.staleCalls)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	s.mu.Lock()
	s.calls++
	if r.URL.Query().Has("allow_stale") {
		s.staleCalls++
	}
	fault, answerTime := s.fault, s.answerTime
	s.mu.Unlock()
	query := r.URL.Query()
	switch {
	case fault == Unresponsive:
		<-r.Context().Done()
	case fault == Down || s.isCallerRefused(r):
		w.WriteHeader(http.StatusServiceUnavailable)
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method != http.MethodGet:
		s.write(w, r, kind)
	case query.Has("watch"):
		s.watch(w, r, kind)
	default:
		if fault == Slow {
			time.Sleep(slowDelay)
		}
		time.Sleep(answerTime)
		s.list(w, kind, query.Get("after"), query.Has("allow_stale"))
	}
}

// write serves POST, which creates an object, DELETE, and all other methods, which
// replace an object. It answers with status 409 if a POST names an existing object or the
// revision in the query is not the current one, and with status 404 if the object to
// delete or replace does not exist.
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
	expected := r.URL.Query().Get("revision")
	switch {
	case r.Method == http.MethodPost && exists,
		expected != "" && expected != strconv.FormatInt(old.Meta.Revision, 10):
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
	s.writeJSON(w, nil, body)
}

// list answers with the first page of the objects of a kind whose names sort behind
// after.
func (s *Store) list(w http.ResponseWriter, kind, after string, isStale bool) {
	s.mu.Lock()
	objects, revision := s.content(kind, isStale)
	names := make([]string, 0, len(objects))
	for name := range objects {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	hasMore := len(names) > s.pageSize
	items := []object{}
	for _, name := range names[:min(len(names), s.pageSize)] {
		items = append(items, objects[name])
	}
	rawSpecs := s.rawSpecs
	// A caller that does not read must not keep others out.
	s.mu.Unlock()
	s.writeJSON(w, rawSpecs, struct {
		Items    []object `json:"items"`
		More     bool     `json:"has_more"`
		Revision int64    `json:"store_revision"`
	}{items, hasMore, revision})
}

// watch answers with the changes of a kind after the revision in the query. If there are
// none it waits for a change, at most wait_ms, and then answers without changes.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := pause.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	cutsBefore, silencesBefore := s.disruptions(kind)
	for {
		events, revision, gone, fault, changed := s.changesSince(kind, from)
		rawSpecs := s.currentRawSpecs()
		cuts, silences := s.disruptions(kind)
		switch {
		case cuts != cutsBefore:
			panic(http.ErrAbortHandler)
		case silences != silencesBefore:
			<-r.Context().Done()
			return
		case fault == Down || fault == ClosedWatches || s.isCallerRefused(r):
			panic(http.ErrAbortHandler)
		case fault == Unresponsive:
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		case fault == StalledWatches:
			<-r.Context().Done()
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			s.writeJSON(w, rawSpecs, struct {
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
			s.writeJSON(w, rawSpecs, struct {
				Events   []change `json:"events"`
				Revision int64    `json:"store_revision"`
			}{[]change{}, revision})
			return
		}
	}
}

// changesSince returns the changes of a kind after the revision from, the current
// revision and the failure mode. gone is true if the history does not reach back to from, or
// the store has not reached from. changed is closed at the next change of the store or of its failure mode.
func (s *Store) changesSince(kind string, from int64) (events []change, revision int64, gone bool, fault Fault, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.history {
		if c.kind == kind && c.Object.Meta.Revision > from {
			events = append(events, c)
		}
	}
	return events, s.revision, from < s.historyStart || from > s.revision, s.fault, s.changed
}

// disruptions returns the number of times that the open watches of a kind have been cut off and
// silenced.
func (s *Store) disruptions(kind string) (cuts, silences int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts, s.silences[kind]
}

// SilenceWatches makes the open watches of a kind hear nothing any more.
func (s *Store) SilenceWatches(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silences == nil {
		s.silences = map[string]int{}
	}
	s.silences[kind]++
	s.notifyWatches()
}

// SetClosing sets whether the store closes each connection after one answer, as a server does that
// is about to end, and says so in the answer.
func (s *Store) SetClosing(isClosing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosing = isClosing
}

// CutWatches closes the connections of the open watches.
func (s *Store) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts++
	s.notifyWatches()
}

// currentRawSpecs returns the raw specs that have been put so far.
func (s *Store) currentRawSpecs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rawSpecs
}

// writeJSON writes an answer, with the raw specs in place of their placeholders.
func (s *Store) writeJSON(w http.ResponseWriter, rawSpecs []string, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	for n, raw := range rawSpecs {
		text = bytes.ReplaceAll(text, []byte(strconv.Quote(rawPlaceholder(n))), []byte(raw))
	}
	w.Header().Set("Content-Type", "application/json")
	s.mu.Lock()
	isClosing := s.isClosing
	s.mu.Unlock()
	if isClosing {
		w.Header().Set("Connection", "close")
	}
	if _, err := w.Write(text); err != nil {
		// The caller has closed the connection.
		return
	}
}
