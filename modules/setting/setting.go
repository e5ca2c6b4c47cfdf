// Package setting loads and checks the settings of a process.
//
// # Usage
//
// Settings are an INI file. Load reads it, checks every key and returns all
// faults at once, each with its section, key and line:
//
//	cfg, err := setting.Load("custom/conf/app.ini")
//	var faults setting.Faults
//	if errors.As(err, &faults) { ... }
//
// CheckTogether compares the settings of several daemons, for two that share an
// identity or an address. The commented example with every key, unit and
// default is custom/conf/app.example.ini.
package setting

import (
	"fmt"
	"time"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	path     string
	host     string
	dc       string
	caller   Caller
	operator Operator
	peer     Peer
	platform Platform
	balance  Balance
	logLevel string
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

// Platform holds the settings of the client of the platform's object API.
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

// Path returns the file that the settings came from.
func (s *Settings) Path() string { return s.path }

// Host returns the identity of the Host.
func (s *Settings) Host() string { return s.host }

// DataCentre returns the DataCentre of the Host.
func (s *Settings) DataCentre() string { return s.dc }

// Caller returns the settings of the listener for callers.
func (s *Settings) Caller() *Caller { return &s.caller }

// Operator returns the settings of the listener for operators.
func (s *Settings) Operator() *Operator { return &s.operator }

// Peer returns the settings of the protocol between daemons.
func (s *Settings) Peer() *Peer { return &s.peer }

// Platform returns the settings of the platform's client.
func (s *Settings) Platform() *Platform { return &s.platform }

// Balance returns the settings of load balancing.
func (s *Settings) Balance() *Balance { return &s.balance }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// Listen returns the IP address and port for callers.
func (c *Caller) Listen() string { return c.listen }

// MaxBody returns the largest accepted body in bytes.
func (c *Caller) MaxBody() int64 { return c.maxBody }

// MaxHeader returns the largest accepted header block in bytes.
func (c *Caller) MaxHeader() int64 { return c.maxHeader }

// MaxTimeout returns the longest timeout that a Caller may ask for.
func (c *Caller) MaxTimeout() time.Duration { return c.maxTimeout }

// MaxInFlight returns how many queries may run at once.
func (c *Caller) MaxInFlight() int { return c.maxInFlight }

// DrainDelay returns how long the daemon serves on after it turned not ready,
// so that the balancer notices.
func (c *Caller) DrainDelay() time.Duration { return c.drainDelay }

// Listen returns the IP address and port for operators.
func (o *Operator) Listen() string { return o.listen }

// Listen returns the IP address and UDP port for peers.
func (p *Peer) Listen() string { return p.listen }

// CA returns the file of the certificate authority of the daemons.
func (p *Peer) CA() string { return p.ca }

// Cert returns the file of the daemon's certificate.
func (p *Peer) Cert() string { return p.cert }

// Key returns the file of the daemon's private key.
func (p *Peer) Key() string { return p.key }

// Heartbeat returns the interval between two probes of peers.
func (p *Peer) Heartbeat() time.Duration { return p.heartbeat }

// Address returns the IP address and port of the object API.
func (p *Platform) Address() string { return p.address }

// Timeout returns how long one call may take, beyond the wait of a watch.
func (p *Platform) Timeout() time.Duration { return p.timeout }

// Watchers returns how many daemons of a DataCentre watch the store.
func (p *Platform) Watchers() int { return p.watchers }

// Poll returns the interval of the slow re-read behind the watches.
func (p *Platform) Poll() time.Duration { return p.poll }

// Subset returns how many daemons may talk to one server; 0 means all.
func (b *Balance) Subset() int { return b.subset }

// HedgeShare returns the share of requests that may be sent a second time.
func (b *Balance) HedgeShare() float64 { return b.hedgeShare }

// HedgeBurst returns how many backup requests may follow each other at once.
func (b *Balance) HedgeBurst() int { return b.hedgeBurst }

// Silence returns how long a connection may give nothing before it is dropped.
func (b *Balance) Silence() time.Duration { return b.silence }

// ClaimBuckets returns how many groups the request keys are spread over.
func (b *Balance) ClaimBuckets() int { return b.claimBuckets }

// Fault is one problem found in the settings.
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

// Faults lists all problems of one or more files.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	if len(f) == 1 {
		return f[0].Error()
	}
	return fmt.Sprintf("%d faults in the settings, the first: %s", len(f), f[0].Error())
}
