package caller

import (
	"encoding/json"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"github.com/godwithatch/godwithatch/modules/fault"
)

// typePrefix makes a fault kind into the stable type of a problem.
const typePrefix = "urn:godwithatch:problem:"

// ProblemDetails is a refusal or failure as a Caller reads it (RFC 9457).
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

// statuses maps kinds of faults to HTTP statuses; the others are 502.
var statuses = map[fault.Kind]int{
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

// newProblem returns a fault as the Caller reads it.
func newProblem(f *fault.Fault) *ProblemDetails {
	status, ok := statuses[f.Kind()]
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

// writeProblem answers with a problem outside of the framework.
func writeProblem(w http.ResponseWriter, f *fault.Fault) {
	p := newProblem(f)
	w.Header().Set("Content-Type", p.ContentType(""))
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// frameworkError turns an error that the framework found in a request, before
// any handler ran, into a problem.
func frameworkError(status int, detail string, errs ...error) huma.StatusError {
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
