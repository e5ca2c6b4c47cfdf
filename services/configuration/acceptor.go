package configuration

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/modules/pause"
	"github.com/godwithatch/godwithatch/services/platform"
	"github.com/godwithatch/godwithatch/services/table"
)

const (
	// rankDelay is the delay for each rank: an acceptor of rank n acts n times rankDelay
	// after a table has changed, so that usually only the acceptor of rank 0 writes.
	rankDelay = 700 * time.Millisecond
	// notAcceptor is the rank of a host that is not an acceptor.
	notAcceptor = -1
	// rankPollInterval is the interval at which a host that is not an acceptor checks
	// whether it has become one.
	rankPollInterval = time.Second
)

// Acceptor joins the tables in the store and, if they are valid, writes the accepted
// object: the store object that records the pair of tables as accepted.
type Acceptor struct {
	Store  platform.Store
	Keeper *Keeper
	// Host is the name of this host, recorded as the writer of the accepted object.
	Host string
	// Rank returns the position of this host among the acceptors, starting with 0 for
	// the one that acts first, or -1 if this host is not an acceptor.
	Rank func() int
	// Report, if not nil, is called with the verdict on each pair of tables that was
	// checked.
	Report func(Verdict)

	mu         sync.Mutex
	nonceCount uint64
}

// Verdict is the result of checking a pair of tables. Generation is the generation of the
// configuration in force on this host. Problems is empty if the pair is accepted.
type Verdict struct {
	RoutesVersion uint64         `json:"routes_version"`
	PoolsVersion  uint64         `json:"pools_version"`
	Generation    uint64         `json:"generation"`
	Problems      table.Problems `json:"problems"`
}

// Run checks each new pair of tables and accepts it if it is valid, until ctx ends.
func (a *Acceptor) Run(ctx context.Context) {
	changed := make(chan struct{}, 1)
	go a.watchTable(ctx, RoutesObject, changed)
	go a.watchTable(ctx, PoolsObject, changed)
	var backoff storeBackoff
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		for a.Rank() >= 0 {
			pause.For(ctx, time.Duration(a.Rank())*rankDelay)
			if _, err := a.Accept(ctx); err == nil {
				backoff.reset()
				break
			}
			if !backoff.wait(ctx) {
				return
			}
		}
	}
}

// watchTable sends a value on changed each time the store answers a watch of the named
// table, also if the table has not changed. It watches only while this host is an
// acceptor.
func (a *Acceptor) watchTable(ctx context.Context, name string, changed chan<- struct{}) {
	var backoff storeBackoff
	var version uint64
	for ctx.Err() == nil {
		if a.Rank() == notAcceptor {
			pause.For(ctx, rankPollInterval)
			version = 0
			continue
		}
		object, err := a.Store.Watch(ctx, name, version, maxWatchWait)
		if err != nil {
			backoff.wait(ctx)
			continue
		}
		backoff.reset()
		version = object.Version()
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

// Accept checks the current pair of tables once and accepts it if it is new and valid.
// An error means that no decision on the pair was made, for instance because the store
// did not answer. Nothing is lost then, and the call may be repeated.
func (a *Acceptor) Accept(ctx context.Context) (Verdict, error) {
	accepted, err := a.Store.Get(ctx, AcceptedObject)
	if err != nil && !fault.Is(err, fault.ObjectNotFound) {
		return Verdict{}, err
	}
	var provenance table.Provenance
	if err == nil {
		if _, provenance, err = table.Decode(accepted.Value()); err != nil {
			return Verdict{}, err
		}
		_, _ = a.Keeper.Offer(accepted.Value(), "store")
	}
	routes, pools, err := a.readTables(ctx)
	if err != nil {
		return Verdict{}, err
	}
	verdict := Verdict{RoutesVersion: routes.Version(), PoolsVersion: pools.Version(), Generation: a.Keeper.Generation()}
	if provenance.RoutesVersion() == routes.Version() && provenance.PoolsVersion() == pools.Version() {
		a.report(verdict)
		return verdict, nil
	}
	if routes.Version() < provenance.RoutesVersion() || pools.Version() < provenance.PoolsVersion() {
		return verdict, fault.New(fault.VersionConflict, fault.NotRun, "the tables are older than those accepted")
	}
	if _, problems := table.Join(routes.Value(), pools.Value()); len(problems) > 0 {
		verdict.Problems = problems
		a.report(verdict)
		return verdict, nil
	}
	return a.writeAccepted(ctx, verdict, accepted.Version(), routes, pools)
}

// readTables returns the routes object and the pools object.
func (a *Acceptor) readTables(ctx context.Context) (platform.Object, platform.Object, error) {
	routes, err := a.Store.Get(ctx, RoutesObject)
	if err != nil {
		return platform.Object{}, platform.Object{}, err
	}
	pools, err := a.Store.Get(ctx, PoolsObject)
	return routes, pools, err
}

// writeAccepted writes the accepted object if the object in the store still has the given
// version. If the outcome of the write is unknown, it reads the object back.
func (a *Acceptor) writeAccepted(ctx context.Context, verdict Verdict, version uint64, routes, pools platform.Object) (Verdict, error) {
	nonce := a.newNonce()
	provenance := table.NewProvenance(routes.Version(), pools.Version(), a.Host, nonce)
	document, err := table.Encode(a.Keeper.Generation()+1, provenance, routes.Value(), pools.Value())
	if err != nil {
		return verdict, fault.Wrap(fault.Internal, fault.NotRun, err, "the accepted object cannot be encoded")
	}
	if len(document) > platform.MaxValueBytes {
		verdict.Problems = table.Problems{{
			Table: "accepted", Row: "-", Field: "-",
			Message: "both tables together have " + strconv.Itoa(len(document)) + " bytes, more than an object may have",
		}}
		a.report(verdict)
		return verdict, nil
	}
	if _, err = a.Store.Put(ctx, AcceptedObject, document, version); err != nil {
		if err = a.readBack(ctx, nonce, err); err != nil {
			return verdict, err
		}
	}
	if _, err = a.Keeper.Offer(document, "accepted here"); err != nil {
		return verdict, err
	}
	verdict.Generation = a.Keeper.Generation()
	a.report(verdict)
	return verdict, nil
}

// readBack finds out whether the write that failed with cause took effect. It returns
// nil if the accepted object in the store carries nonce, the nonce of that write. If
// cause says that the write was not run, readBack returns cause without reading.
func (a *Acceptor) readBack(ctx context.Context, nonce string, cause error) error {
	if fault.From(cause).Outcome() == fault.NotRun {
		return cause
	}
	object, err := a.Store.Get(ctx, AcceptedObject)
	if err != nil {
		return err
	}
	_, provenance, err := table.Decode(object.Value())
	if err != nil {
		return err
	}
	if provenance.Nonce() != nonce {
		return cause
	}
	return nil
}

// newNonce returns a nonce that no other write of an accepted object has.
func (a *Acceptor) newNonce() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nonceCount++
	return a.Host + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.FormatUint(a.nonceCount, 36)
}

func (a *Acceptor) report(v Verdict) {
	if a.Report != nil {
		a.Report(v)
	}
}

// PutStatus writes status as JSON to the status object, unless the object already has
// this content.
func PutStatus(ctx context.Context, store platform.Store, status any) error {
	document, err := json.Marshal(status)
	if err != nil {
		return fault.Wrap(fault.Internal, fault.NotRun, err, "the status cannot be encoded")
	}
	old, err := store.Get(ctx, StatusObject)
	if err != nil && !fault.Is(err, fault.ObjectNotFound) {
		return err
	}
	if string(old.Value()) == string(document) {
		return nil
	}
	_, err = store.Put(ctx, StatusObject, document, old.Version())
	return err
}
