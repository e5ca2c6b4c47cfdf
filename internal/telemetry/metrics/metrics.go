// Package metrics exposes the counters, gauges and request latencies of one host in
// the Prometheus text format, and a dump of the host's state as JSON.
//
// # Usage
//
//	m := metrics.New(metrics.Sources{Engine: e.Counters(), Fleet: f, ...})
//	m.ObserveRequest("sharded", took)
//	http.Handle("/", m.Handler())
//
// The value of a label is the kind of a route, an outcome, a reason or a status code,
// but never the name of a route or server. The number of time series therefore does not
// grow with the deployment.
package metrics

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/godwithatch/godwithatch/internal/protocol/http1"
	"github.com/godwithatch/godwithatch/internal/protocol/httpguard"
	"github.com/godwithatch/godwithatch/internal/routing/fleet"
	"github.com/godwithatch/godwithatch/internal/serving/engine"
	"github.com/godwithatch/godwithatch/internal/serving/quarantine"
	"github.com/godwithatch/godwithatch/internal/telemetry/logwriter"
)

const namespace = "godwithatch"

// The paths that Handler serves.
const (
	PathMetrics = "/metrics"
	PathState   = "/debug/state"
)

// latencyBuckets are the upper bounds of the latency histogram's buckets in seconds. The
// latency objectives of the deployments, after which an answer is worth less to the
// caller, lie between 0.08 and 0.6.
var latencyBuckets = []float64{0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.2, 0.3, 0.6, 1, 3}

// Sources are the components and functions that the metrics are read from.
type Sources struct {
	Engine    *engine.Counters
	Fleet     *fleet.Fleet
	LogWriter *logwriter.Writer
	// Connections returns the number of open connections to servers.
	Connections func() int
	// RejectedBodies returns the number of response bodies that were cut off because all
	// bodies together exceeded the memory for them.
	RejectedBodies func() int64
	// Responses returns the number of responses of servers with a match.
	Responses func(http1.Match) int64
	// UnreadableEntries returns the number of entries in answers of the store that could
	// not be read.
	UnreadableEntries func() int64
	// Quarantine holds the requests that are held back because they end servers.
	Quarantine *quarantine.Table
	// ConfigVersion returns the version of the configuration in force, or 0 if there is
	// none.
	ConfigVersion func() int64
	// StoreAge returns the time since the store last answered.
	StoreAge func() time.Duration
	// VerifiedAge returns the time since the moment as of which this host knows the revision of
	// the store without stale answers, or 0 if it reads from another host.
	VerifiedAge func() time.Duration
	// FollowsStore reports whether this host lists and watches the store itself, instead
	// of receiving the store's changes from another host. SourceChanges returns the
	// number of times that this host has switched from one source of the store's changes
	// to another.
	FollowsStore  func() bool
	SourceChanges func() int64
	// Divergences returns the number of times that a host which reads from this one held
	// other objects than this host at the same revision of the store.
	Divergences func() int64
	// StoreState returns the part of the state dump that describes how this host receives
	// the store's changes.
	StoreState func() any
}

// Metrics holds the metrics of one host.
type Metrics struct {
	sources    Sources
	registry   *prometheus.Registry
	latency    *prometheus.HistogramVec
	storeCalls *prometheus.CounterVec
}

// New returns Metrics that read their values from s.
func New(s Sources) *Metrics {
	m := &Metrics{
		sources:  s,
		registry: prometheus.NewRegistry(),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Buckets: latencyBuckets,
			Help: "Time from the arrival of a request to its answer, by kind of route.",
		}, []string{"kind"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_calls_total", Help: "Calls to the store by status; 0 is no answer.",
		}, []string{"status"}),
	}
	m.registry.MustRegister(m.latency, m.storeCalls)
	m.registerRequests()
	m.registerHostState()
	return m
}

// SetGuard adds the counters of the listener for clients.
func (m *Metrics) SetGuard(g *httpguard.Listener) {
	m.registerCounter("client_requests_refused_total", "Requests of clients that exceeded a limit, or for which there was no memory, before they were read.", "", "", func() float64 { return float64(g.Refused()) })
	m.registerCounter("client_connections_evicted_total", "Connections of clients that were closed because there were too many.", "", "", func() float64 { return float64(g.Evicted()) })
}

// ObserveRequest records the latency of one request to a route of the given kind.
func (m *Metrics) ObserveRequest(kind string, took time.Duration) {
	m.latency.WithLabelValues(kind).Observe(took.Seconds())
}

// CountStoreCall counts one call to the store by the HTTP status of the response. The
// status is "0" if there was no response.
func (m *Metrics) CountStoreCall(status string) { m.storeCalls.WithLabelValues(status).Inc() }

func (m *Metrics) registerCounter(name, help, label, value string, f func() float64) {
	opts := prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
	if label != "" {
		opts.ConstLabels = prometheus.Labels{label: value}
	}
	m.registry.MustRegister(prometheus.NewCounterFunc(opts, f))
}

func (m *Metrics) registerGauge(name, help string, f func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f))
}

func (m *Metrics) registerRequests() {
	c := m.sources.Engine
	const name, help = "requests_total", "Requests by their end."
	m.registerCounter(name, help, "end", "whole", func() float64 { return float64(c.Whole.Load()) })
	m.registerCounter(name, help, "end", "partial", func() float64 { return float64(c.Partial.Load()) })
	m.registerCounter(name, help, "end", "late", func() float64 { return float64(c.Late.Load()) })
	m.registerCounter(name, help, "end", "refused", func() float64 { return float64(c.Refused.Load()) })
	m.registerCounter(name, help, "end", "failed", func() float64 { return float64(c.Failed.Load()) })
	m.registerCounter(name, help, "end", "client_left", func() float64 { return float64(c.ClientLeft.Load()) })
	for i := range c.Sends {
		m.registerCounter("sends_total", "Requests to servers by their outcome.", "outcome", fleet.Outcome(i).String(),
			func() float64 { return float64(c.Sends[i].Load()) })
	}
	m.registerCounter("second_sends_total", "Sends beyond the first for a service.", "", "", func() float64 { return float64(c.ExtraSends.Load()) })
	for i := range c.UnpaidSends {
		m.registerCounter("second_sends_unpaid_total", "Sends beyond the first that the budget did not count, by the outcome of the send before.", "outcome", fleet.Outcome(i).String(),
			func() float64 { return float64(c.UnpaidSends[i].Load()) })
	}
	for i := range c.Denied {
		if d := engine.Denial(i); d != engine.NotDenied {
			m.registerCounter("second_sends_denied_total", "Further sends that did not happen, by reason.", "reason", d.String(),
				func() float64 { return float64(c.Denied[i].Load()) })
		}
	}
	m.registerCounter("servers_ended_total", "Sends during which the process of the server ended: the connection broke, and a new one was refused.", "", "", func() float64 { return float64(c.EndedServers.Load()) })
	m.registerCounter("servers_silenced_total", "Sends during which the server went silent.", "", "", func() float64 { return float64(c.SilentServers.Load()) })
	m.registerGauge("requests_in_flight", "Requests under way.", func() float64 { return float64(c.InFlight.Load()) })
}

func (m *Metrics) registerHostState() {
	s := m.sources
	m.registerGauge("requests_waiting", "Requests that wait for room at a server.", func() float64 { return float64(s.Fleet.Waiting()) })
	m.registerGauge("servers_believed", "Servers that this host believes in.", func() float64 { return float64(s.Fleet.Size()) })
	m.registerGauge("servers_leaving", "Servers that have stated in an answer that they leave.", func() float64 {
		leaving, _ := s.Fleet.NoticeCounts(time.Now())
		return float64(leaving)
	})
	m.registerGauge("servers_resting", "Servers that want no requests of this host at the moment (Retry-After).", func() float64 {
		_, resting := s.Fleet.NoticeCounts(time.Now())
		return float64(resting)
	})
	m.registerGauge("quarantined_requests", "Requests, by what they ask, that are held back because they end servers.", func() float64 { return float64(s.Quarantine.Held()) })
	m.registerCounter("quarantine_terms_total", "Times that this host judged that a request must be held back.", "", "", func() float64 { return float64(s.Quarantine.Terms()) })
	m.registerCounter("quarantined_total", "Refused requests that were held back.", "", "", func() float64 { return float64(s.Engine.Held.Load()) })
	m.registerGauge("server_connections", "Open connections to servers.", func() float64 { return float64(s.Connections()) })
	for _, match := range http1.MatchValues() {
		m.registerCounter("server_responses_total", "Responses of servers by their match to the request.", "match", match.String(), func() float64 { return float64(s.Responses(match)) })
	}
	m.registerCounter("server_bodies_cut_total", "Bodies of servers that were cut off because all bodies together exceeded the memory for them.", "", "", func() float64 { return float64(s.RejectedBodies()) })
	m.registerCounter("store_entries_unreadable_total", "Entries in answers of the store that could not be read.", "", "", func() float64 { return float64(s.UnreadableEntries()) })
	m.registerGauge("config_version", "Version of the configuration in force.", func() float64 { return float64(s.ConfigVersion()) })
	m.registerGauge("store_silence_seconds", "Time since the store last answered.", func() float64 { return s.StoreAge().Seconds() })
	m.registerGauge("store_verified_seconds", "Time since the moment as of which the revision of the store is known without stale answers; 0 if this host learns of changes from another host.", func() float64 { return s.VerifiedAge().Seconds() })
	m.registerGauge("follows_store", "1 if this host follows the store itself, 0 if it learns of changes from another host.", func() float64 {
		if s.FollowsStore() {
			return 1
		}
		return 0
	})
	m.registerCounter("source_changes_total", "Changes of whom this host learns of changes from.", "", "", func() float64 { return float64(s.SourceChanges()) })
	m.registerCounter("store_content_differences_total", "Requests of hosts that hold other objects than this host at the same revision of the store.", "", "", func() float64 { return float64(s.Divergences()) })
	m.registerCounter("log_lines_dropped_total", "Log lines lost because the output was behind.", "", "", func() float64 { return float64(s.LogWriter.Dropped()) })
	m.registerCounter("log_requests_denied_total", "Requests without lines because of the rate.", "", "", func() float64 { return float64(s.LogWriter.Denied()) })
}

// Handler returns a handler that serves the metrics and the state dump.
func (m *Metrics) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true}))
	mux.HandleFunc("GET "+PathState, m.serveState)
	return mux
}

func (m *Metrics) serveState(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	state := struct {
		Time    time.Time           `json:"time"`
		Config  int64               `json:"config_version"`
		StoreMs int64               `json:"store_silence_ms"`
		More    any                 `json:"store"`
		Servers []fleet.ServerState `json:"servers"`
	}{now, m.sources.ConfigVersion(), m.sources.StoreAge().Milliseconds(), m.sources.StoreState(), m.sources.Fleet.Dump(now)}
	if err := e.Encode(state); err != nil {
		// The client has closed the connection.
		return
	}
}
