// Package blackboard provides typed, versioned sections through which controllers
// share state without calling each other.
//
// # Usage
//
// Each section has one writer and any number of readers. A reader on the request
// path calls Load, which is one atomic load and takes no lock:
//
//	var hosts blackboard.Section[[]string]
//	hosts.Store([]string{"a"}, "membership")
//	for _, h := range hosts.Load() { ... }
//
// A controller that waits for changes calls Changed before Load, so that it does not
// miss a change between the two calls:
//
//	for {
//		changed := hosts.Changed()
//		use(hosts.Load())
//		<-changed
//	}
//
// A Board names the sections that the state dump shows. The zero values of Section
// and Board are ready to use.
package blackboard

import (
	"sync"
	"sync/atomic"
	"time"
)

// storedValue is a value that Store or Update put into a section. changed is closed when
// a later value replaces this value.
type storedValue[T any] struct {
	value    T
	version  uint64
	source   string
	storedAt time.Time
	changed  chan struct{}
}

// Section is one typed section of the blackboard. A value must not be modified after
// it has been stored, since readers use it without a lock.
type Section[T any] struct {
	mu      sync.Mutex
	current atomic.Pointer[storedValue[T]]
}

// Load returns the current value, or the zero value if none has been stored.
func (s *Section[T]) Load() T {
	e := s.current.Load()
	if e == nil {
		var zero T
		return zero
	}
	return e.value
}

// Version returns the number of times that the section has been stored or updated.
func (s *Section[T]) Version() uint64 {
	e := s.current.Load()
	if e == nil {
		return 0
	}
	return e.version
}

// Store replaces the value. source names the controller or peer that the value comes
// from.
func (s *Section[T]) Store(value T, source string) {
	s.Update(source, func(T) T { return value })
}

// Update replaces the value with the result of fn, which receives the current value.
// Concurrent updates of a section run one at a time.
func (s *Section[T]) Update(source string, fn func(T) T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.entry()
	next := &storedValue[T]{
		value:    fn(old.value),
		version:  old.version + 1,
		source:   source,
		storedAt: time.Now(),
		changed:  make(chan struct{}),
	}
	s.current.Store(next)
	close(old.changed)
}

// Changed returns a channel that is closed at the next Store or Update.
func (s *Section[T]) Changed() <-chan struct{} {
	if e := s.current.Load(); e != nil {
		return e.changed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry().changed
}

// entry returns the current storedValue. If there is none, it stores and returns an
// empty storedValue. The caller must hold mu.
func (s *Section[T]) entry() *storedValue[T] {
	e := s.current.Load()
	if e == nil {
		e = &storedValue[T]{changed: make(chan struct{})}
		s.current.Store(e)
	}
	return e
}

// State is the state of one section as the state dump shows it.
type State struct {
	Name       string  `json:"name"`
	Version    uint64  `json:"version"`
	Source     string  `json:"source"`
	AgeSeconds float64 `json:"age_seconds"`
	Value      any     `json:"value"`
}

type dumper interface{ dump(name string) State }

func (s *Section[T]) dump(name string) State {
	e := s.current.Load()
	if e == nil || e.version == 0 {
		return State{Name: name, Source: "never written"}
	}
	return State{
		Name:       name,
		Version:    e.version,
		Source:     e.source,
		AgeSeconds: time.Since(e.storedAt).Seconds(),
		Value:      e.value,
	}
}

// Board is the list of named sections and computed values for the state dump.
type Board struct {
	mu       sync.Mutex
	names    []string
	sections []dumper
	computed map[string]func() any
}

// Add registers a section under a name.
func Add[T any](b *Board, name string, s *Section[T]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.names = append(b.names, name)
	b.sections = append(b.sections, s)
}

// AddComputed registers a value that each dump computes by calling fn.
func (b *Board) AddComputed(name string, fn func() any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.computed == nil {
		b.computed = map[string]func() any{}
	}
	b.computed[name] = fn
}

// Dump returns the state of every section and computed value.
func (b *Board) Dump() []State {
	b.mu.Lock()
	defer b.mu.Unlock()
	states := make([]State, 0, len(b.sections)+len(b.computed))
	for i, s := range b.sections {
		states = append(states, s.dump(b.names[i]))
	}
	for name, fn := range b.computed {
		states = append(states, State{Name: name, Source: "computed", Value: fn()})
	}
	return states
}
