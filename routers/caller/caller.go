// Package caller implements the HTTP API for callers.
//
// # Usage
//
// The only operation runs a query on a route:
//
//	POST /v1/routes/{route}/query
//	Request-Timeout: 400
//	Idempotency-Key: 5f0c...
//
// The body of the request is any JSON value. The answer contains the version of the
// snapshot, the coverage (which shards answered) and the results of each shard. Every
// refusal or failure is answered with application/problem+json, which has a stable type
// and the outcome not_run or unknown.
//
//	server := caller.NewServer(cfg, engine, routes)
//	err := server.Serve()
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/modules/setting"
	"github.com/godwithatch/godwithatch/services/query"
	"github.com/godwithatch/godwithatch/services/table"
)

const (
	maxIdempotencyKeyBytes = 255
	// readHeaderTimeout is the time within which the whole header of a request must
	// arrive.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// headerSlackBytes is the margin by which the header limit of net/http exceeds the
	// configured limit. A header between the two limits is thus read and answered with a
	// typed problem.
	headerSlackBytes = 64 << 10
)

// Runner runs queries.
type Runner interface {
	Run(ctx context.Context, req query.Request) (*query.Result, error)
}

// Routes looks up routes in the configuration that is in force.
type Routes interface {
	// Route returns the route with the given name, or nil if there is no such route. It
	// reports false if no configuration is in force.
	Route(name string) (*table.Route, bool)
}

type queryInput struct {
	Route   string `path:"route" maxLength:"128"`
	Timeout string `header:"Request-Timeout"`
	Key     string `header:"Idempotency-Key"`
	RawBody []byte
}

type coverage struct {
	Answered int   `json:"answered"`
	Total    int   `json:"total"`
	Missing  []int `json:"missing"`
}

type queryOutput struct {
	Body struct {
		Snapshot uint64              `json:"snapshot"`
		Coverage coverage            `json:"coverage"`
		Results  []query.ShardResult `json:"results"`
	}
}

// Server is the HTTP server for callers.
type Server struct {
	cfg    *setting.Caller
	runner Runner
	routes Routes
	http   *http.Server
}

// NewServer returns a Server that is not listening yet.
func NewServer(cfg *setting.Caller, runner Runner, routes Routes) *Server {
	s := &Server{cfg: cfg, runner: runner, routes: routes}
	s.http = &http.Server{
		Addr:              cfg.Listen(),
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(cfg.MaxHeader()) + headerSlackBytes,
	}
	return s
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	huma.NewError = newFrameworkProblem
	config := huma.DefaultConfig("godwithatch", "1")
	config.CreateHooks = nil
	api := humago.New(mux, config)
	huma.Register(api, huma.Operation{
		OperationID:  "query",
		Method:       http.MethodPost,
		Path:         "/v1/routes/{route}/query",
		Summary:      "Run a query on every shard of the route's pool",
		MaxBodyBytes: s.cfg.MaxBody(),
	}, s.query)
	return s.limitHeaderAndRecover(mux)
}

// limitHeaderAndRecover rejects requests whose header is too large. It answers a
// request whose handler panics with a typed problem, so that the panic does not affect
// other requests.
func (s *Server) limitHeaderAndRecover(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if recover() != nil {
				writeProblem(w, fault.New(fault.Internal, fault.Unknown, "the request met an internal failure"))
			}
		}()
		if size := headerSize(r.Header); size > s.cfg.MaxHeader() {
			writeProblem(w, fault.New(fault.HeaderTooLarge, fault.NotRun, "the header has %d bytes, the limit is %d", size, s.cfg.MaxHeader()))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func headerSize(h http.Header) int64 {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return int64(size)
}

func (s *Server) query(ctx context.Context, in *queryInput) (*queryOutput, error) {
	req, err := s.newRequest(in)
	if err != nil {
		return nil, newProblem(fault.From(err))
	}
	result, err := s.runner.Run(ctx, req)
	if err != nil {
		return nil, newProblem(fault.From(err))
	}
	out := &queryOutput{}
	out.Body.Snapshot = result.Snapshot()
	out.Body.Coverage = coverage{result.Answered(), result.Total(), append([]int{}, result.Missing()...)}
	out.Body.Results = result.Shards()
	return out, nil
}

// newRequest validates the input of a call and returns the request for the engine. Every
// error is a fault with the outcome NotRun.
func (s *Server) newRequest(in *queryInput) (query.Request, error) {
	if !json.Valid(in.RawBody) {
		return query.Request{}, fault.New(fault.MalformedBody, fault.NotRun, "the body is not one JSON value")
	}
	if len(in.Key) > maxIdempotencyKeyBytes {
		return query.Request{}, fault.New(fault.InvalidKey, fault.NotRun, "the Idempotency-Key has %d bytes, the limit is %d", len(in.Key), maxIdempotencyKeyBytes)
	}
	route, ok := s.routes.Route(in.Route)
	if !ok {
		return query.Request{}, fault.New(fault.NotReady, fault.NotRun, "this host has no configuration yet")
	}
	if route == nil {
		return query.Request{}, fault.New(fault.UnknownRoute, fault.NotRun, "there is no route %q", in.Route)
	}
	timeout, err := s.requestTimeout(in.Timeout, route)
	if err != nil {
		return query.Request{}, err
	}
	return query.NewRequest(in.Route, in.RawBody, time.Now().Add(timeout)).WithKey(in.Key), nil
}

func (s *Server) requestTimeout(header string, route *table.Route) (time.Duration, error) {
	if header == "" {
		return min(route.Timeout(), s.cfg.MaxTimeout()), nil
	}
	ms, err := strconv.ParseInt(header, 10, 32)
	if err != nil {
		return 0, fault.New(fault.InvalidTimeout, fault.NotRun, "Request-Timeout %q is not a number of milliseconds", header)
	}
	d := time.Duration(ms) * time.Millisecond
	if d <= 0 {
		return 0, fault.New(fault.InvalidTimeout, fault.NotRun, "Request-Timeout %d ms is already over", ms)
	}
	if d > s.cfg.MaxTimeout() {
		return 0, fault.New(fault.InvalidTimeout, fault.NotRun, "Request-Timeout %d ms is longer than %d ms", ms, s.cfg.MaxTimeout().Milliseconds())
	}
	return d, nil
}

// Serve listens and answers requests until Shutdown is called.
func (s *Server) Serve() error {
	if err := s.http.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fault.Wrap(fault.Internal, fault.NotRun, err, "cannot serve callers on %s", s.cfg.Listen())
	}
	return nil
}

// Shutdown stops accepting requests and waits for those in flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
