package table

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"time"
)

// MaxDocumentBytes is the largest size of a table in bytes. It equals the platform's
// limit for the value of an object.
const MaxDocumentBytes = 1 << 20

const (
	defaultTimeout    = 400 * time.Millisecond
	maxTimeout        = 10 * time.Minute
	defaultTrialShare = 0.02
	maxConnections    = 100_000
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$`)

// Problem is one error found in a table, with the place where it was found.
type Problem struct {
	Table   string `json:"table"`
	Row     string `json:"row"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: row %s: %s: %s", p.Table, p.Row, p.Field, p.Message)
}

// Problems lists every error found in a pair of tables.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	if len(p) == 1 {
		return p[0].Error()
	}
	return fmt.Sprintf("%d problems in the tables, the first: %s", len(p), p[0].Error())
}

type routeRow struct {
	Name       string   `json:"name"`
	Pool       string   `json:"pool"`
	Idempotent bool     `json:"idempotent"`
	Partial    bool     `json:"partial"`
	Priority   Priority `json:"priority"`
	Timeout    string   `json:"timeout"`
}

type upstreamRow struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Draining   bool   `json:"draining"`
}

type poolRow struct {
	Name        string        `json:"name"`
	Slots       int           `json:"slots"`
	Connections int           `json:"connections"`
	Upstreams   []upstreamRow `json:"upstreams"`
}

type moveRow struct {
	ID         string    `json:"id"`
	From       string    `json:"from"`
	To         string    `json:"to"`
	Start      time.Time `json:"start"`
	Deadline   time.Time `json:"deadline"`
	TrialShare *float64  `json:"trial_share"`
}

type dataCentreRow struct {
	Name    string `json:"name"`
	Drained bool   `json:"drained"`
}

// joiner collects the rows of both documents in tables and every error in problems.
type joiner struct {
	tables      *Tables
	problems    Problems
	upstreamIDs map[string]bool
}

// Join parses and validates both documents and resolves the pool names in routes
// and moves. It returns either tables or at least one problem.
func Join(routes, pools []byte) (*Tables, Problems) {
	j := &joiner{
		tables: &Tables{
			routes:  map[string]*Route{},
			pools:   map[string]*Pool{},
			moves:   map[string]*Move{},
			drained: map[string]bool{},
		},
		upstreamIDs: map[string]bool{},
	}
	j.parsePools(pools)
	j.parseRoutes(routes)
	if len(j.problems) > 0 {
		return nil, j.problems
	}
	return j.tables, nil
}

func (j *joiner) addProblem(table, row, field, format string, args ...any) {
	j.problems = append(j.problems, Problem{table, row, field, fmt.Sprintf(format, args...)})
}

// decodeTable parses document into target. The document must be exactly one JSON value
// without unknown fields. If it is not, decodeTable adds a problem and reports false.
func (j *joiner) decodeTable(table string, document []byte, target any) bool {
	if len(document) > MaxDocumentBytes {
		j.addProblem(table, "-", "-", "%d bytes is more than %d", len(document), MaxDocumentBytes)
		return false
	}
	d := json.NewDecoder(bytes.NewReader(document))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		j.addProblem(table, "-", "-", "is not a table: %v", err)
		return false
	}
	if d.More() {
		j.addProblem(table, "-", "-", "holds more than one document")
		return false
	}
	return true
}

func (j *joiner) parsePools(document []byte) {
	var doc struct {
		Pools       []poolRow       `json:"pools"`
		Moves       []moveRow       `json:"moves"`
		DataCentres []dataCentreRow `json:"data_centres"`
	}
	if !j.decodeTable("pools", document, &doc) {
		return
	}
	for _, row := range doc.Pools {
		j.addPool(row)
	}
	for _, row := range doc.DataCentres {
		if _, ok := j.tables.drained[row.Name]; ok {
			j.addProblem("pools", row.Name, "data_centres", "stands twice")
		}
		j.tables.drained[row.Name] = row.Drained
	}
	ids := map[string]bool{}
	for _, row := range doc.Moves {
		if ids[row.ID] {
			j.addProblem("pools", row.ID, "moves", "stands twice")
		}
		ids[row.ID] = true
		j.addMove(row)
	}
}

func (j *joiner) addPool(row poolRow) {
	if !namePattern.MatchString(row.Name) {
		j.addProblem("pools", row.Name, "name", "%q is not a name", row.Name)
		return
	}
	if j.tables.pools[row.Name] != nil {
		j.addProblem("pools", row.Name, "name", "stands twice")
		return
	}
	if row.Slots < 1 || row.Slots > maxConnections {
		j.addProblem("pools", row.Name, "slots", "%d is not a number of slots", row.Slots)
	}
	if row.Connections < 1 || row.Connections > maxConnections {
		j.addProblem("pools", row.Name, "connections", "%d is not a number of connections", row.Connections)
	}
	if len(row.Upstreams) == 0 {
		j.addProblem("pools", row.Name, "upstreams", "there is none")
	}
	p := &Pool{name: row.Name, slots: row.Slots, connectionsPerServer: row.Connections}
	for _, u := range row.Upstreams {
		if upstream := j.parseUpstream(row.Name, u); upstream != nil {
			p.upstreams = append(p.upstreams, upstream)
		}
	}
	j.tables.pools[row.Name] = p
}

// parseUpstream returns the server that a row describes. If the row is invalid, it
// adds a problem and returns nil.
func (j *joiner) parseUpstream(pool string, row upstreamRow) *Upstream {
	if !namePattern.MatchString(row.ID) {
		j.addProblem("pools", pool, "upstreams.id", "%q is not a name", row.ID)
		return nil
	}
	if j.upstreamIDs[row.ID] {
		j.addProblem("pools", pool, "upstreams.id", "%q stands twice", row.ID)
		return nil
	}
	j.upstreamIDs[row.ID] = true
	address, err := netip.ParseAddrPort(row.Address)
	if err != nil || address.Port() == 0 {
		j.addProblem("pools", pool, "upstreams.address", "%q of %s is not an IP address with a port", row.Address, row.ID)
		return nil
	}
	if row.DataCentre == "" {
		j.addProblem("pools", pool, "upstreams.data_centre", "%s has none", row.ID)
		return nil
	}
	return NewUpstream(row.ID, address, row.DataCentre, row.Draining)
}

func (j *joiner) addMove(row moveRow) {
	m := &Move{id: row.ID, from: row.From, to: row.To, start: row.Start, deadline: row.Deadline, trialShare: defaultTrialShare}
	if row.TrialShare != nil {
		m.trialShare = *row.TrialShare
	}
	switch {
	case !namePattern.MatchString(row.ID):
		j.addProblem("pools", row.ID, "moves.id", "%q is not a name", row.ID)
	case j.tables.pools[row.From] == nil:
		j.addProblem("pools", row.ID, "moves.from", "there is no pool %q", row.From)
	case j.tables.pools[row.To] == nil:
		j.addProblem("pools", row.ID, "moves.to", "there is no pool %q", row.To)
	case row.From == row.To:
		j.addProblem("pools", row.ID, "moves.to", "is the same pool as from")
	case row.Start.IsZero() || !row.Deadline.After(row.Start):
		j.addProblem("pools", row.ID, "moves.deadline", "is not after start")
	case !(m.trialShare > 0 && m.trialShare <= 0.05):
		j.addProblem("pools", row.ID, "moves.trial_share", "%g is not above 0 and at most 0.05", m.trialShare)
	case j.tables.moves[row.From] != nil:
		j.addProblem("pools", row.ID, "moves.from", "pool %q has two moves", row.From)
	default:
		j.tables.moves[row.From] = m
	}
}

func (j *joiner) parseRoutes(document []byte) {
	var doc struct {
		Routes []routeRow `json:"routes"`
	}
	if !j.decodeTable("routes", document, &doc) {
		return
	}
	for _, row := range doc.Routes {
		j.addRoute(row)
	}
}

func (j *joiner) addRoute(row routeRow) {
	if !namePattern.MatchString(row.Name) {
		j.addProblem("routes", row.Name, "name", "%q is not a name", row.Name)
		return
	}
	if j.tables.routes[row.Name] != nil {
		j.addProblem("routes", row.Name, "name", "stands twice")
		return
	}
	if j.tables.pools[row.Pool] == nil {
		j.addProblem("routes", row.Name, "pool", "there is no pool %q", row.Pool)
	}
	timeout := defaultTimeout
	if row.Timeout != "" {
		d, err := time.ParseDuration(row.Timeout)
		if err != nil || d <= 0 || d > maxTimeout {
			j.addProblem("routes", row.Name, "timeout", "%q is not a duration with a unit, up to %s", row.Timeout, maxTimeout)
		}
		timeout = d
	}
	j.tables.routes[row.Name] = &Route{
		name:          row.Name,
		pool:          row.Pool,
		isIdempotent:  row.Idempotent,
		allowsPartial: row.Partial,
		priority:      row.Priority,
		timeout:       timeout,
	}
}
