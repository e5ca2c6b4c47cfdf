package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/godwithatch/godwithatch/modules/blackboard"
	"github.com/godwithatch/godwithatch/modules/setting"
	"github.com/godwithatch/godwithatch/services/daemon"
)

type fakeSource struct{ ready bool }

func (f *fakeSource) Readiness() daemon.Readiness {
	return daemon.Readiness{Ready: f.ready, Reasons: []string{"stopping"}}
}
func (f *fakeSource) Status() daemon.Status { return daemon.Status{Host: "h"} }
func (f *fakeSource) Dump() []blackboard.State {
	return []blackboard.State{{Name: "configuration", Source: "store"}}
}
func (f *fakeSource) Registry() *prometheus.Registry { return prometheus.NewRegistry() }

// TestEndpointsAnswerAndReadyzFollowsReadiness checks that every endpoint answers and
// that the status of /readyz follows the readiness of the source.
func TestEndpointsAnswerAndReadyzFollowsReadiness(t *testing.T) {
	source := &fakeSource{}
	h := NewServer(&setting.Operator{}, source).Handler()
	get := func(path string) (int, string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code, w.Body.String()
	}
	for path, want := range map[string]string{"/healthz": "ok", "/status": `"host":"h"`, "/debug/state": `"source":"store"`, "/metrics": ""} {
		if status, body := get(path); status != http.StatusOK || !strings.Contains(body, want) {
			t.Errorf("%s: status %d, body %s", path, status, body)
		}
	}
	if status, body := get("/readyz"); status != http.StatusServiceUnavailable || !strings.Contains(body, "stopping") {
		t.Errorf("/readyz of a source that is not ready: status %d, body %s", status, body)
	}
	source.ready = true
	if status, _ := get("/readyz"); status != http.StatusOK {
		t.Errorf("/readyz of a ready source: status %d", status)
	}
}
