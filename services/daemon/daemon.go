// Package daemon assembles the components of one process and runs them.
//
// # Usage
//
//	d, err := daemon.New(cfg, log)
//	err = d.Run(ctx, callers, operators)
//
// Run serves until ctx ends and then stops gracefully: the daemon reports that it is not
// ready, waits until the load balancer has noticed this, leaves the subset of every
// server (the hosts that may send requests to the server), finishes the requests in
// flight and returns. The components share state through the sections of a blackboard.
// Each section has one writer, and no controller (background goroutine) calls another.
package daemon

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"

	"github.com/godwithatch/godwithatch/modules/blackboard"
	"github.com/godwithatch/godwithatch/modules/broadcast"
	"github.com/godwithatch/godwithatch/modules/setting"
	"github.com/godwithatch/godwithatch/services/balance"
	"github.com/godwithatch/godwithatch/services/claim"
	"github.com/godwithatch/godwithatch/services/configuration"
	"github.com/godwithatch/godwithatch/services/membership"
	"github.com/godwithatch/godwithatch/services/move"
	"github.com/godwithatch/godwithatch/services/peer"
	"github.com/godwithatch/godwithatch/services/platform"
	"github.com/godwithatch/godwithatch/services/query"
	"github.com/godwithatch/godwithatch/services/table"
	"github.com/godwithatch/godwithatch/services/upstream"
)

// Daemon is one process of the query tier.
type Daemon struct {
	cfg *setting.Settings
	log zerolog.Logger
	// incarnation is the start time of the process in Unix milliseconds, so that a
	// process that starts later on the same host has a higher incarnation.
	incarnation uint64
	board       blackboard.Board
	view        blackboard.Section[*balance.View]

	keeper         configuration.Keeper
	verdict        blackboard.Section[configuration.Verdict]
	hostList       blackboard.Section[[]membership.Member]
	knowledgeQueue broadcast.Queue[string, balance.Knowledge]
	suspectQueue   broadcast.Queue[uint64, query.Suspect]
	progressQueue  broadcast.Queue[string, move.Progress]

	store     platform.Store
	servers   upstream.Transport
	members   *membership.Membership
	peers     Peers
	transport *peer.Transport
	fleet     *balance.Fleet
	claims    *claim.Service
	mover     *move.Mover
	engine    *query.Engine
	registry  *prometheus.Registry

	isStopping atomic.Bool
	// activeForwards is the number of requests of other hosts that this host is currently
	// sending to servers on their behalf.
	activeForwards          atomic.Int64
	isFetchingConfiguration atomic.Bool
	isSyncingState          atomic.Bool
	// syncedPauses is the number of pauses of this process that had been detected when
	// the last successful syncState started, plus one. It is 0 until a syncState
	// succeeds.
	syncedPauses atomic.Int64
	isDrained    atomic.Bool
	wasReady     atomic.Bool
	wg           sync.WaitGroup
}

// Peers sends requests to the other hosts. Outside tests it is a peer.Transport.
type Peers interface {
	Exchange(ctx context.Context, to membership.Member, message peer.Exchange) (peer.Exchange, error)
	Probe(ctx context.Context, via, target membership.Member) error
	Forward(ctx context.Context, to membership.Member, server string, call upstream.Call) (*upstream.Answer, error)
	Configuration(ctx context.Context, from membership.Member) ([]byte, error)
	Knowledge(ctx context.Context, from membership.Member) (peer.Exchange, error)
	Result(ctx context.Context, from membership.Member, nonce string) ([]byte, error)
	Claim(ctx context.Context, owner membership.Member, req claim.Request) (claim.Reply, error)
}

// Dependencies holds the interfaces through which the daemon reaches its peers, the
// servers and the platform, and the policy by which it balances load. Tests replace them
// with fakes.
type Dependencies struct {
	Store   platform.Store
	Servers upstream.Transport
	Peers   Peers
	Policy  balance.Policy
}

// New returns a Daemon whose listener for peers is already open.
func New(cfg *setting.Settings, log zerolog.Logger) (*Daemon, error) {
	credentials, err := peer.LoadCredentials(cfg.Peer().CA(), cfg.Peer().Cert(), cfg.Peer().Key())
	if err != nil {
		return nil, err
	}
	transport, err := peer.Listen(cfg.Peer().Listen(), credentials)
	if err != nil {
		return nil, err
	}
	d, err := NewWithDependencies(cfg, log, Dependencies{
		Store:   platform.NewClient(cfg.Platform().Address(), cfg.Platform().Timeout()),
		Servers: upstream.NewClient(cfg.Balance().Silence()),
		Peers:   transport,
		Policy: balance.Policy{
			SubsetSize: cfg.Balance().Subset(),
			HedgeShare: cfg.Balance().HedgeShare(),
			HedgeBurst: cfg.Balance().HedgeBurst(),
		},
	})
	if err != nil {
		return nil, err
	}
	d.transport = transport
	d.registerPeerMetrics(transport.Counters())
	return d, nil
}

// NewWithDependencies returns a Daemon that uses the given dependencies.
func NewWithDependencies(cfg *setting.Settings, log zerolog.Logger, deps Dependencies) (*Daemon, error) {
	d := &Daemon{
		cfg:         cfg,
		log:         log,
		incarnation: uint64(time.Now().UnixMilli()),
		registry:    prometheus.NewRegistry(),
		store:       deps.Store,
		servers:     deps.Servers,
		peers:       deps.Peers,
	}
	injector := do.New()
	do.ProvideValue(injector, d)
	do.ProvideValue(injector, deps.Policy)
	do.Provide(injector, provideFleet)
	do.Provide(injector, provideMembership)
	do.Provide(injector, provideClaims)
	do.Provide(injector, provideMover)
	do.Provide(injector, provideEngine)
	var err error
	if d.fleet, err = do.Invoke[*balance.Fleet](injector); err != nil {
		return nil, err
	}
	if d.members, err = do.Invoke[*membership.Membership](injector); err != nil {
		return nil, err
	}
	if d.claims, err = do.Invoke[*claim.Service](injector); err != nil {
		return nil, err
	}
	if d.mover, err = do.Invoke[*move.Mover](injector); err != nil {
		return nil, err
	}
	if d.engine, err = do.Invoke[*query.Engine](injector); err != nil {
		return nil, err
	}
	d.registerSections()
	d.registerMetrics()
	return d, nil
}

func provideFleet(i do.Injector) (*balance.Fleet, error) {
	cfg := do.MustInvoke[*Daemon](i).cfg
	return balance.NewFleet(cfg.Host(), cfg.DataCentre(), do.MustInvoke[balance.Policy](i)), nil
}

func provideMembership(i do.Injector) (*membership.Membership, error) {
	d := do.MustInvoke[*Daemon](i)
	self := membership.Member{
		ID:          d.cfg.Host(),
		Address:     d.cfg.Peer().Listen(),
		DataCentre:  d.cfg.DataCentre(),
		Incarnation: d.incarnation,
	}
	return membership.New(self, prober{d}, membership.Options{Heartbeat: d.cfg.Peer().Heartbeat()}), nil
}

func provideClaims(i do.Injector) (*claim.Service, error) {
	d := do.MustInvoke[*Daemon](i)
	return claim.NewService(claim.Options{
		Self:        d.cfg.Host(),
		Incarnation: strconv.FormatUint(d.incarnation, 36),
		Store:       d.store,
		Peers:       claimPeers{d},
		Buckets:     d.cfg.Balance().ClaimBuckets(),
		Owner:       d.claimOwner,
	}), nil
}

func provideMover(i do.Injector) (*move.Mover, error) {
	d := do.MustInvoke[*Daemon](i)
	return move.NewMover(move.Options{
		Host:        d.cfg.Host(),
		Incarnation: d.incarnation,
		Hosts:       func() []string { return sortedIDs(d.members.Live().Load()) },
		Health:      d.poolHealth,
	}), nil
}

func provideEngine(i do.Injector) (*query.Engine, error) {
	d := do.MustInvoke[*Daemon](i)
	return query.NewEngine(query.Options{
		Host:         d.cfg.Host(),
		Incarnation:  strconv.FormatUint(d.incarnation, 36),
		View:         &d.view,
		Fleet:        do.MustInvoke[*balance.Fleet](i),
		Server:       d.servers,
		Forwarder:    forwarder{d},
		Claimer:      do.MustInvoke[*claim.Service](i),
		PoolSelector: do.MustInvoke[*move.Mover](i),
		MaxInFlight:  d.cfg.Caller().MaxInFlight(),
	}), nil
}

// registerSections registers the sections of the state dump.
func (d *Daemon) registerSections() {
	blackboard.Add(&d.board, "configuration", d.keeper.Section())
	blackboard.Add(&d.board, "hosts", d.members.Live())
	blackboard.Add(&d.board, "host_list", &d.hostList)
	blackboard.Add(&d.board, "verdict", &d.verdict)
	d.board.AddComputed("members", func() any { return d.members.Members() })
	d.board.AddComputed("servers", func() any { return d.serverStates() })
	d.board.AddComputed("counters", func() any { return d.engine.Counters().Values() })
	d.board.AddComputed("ready", func() any { return d.Readiness() })
}

// Engine returns the engine that runs queries.
func (d *Daemon) Engine() *query.Engine { return d.engine }

// Route returns the route with the given name from the routes table, or nil if there is
// no such route. It reports false if no configuration is in force.
func (d *Daemon) Route(name string) (*table.Route, bool) {
	c := d.keeper.Section().Load()
	if c.Generation() == 0 {
		return nil, false
	}
	return c.Route(name), true
}

// Registry returns the registry of the daemon's metrics.
func (d *Daemon) Registry() *prometheus.Registry { return d.registry }

// Dump returns the state dump: the sections of the blackboard and values that are
// computed for the dump.
func (d *Daemon) Dump() []blackboard.State { return d.board.Dump() }

// Run serves until ctx ends and then stops gracefully. If a listener fails, it stops
// immediately and returns the listener's error.
func (d *Daemon) Run(ctx context.Context, callers, operators Listener) error {
	controllerCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go d.transport.Serve(d.Handler())
	d.Start(controllerCtx)
	failed := make(chan error, 2)
	go func() { failed <- callers.Serve() }()
	go func() { failed <- operators.Serve() }()
	d.log.Info().Str("caller", d.cfg.Caller().Listen()).Str("operator", d.cfg.Operator().Listen()).Msg("daemon started")
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		d.stopGracefully(callers)
	}
	stop()
	d.wg.Wait()
	_ = operators.Shutdown(context.Background())
	_ = d.transport.Close()
	d.log.Info().Msg("daemon stopped")
	return err
}

// Listener is an HTTP server that Run starts and stops.
type Listener interface {
	// Serve answers requests until Shutdown is called.
	Serve() error
	// Shutdown stops accepting requests and waits for those in flight until ctx ends.
	Shutdown(ctx context.Context) error
}

// forwardPollInterval is the interval at which stopGracefully checks whether requests of
// other hosts are still in flight.
const forwardPollInterval = 20 * time.Millisecond

// stopGracefully finishes all work before the process ends. Requests that arrive before
// the load balancer has noticed that this host is not ready are still served.
func (d *Daemon) stopGracefully(callers Listener) {
	d.isStopping.Store(true)
	d.log.Info().Str("state", "stopping").Msg("state changed")
	time.Sleep(d.cfg.Caller().DrainDelay())
	d.members.Leave()
	d.announce(context.Background())
	shutdownCtx, cancel := context.WithTimeout(context.Background(), d.cfg.Caller().MaxTimeout())
	defer cancel()
	_ = callers.Shutdown(shutdownCtx)
	// Peers learn within one or two heartbeats that this host has left.
	time.Sleep(2 * d.cfg.Peer().Heartbeat())
	for d.activeForwards.Load() > 0 && shutdownCtx.Err() == nil {
		time.Sleep(forwardPollInterval)
	}
}
