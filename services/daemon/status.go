package daemon

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/godwithatch/godwithatch/services/balance"
	"github.com/godwithatch/godwithatch/services/configuration"
	"github.com/godwithatch/godwithatch/services/move"
	"github.com/godwithatch/godwithatch/services/peer"
)

// Readiness says whether the load balancer should send requests to this host. If not, it
// lists the reasons.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// Readiness returns the readiness of this host.
func (d *Daemon) Readiness() Readiness {
	var reasons []string
	addReasonIf := func(condition bool, reason string) {
		if condition {
			reasons = append(reasons, reason)
		}
	}
	addReasonIf(d.isStopping.Load(), "stopping")
	addReasonIf(d.keeper.Generation() == 0, "no configuration yet")
	addReasonIf(d.isDrained.Load(), "the data centre is drained")
	addReasonIf(!d.members.HasPeerContact(), "no peer has answered since the start or a pause")
	addReasonIf(d.keeper.Generation() > 0 && len(d.keeper.Section().Load().Moves()) > 0 && !d.mover.IsLoaded(), "the progress of moves is not known yet")
	addReasonIf(d.members.IDConflicts() > 0, "another host uses this identity")
	return Readiness{Ready: len(reasons) == 0, Reasons: reasons}
}

// Status is the status of one host as shown to operators.
type Status struct {
	Host       string                `json:"host"`
	DataCentre string                `json:"data_centre"`
	Readiness  Readiness             `json:"readiness"`
	Generation uint64                `json:"generation"`
	Hosts      []string              `json:"hosts"`
	Tables     configuration.Verdict `json:"tables"`
	InFlight   int                   `json:"in_flight"`
	Snapshots  map[string]uint64     `json:"snapshots"`
	Moves      []move.Status         `json:"moves"`
}

// Status returns the status of this host.
func (d *Daemon) Status() Status {
	return Status{
		Host:       d.cfg.Host(),
		DataCentre: d.cfg.DataCentre(),
		Readiness:  d.Readiness(),
		Generation: d.keeper.Generation(),
		Hosts:      sortedIDs(d.members.Live().Load()),
		Tables:     d.verdict.Load(),
		InFlight:   d.engine.InFlight(),
		Snapshots:  d.snapshots(),
		Moves:      d.mover.Status(),
	}
}

// snapshots returns, by the name of the pool, the version of the snapshot that a query to
// the pool would read now. A pool without a snapshot is left out.
func (d *Daemon) snapshots() map[string]uint64 {
	versions := map[string]uint64{}
	view := d.view.Load()
	if view.Configuration() == nil {
		return versions
	}
	for name := range view.Configuration().Pools() {
		if s := view.Pool(name).Snapshot(); s != nil {
			versions[name] = s.Version()
		}
	}
	return versions
}

// statusObject returns the status of the deployment, which runStatus writes to the store.
func (d *Daemon) statusObject() any {
	return struct {
		Generation uint64                `json:"generation"`
		Tables     configuration.Verdict `json:"tables"`
		Hosts      []string              `json:"hosts"`
		Moves      []move.Status         `json:"moves"`
	}{d.keeper.Generation(), d.verdict.Load(), sortedIDs(d.members.Live().Load()), d.mover.Status()}
}

// serverState is the state of one server in the state dump.
type serverState struct {
	balance.Knowledge
	InFlight  int     `json:"in_flight"`
	Share     int     `json:"share"`
	Rank      int     `json:"rank"`
	LatencyMS float64 `json:"latency_ms"`
}

func (d *Daemon) serverStates() []serverState {
	var list []serverState
	for _, t := range d.fleet.Trackers() {
		list = append(list, serverState{t.Knowledge(), t.InFlight(), t.Share(), t.Rank(), float64(t.Latency().Microseconds()) / 1000})
	}
	slices.SortFunc(list, func(a, b serverState) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

// registerCounter registers a counter whose value is read by calling read.
func (d *Daemon) registerCounter(name, help string, read func() int64) {
	d.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: "godwithatch", Name: name, Help: help},
		func() float64 { return float64(read()) },
	))
}

// registerPeerMetrics registers the counters of the transport between hosts.
func (d *Daemon) registerPeerMetrics(t *peer.Counters) {
	d.registerCounter("peer_requests_total", "Requests to other hosts.", t.Requests.Load)
	d.registerCounter("peer_served_total", "Requests of other hosts.", t.Served.Load)
	d.registerCounter("peer_failures_total", "Requests to other hosts that failed.", t.Failures.Load)
	d.registerCounter("peer_sent_bytes_total", "Message bytes sent to other hosts.", t.BytesOut.Load)
	d.registerCounter("peer_received_bytes_total", "Message bytes received from other hosts.", t.BytesIn.Load)
}

// registerMetrics registers the metrics of queries and of the daemon.
func (d *Daemon) registerMetrics() {
	counter := d.registerCounter
	gauge := func(name, help string, read func() float64) {
		d.registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Namespace: "godwithatch", Name: name, Help: help}, read,
		))
	}
	c := d.engine.Counters()
	counter("queries_total", "Queries that arrived.", c.Queries.Load)
	counter("answers_total", "Queries with a complete answer.", c.Answered.Load)
	counter("partial_answers_total", "Queries with a partial answer.", c.Partial.Load)
	counter("refusals_total", "Queries refused and proved not run.", c.Refused.Load)
	counter("failures_total", "Queries that ended with an unknown outcome.", c.Failed.Load)
	counter("restarts_total", "Queries restarted on another snapshot or pool.", c.Restarts.Load)
	counter("attempts_total", "Requests sent towards servers.", c.Attempts.Load)
	counter("hedges_total", "Backup requests.", c.Hedges.Load)
	counter("probes_total", "Copies sent to slow or limited servers.", c.Probes.Load)
	counter("copies_total", "Copies that warm the new pool of a move.", c.Copies.Load)
	counter("retries_total", "Requests sent again after a failure.", c.Retries.Load)
	counter("hops_total", "Requests passed to another host.", c.Hops.Load)
	counter("quarantined_total", "Queries refused since their like crashed servers.", c.Quarantined.Load)
	counter("pauses_total", "Times that this process found it had been paused.", d.members.Pauses)
	gauge("generation", "Generation of the configuration in force.", func() float64 { return float64(d.keeper.Generation()) })
	gauge("hosts", "Live hosts of the system.", func() float64 { return float64(len(d.members.Live().Load())) })
	gauge("in_flight", "Queries in flight.", func() float64 { return float64(d.engine.InFlight()) })
}

// Fleet returns the fleet, which holds what this host knows of the servers.
func (d *Daemon) Fleet() *balance.Fleet { return d.fleet }
