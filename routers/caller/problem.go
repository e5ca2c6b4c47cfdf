package caller

import (
	"encoding/json"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"github.com/godwithatch/godwithatch/modules/fault"
)

// typePrefix precedes the fault kind in the type of a problem. Callers rely on the types,
// so they must not change.
const typePrefix = "urn:godwithatch:problem:"

// ProblemDetails is the body of the answer to a query that was refused or failed, in the
// format of RFC 9457.
type ProblemDetails struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome" enum:"not_run,unknown"`
}

// Error implements error.
func (p *ProblemDetails) Error() string { return p.Type + ": " + p.Detail }

// GetStatus implements huma.StatusError.
func (p *ProblemDetails) GetStatus() int { return p.Status }

// ContentType implements huma.ContentTypeFilter.
func (p *ProblemDetails) ContentType(string) string { return "application/problem+json" }

var _ huma.StatusError = (*ProblemDetails)(nil)

// statusByKind maps kinds of faults to HTTP statuses. A fault of any other kind is
// answered with 502.
var statusByKind = map[fault.Kind]int{
	fault.Internal:           http.StatusInternalServerError,
	fault.MalformedBody:      http.StatusBadRequest,
	fault.BodyTooLarge:       http.StatusRequestEntityTooLarge,
	fault.HeaderTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	fault.UnknownRoute:       http.StatusNotFound,
	fault.InvalidTimeout:     http.StatusBadRequest,
	fault.InvalidKey:         http.StatusBadRequest,
	fault.KeyRequired:        http.StatusBadRequest,
	fault.KeyInUse:           http.StatusConflict,
	fault.KeyMismatch:        http.StatusUnprocessableEntity,
	fault.KeyExpired:         http.StatusConflict,
	fault.OutcomeUnknown:     http.StatusConflict,
	fault.DeadlineExceeded:   http.StatusGatewayTimeout,
	fault.Overloaded:         http.StatusServiceUnavailable,
	fault.NotReady:           http.StatusServiceUnavailable,
	fault.Stopping:           http.StatusServiceUnavailable,
	fault.NoSnapshot:         http.StatusServiceUnavailable,
	fault.StoreUnavailable:   http.StatusServiceUnavailable,
	fault.RequestQuarantined: http.StatusUnprocessableEntity,
}

// newProblem converts a fault to the problem that the caller receives.
func newProblem(f *fault.Fault) *ProblemDetails {
	status, ok := statusByKind[f.Kind()]
	if !ok {
		status = http.StatusBadGateway
	}
	return &ProblemDetails{
		Type:    typePrefix + f.Kind().String(),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  f.Detail(),
		Outcome: f.Outcome().String(),
	}
}

// writeProblem answers a request with the problem of a fault. It serves requests that do
// not reach huma, the HTTP framework, and requests whose handler panicked.
func writeProblem(w http.ResponseWriter, f *fault.Fault) {
	p := newProblem(f)
	w.Header().Set("Content-Type", p.ContentType(""))
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// newFrameworkProblem converts an error that huma, the HTTP framework, found in a request
// before the handler ran. It returns the problem that the caller receives.
func newFrameworkProblem(status int, detail string, errs ...error) huma.StatusError {
	kind := fault.MalformedBody
	switch {
	case status == http.StatusRequestEntityTooLarge:
		kind = fault.BodyTooLarge
	case status >= http.StatusInternalServerError:
		kind = fault.Internal
	}
	for _, err := range errs {
		detail += ": " + err.Error()
	}
	p := newProblem(fault.New(kind, fault.NotRun, "%s", detail))
	p.Status = status
	p.Title = http.StatusText(status)
	return p
}
