package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/modules/setting"
	"github.com/godwithatch/godwithatch/services/query"
	"github.com/godwithatch/godwithatch/services/table"
)

// fakeRunner refuses every query. Only the 1000th query panics.
type fakeRunner struct{ runs int }

func (f *fakeRunner) Run(context.Context, query.Request) (*query.Result, error) {
	f.runs++
	if f.runs == 1000 {
		panic("boom")
	}
	return nil, fault.New(fault.Overloaded, fault.NotRun, "busy")
}

type fakeRoutes struct{ tables *table.Tables }

func (f fakeRoutes) Route(name string) (*table.Route, bool) { return f.tables.Route(name), true }

func newTestServer(t testing.TB) (http.Handler, *fakeRunner) {
	text, err := os.ReadFile("../../custom/conf/app.example.ini")
	if err != nil {
		t.Fatal(err)
	}
	settings := strings.NewReplacer("custom/conf/ca.pem", "/dev/null", "custom/conf/kingston-1.pem", "/dev/null", "custom/conf/kingston-1.key", "/dev/null").Replace(string(text))
	cfg, err := setting.Parse("test", []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	tables, problems := table.Join(
		[]byte(`{"routes":[{"name":"r","pool":"p","idempotent":true}]}`),
		[]byte(`{"pools":[{"name":"p","slots":1,"connections":1,"upstreams":[{"id":"u","address":"127.0.0.1:1","data_centre":"d"}]}]}`))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	runner := &fakeRunner{}
	return NewServer(cfg.Caller(), runner, fakeRoutes{tables}).Handler(), runner
}

func postQuery(h http.Handler, route, body string, headers map[string]string) (int, ProblemDetails, string) {
	req := httptest.NewRequest(http.MethodPost, "/v1/routes/"+route+"/query", strings.NewReader(body))
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	var p ProblemDetails
	_ = json.Unmarshal(w.Body.Bytes(), &p)
	return w.Code, p, w.Header().Get("Content-Type")
}

// TestServerRejectsInvalidInput checks that each kind of invalid input is answered with
// its own problem type and does not reach the engine.
func TestServerRejectsInvalidInput(t *testing.T) {
	cases := []struct {
		name, route, body string
		headers           map[string]string
		kind              fault.Kind
	}{
		{"malformed JSON", "r", `{"a":`, nil, fault.MalformedBody},
		{"empty body", "r", ``, nil, fault.MalformedBody},
		{"two values", "r", `{} {}`, nil, fault.MalformedBody},
		{"oversize body", "r", `"` + strings.Repeat("a", 2<<20) + `"`, nil, fault.BodyTooLarge},
		{"unknown route", "nowhere", `{}`, nil, fault.UnknownRoute},
		{"expired timeout", "r", `{}`, map[string]string{"Request-Timeout": "0"}, fault.InvalidTimeout},
		{"timeout above maximum", "r", `{}`, map[string]string{"Request-Timeout": "99999999"}, fault.InvalidTimeout},
		{"timeout not a number", "r", `{}`, map[string]string{"Request-Timeout": "1s"}, fault.InvalidTimeout},
		{"header too long", "r", `{}`, map[string]string{"X-Long": strings.Repeat("a", 20<<10)}, fault.HeaderTooLarge},
		{"key too long", "r", `{}`, map[string]string{"Idempotency-Key": strings.Repeat("a", 300)}, fault.InvalidKey},
		{"refused by the engine", "r", `{}`, nil, fault.Overloaded},
	}
	h, runner := newTestServer(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runsBefore := runner.runs
			status, p, contentType := postQuery(h, c.route, c.body, c.headers)
			if p.Type != typePrefix+c.kind.String() || p.Outcome != "not_run" || contentType != "application/problem+json" || status != p.Status {
				t.Fatalf("status %d, content type %s, problem %+v", status, contentType, p)
			}
			if ran := runner.runs > runsBefore; ran != (c.kind == fault.Overloaded) {
				t.Fatalf("query reached the engine: %v", ran)
			}
		})
	}
}

// TestServerRecoversFromPanic checks that a request whose handler panics is answered
// with a typed problem of unknown outcome that does not contain the panic's text, and
// that the server answers the next request.
func TestServerRecoversFromPanic(t *testing.T) {
	h, runner := newTestServer(t)
	runner.runs = 999
	_, p, _ := postQuery(h, "r", `{}`, nil)
	if p.Type != typePrefix+fault.Internal.String() || p.Outcome != "unknown" || strings.Contains(p.Detail, "boom") {
		t.Fatalf("problem after a panic: %+v", p)
	}
	if _, p, _ = postQuery(h, "r", `{}`, nil); p.Type != typePrefix+fault.Overloaded.String() {
		t.Fatalf("problem of the next request: %+v", p)
	}
}

// FuzzBody checks that no route, body, timeout or key makes the server answer with an
// internal error.
func FuzzBody(f *testing.F) {
	h, _ := newTestServer(f)
	f.Add("r", `{"a":1}`, "100", "key")
	f.Add("x", ``, "-1", "")
	f.Fuzz(func(t *testing.T, route, body, timeout, key string) {
		req := httptest.NewRequest(http.MethodPost, "/v1/routes/r/query", strings.NewReader(body))
		req.URL.Path = "/v1/routes/" + route + "/query"
		req.Header["Request-Timeout"] = []string{timeout}
		req.Header["Idempotency-Key"] = []string{key}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, req)
		if w.Code == http.StatusInternalServerError {
			t.Fatalf("internal server error: %s", w.Body)
		}
	})
}
