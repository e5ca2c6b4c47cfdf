// Package setting loads and validates the settings of a daemon.
//
// # Usage
//
// The settings are an INI file. Load reads it, validates every key and returns all faults
// at once, each with its section, key and line:
//
//	cfg, err := setting.Load("custom/conf/app.ini")
//	var faults setting.Faults
//	if errors.As(err, &faults) { ... }
//
// CheckTogether compares the settings of several daemons and reports each identity or
// address that two daemons share. custom/conf/app.example.ini is a commented example with
// every key, unit and default.
package setting

import (
	"fmt"
	"time"
)

// Settings are the validated settings of one daemon.
type Settings struct {
	path       string
	host       string
	dataCentre string
	caller     Caller
	operator   Operator
	peer       Peer
	platform   Platform
	balance    Balance
	logLevel   string
}

// Caller holds the settings of the listener for callers.
type Caller struct {
	listen      string
	maxBody     int64
	maxHeader   int64
	maxTimeout  time.Duration
	maxInFlight int
	drainDelay  time.Duration
}

// Operator holds the settings of the listener for operators.
type Operator struct{ listen string }

// Peer holds the settings of the protocol between daemons.
type Peer struct {
	listen    string
	ca        string
	cert      string
	key       string
	heartbeat time.Duration
}

// Platform holds the settings of the client for the platform's object API.
type Platform struct {
	address  string
	timeout  time.Duration
	watchers int
	poll     time.Duration
}

// Balance holds the settings of load balancing.
type Balance struct {
	subset       int
	hedgeShare   float64
	hedgeBurst   int
	silence      time.Duration
	claimBuckets int
}

// Path returns the path of the file that the settings were read from.
func (s *Settings) Path() string { return s.path }

// Host returns the identity of this Host, which is unique in the deployment.
func (s *Settings) Host() string { return s.host }

// DataCentre returns the name of the DataCentre of this Host.
func (s *Settings) DataCentre() string { return s.dataCentre }

// Caller returns the settings of the listener for callers.
func (s *Settings) Caller() *Caller { return &s.caller }

// Operator returns the settings of the listener for operators.
func (s *Settings) Operator() *Operator { return &s.operator }

// Peer returns the settings of the protocol between daemons.
func (s *Settings) Peer() *Peer { return &s.peer }

// Platform returns the settings of the client for the platform's object API.
func (s *Settings) Platform() *Platform { return &s.platform }

// Balance returns the settings of load balancing.
func (s *Settings) Balance() *Balance { return &s.balance }

// LogLevel returns the lowest level that is logged: debug, info, warn or error.
func (s *Settings) LogLevel() string { return s.logLevel }

// Listen returns the IP address and TCP port of the listener for callers.
func (c *Caller) Listen() string { return c.listen }

// MaxBody returns the largest accepted request body in bytes.
func (c *Caller) MaxBody() int64 { return c.maxBody }

// MaxHeader returns the largest accepted request header in bytes.
func (c *Caller) MaxHeader() int64 { return c.maxHeader }

// MaxTimeout returns the longest timeout that a Caller may request.
func (c *Caller) MaxTimeout() time.Duration { return c.maxTimeout }

// MaxInFlight returns the largest number of queries that may run concurrently in the
// daemon.
func (c *Caller) MaxInFlight() int { return c.maxInFlight }

// DrainDelay returns the time for which the daemon continues to serve after it has
// reported that it is not ready, so that the load balancer has time to notice.
func (c *Caller) DrainDelay() time.Duration { return c.drainDelay }

// Listen returns the IP address and TCP port of the listener for operators.
func (o *Operator) Listen() string { return o.listen }

// Listen returns the IP address and UDP port for the peer protocol.
func (p *Peer) Listen() string { return p.listen }

// CA returns the path of the certificate of the daemons' certificate authority.
func (p *Peer) CA() string { return p.ca }

// Cert returns the path of the daemon's certificate.
func (p *Peer) Cert() string { return p.cert }

// Key returns the path of the daemon's private key.
func (p *Peer) Key() string { return p.key }

// Heartbeat returns the interval at which peers are probed.
func (p *Peer) Heartbeat() time.Duration { return p.heartbeat }

// Address returns the IP address and port of the object API.
func (p *Platform) Address() string { return p.address }

// Timeout returns the timeout of one call. For a watch, the time for which the store may
// hold the watch open is added.
func (p *Platform) Timeout() time.Duration { return p.timeout }

// Watchers returns the number of daemons in each DataCentre that watch the store.
func (p *Platform) Watchers() int { return p.watchers }

// Poll returns the interval at which a daemon that does not watch the store checks
// whether it has become a watcher. Daemons that watch the store read the list of hosts
// four times per interval.
func (p *Platform) Poll() time.Duration { return p.poll }

// Subset returns the number of daemons in the subset of a server, that is, the daemons
// that may send requests to that server. 0 means all daemons.
func (b *Balance) Subset() int { return b.subset }

// HedgeShare returns the number of extra sends (such as hedges) that are allowed, as a
// fraction of the number of requests. It is between 0 and 1.
func (b *Balance) HedgeShare() float64 { return b.hedgeShare }

// HedgeBurst returns the largest number of unused extra sends that a daemon saves up and
// may then make at once.
func (b *Balance) HedgeBurst() int { return b.hedgeBurst }

// Silence returns the time after which a connection that delivers no data is closed.
func (b *Balance) Silence() time.Duration { return b.silence }

// ClaimBuckets returns the number of buckets into which the keys of non-idempotent
// requests are hashed.
func (b *Balance) ClaimBuckets() int { return b.claimBuckets }

// Fault is one problem that Load, Parse or CheckTogether found.
type Fault struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Line    int    `json:"line"`
	Message string `json:"message"`
}

// Error implements error.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: [%s] %s: %s", f.File, f.Line, f.Section, f.Key, f.Message)
}

// Faults lists all faults of one or more files.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	if len(f) == 1 {
		return f[0].Error()
	}
	return fmt.Sprintf("%d faults in the settings, the first: %s", len(f), f[0].Error())
}
