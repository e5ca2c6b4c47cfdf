// Package configuration validates the tables that operators edit, stores each valid
// pair as the accepted object and keeps every host on the newest accepted pair.
//
// # Usage
//
// A Keeper holds the configuration of the highest generation that this host has
// received. An accepted object of a lower generation never replaces it, whether the
// object comes from the store or from a peer:
//
//	var keeper configuration.Keeper
//	changed, err := keeper.Offer(document, "peer kingston-2")
//
// A Follower watches the accepted object in the store. An Acceptor joins the tables
// and writes that object by conditional update. Several acceptors may run at the same
// time: conditional updates by version make that safe, so that no lease is needed.
package configuration

import (
	"sync"

	"github.com/godwithatch/godwithatch/modules/blackboard"
	"github.com/godwithatch/godwithatch/services/table"
)

// Names of the objects in the store.
const (
	RoutesObject   = "routes"
	PoolsObject    = "pools"
	AcceptedObject = "accepted"
	StatusObject   = "status"
)

// Keeper holds the configuration in force on this host. The zero value holds no
// configuration.
type Keeper struct {
	mu      sync.Mutex
	section blackboard.Section[*table.Configuration]
}

// Section returns the blackboard section that holds the configuration.
func (k *Keeper) Section() *blackboard.Section[*table.Configuration] { return &k.section }

// Generation returns the generation of the configuration in force, or zero if there
// is none.
func (k *Keeper) Generation() uint64 { return k.section.Load().Generation() }

// Offer puts an accepted object in force if its generation is higher than the
// generation in force, and reports whether it did. source names where the object came
// from. If the object is damaged, Offer returns an error and changes nothing.
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
