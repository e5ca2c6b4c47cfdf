// Package configuration accepts the tables that operators edit and brings every
// host to the newest accepted pair.
//
// # Usage
//
// A Keeper holds the highest generation that this host has seen and never goes
// below it, wherever an accepted object comes from:
//
//	var keeper configuration.Keeper
//	changed, err := keeper.Offer(document, "peer kingston-2")
//
// A Follower watches the accepted object in the store, and an Acceptor joins
// the tables and writes that object by conditional update. Several acceptors
// may run at once: the store's versions make that safe, and no lease is needed.
package configuration

import (
	"sync"

	"github.com/godwithatch/godwithatch/modules/blackboard"
	"github.com/godwithatch/godwithatch/services/table"
)

// The names of the objects in the store.
const (
	RoutesObject   = "routes"
	PoolsObject    = "pools"
	AcceptedObject = "accepted"
	StatusObject   = "status"
)

// Keeper holds the configuration in force on this host. The zero value holds
// none.
type Keeper struct {
	mu      sync.Mutex
	section blackboard.Section[*table.Configuration]
}

// Section returns the blackboard section of the configuration.
func (k *Keeper) Section() *blackboard.Section[*table.Configuration] { return &k.section }

// Generation returns the generation in force, or zero.
func (k *Keeper) Generation() uint64 { return k.section.Load().Generation() }

// Offer takes in an accepted object and reports whether it is newer than what
// is in force. A damaged object is refused with an error and changes nothing.
func (k *Keeper) Offer(document []byte, source string) (bool, error) {
	c, _, err := table.Decode(document)
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.Generation() <= k.Generation() {
		return false, nil
	}
	k.section.Store(c, source)
	return true, nil
}
