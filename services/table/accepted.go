package table

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// acceptedDocument is the JSON form of the accepted object: the store object that records
// a pair of tables as accepted. It holds both tables.
type acceptedDocument struct {
	Generation    uint64          `json:"generation"`
	RoutesVersion uint64          `json:"routes_version"`
	PoolsVersion  uint64          `json:"pools_version"`
	Writer        string          `json:"writer"`
	Nonce         string          `json:"nonce"`
	Routes        json.RawMessage `json:"routes"`
	Pools         json.RawMessage `json:"pools"`
}

// Provenance records how an accepted object was made: the store's versions of both tables
// in it, the host that wrote the object and the nonce of that write.
type Provenance struct {
	routesVersion uint64
	poolsVersion  uint64
	writer        string
	nonce         string
}

// NewProvenance returns a Provenance. The nonce is unique to each write, so that a writer
// that got no answer from the store can tell whether the stored object is its own.
func NewProvenance(routesVersion, poolsVersion uint64, writer, nonce string) Provenance {
	return Provenance{routesVersion, poolsVersion, writer, nonce}
}

// RoutesVersion returns the store's version of the routes table.
func (p Provenance) RoutesVersion() uint64 { return p.routesVersion }

// PoolsVersion returns the store's version of the pools table.
func (p Provenance) PoolsVersion() uint64 { return p.poolsVersion }

// Nonce returns the nonce of the write that stored the object.
func (p Provenance) Nonce() string { return p.nonce }

// Encode returns the store object that records a pair of tables as accepted. It returns
// an error if a table is not JSON, but does not check the content of the tables.
func Encode(generation uint64, provenance Provenance, routes, pools []byte) ([]byte, error) {
	return json.Marshal(acceptedDocument{
		Generation:    generation,
		RoutesVersion: provenance.routesVersion,
		PoolsVersion:  provenance.poolsVersion,
		Writer:        provenance.writer,
		Nonce:         provenance.nonce,
		Routes:        compactJSON(routes),
		Pools:         compactJSON(pools),
	})
}

// compactJSON removes the white space of a table, so that two indented tables of the
// largest size still fit into one object. If the document is not JSON, compactJSON
// returns it unchanged.
func compactJSON(document []byte) json.RawMessage {
	var out bytes.Buffer
	if err := json.Compact(&out, document); err != nil {
		return document
	}
	return out.Bytes()
}

// Decode parses a store object that records a pair of tables as accepted, and validates
// the tables in it. It returns a Problem or Problems if the object is damaged; such an
// object must not replace an earlier configuration.
func Decode(document []byte) (*Configuration, Provenance, error) {
	var doc acceptedDocument
	if err := json.Unmarshal(document, &doc); err != nil {
		return nil, Provenance{}, Problem{"accepted", "-", "-", err.Error()}
	}
	if doc.Generation == 0 {
		return nil, Provenance{}, Problem{"accepted", "-", "generation", "is missing"}
	}
	tables, problems := Join(doc.Routes, doc.Pools)
	if len(problems) > 0 {
		return nil, Provenance{}, problems
	}
	provenance := NewProvenance(doc.RoutesVersion, doc.PoolsVersion, doc.Writer, doc.Nonce)
	return &Configuration{Tables: tables, generation: doc.Generation, document: document}, provenance, nil
}

// summary returns the counts of a configuration and its drained data centres as
// JSON, without the tables themselves.
func (c *Configuration) summary() ([]byte, error) {
	if c == nil || c.Tables == nil {
		return []byte(`{"generation":0}`), nil
	}
	return json.Marshal(struct {
		Generation uint64          `json:"generation"`
		Routes     int             `json:"routes"`
		Pools      int             `json:"pools"`
		Upstreams  int             `json:"upstreams"`
		Moves      int             `json:"moves"`
		Drained    map[string]bool `json:"drained"`
		Bytes      int             `json:"bytes"`
	}{c.generation, len(c.routes), len(c.pools), c.UpstreamCount(), len(c.moves), c.drained, len(c.document)})
}

// String implements fmt.Stringer.
func (c *Configuration) String() string {
	return fmt.Sprintf("generation %d", c.Generation())
}
