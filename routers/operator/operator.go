// Package operator implements the HTTP API for operators and the platform's load
// balancer.
//
// # Usage
//
//	GET /healthz      200 while the process runs
//	GET /readyz       200 while the load balancer should send requests, else 503
//	GET /metrics      Prometheus metrics
//	GET /status       the status of this host, JSON
//	GET /debug/state  the sections of the blackboard, each with its age and source
//
//	server := operator.NewServer(cfg, daemon)
//	err := server.Serve()
package operator

import (
	"context"
	"errors"
	"net/http"
	"path"
	"reflect"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/godwithatch/godwithatch/modules/blackboard"
	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/modules/setting"
	"github.com/godwithatch/godwithatch/services/daemon"
)

const readHeaderTimeout = 5 * time.Second

// Source provides the state of the process that the API exposes.
type Source interface {
	Readiness() daemon.Readiness
	Status() daemon.Status
	Dump() []blackboard.State
	Registry() *prometheus.Registry
}

// Server is the HTTP server for operators.
type Server struct {
	cfg    *setting.Operator
	source Source
	http   *http.Server
}

// NewServer returns a Server that is not listening yet.
func NewServer(cfg *setting.Operator, source Source) *Server {
	s := &Server{cfg: cfg, source: source}
	s.http = &http.Server{Addr: cfg.Listen(), Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	return s
}

type body[T any] struct{ Body T }

type readiness struct {
	Status int
	Body   daemon.Readiness
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("godwithatch operator", "1")
	config.CreateHooks = nil
	config.Components.Schemas = huma.NewMapRegistry("#/components/schemas/", schemaName)
	api := humago.New(mux, config)
	huma.Get(api, "/healthz", func(context.Context, *struct{}) (*body[string], error) {
		return &body[string]{"ok"}, nil
	})
	huma.Get(api, "/readyz", func(context.Context, *struct{}) (*readiness, error) {
		r := s.source.Readiness()
		status := http.StatusOK
		if !r.Ready {
			status = http.StatusServiceUnavailable
		}
		return &readiness{status, r}, nil
	})
	huma.Get(api, "/status", func(context.Context, *struct{}) (*body[daemon.Status], error) {
		return &body[daemon.Status]{s.source.Status()}, nil
	})
	huma.Get(api, "/debug/state", func(context.Context, *struct{}) (*body[[]blackboard.State], error) {
		return &body[[]blackboard.State]{s.source.Dump()}, nil
	})
	mux.Handle("/metrics", promhttp.HandlerFor(s.source.Registry(), promhttp.HandlerOpts{}))
	return mux
}

// schemaName prefixes the schema name of a type with its package, because several
// packages declare types of the same name.
func schemaName(t reflect.Type, hint string) string {
	return strings.ReplaceAll(path.Base(t.PkgPath()), ".", "") + huma.DefaultSchemaNamer(t, hint)
}

// Serve listens and answers requests until Shutdown is called.
func (s *Server) Serve() error {
	if err := s.http.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fault.Wrap(fault.Internal, fault.NotRun, err, "cannot serve operators on %s", s.cfg.Listen())
	}
	return nil
}

// Shutdown stops accepting requests and waits for those in flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
