//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// deathTime is the time after which the system of a front ends a connection whose peer is
// behind a partition: the front sets keep-alive probes and TCP_USER_TIMEOUT to 3 s and less.
const deathTime = 3 * time.Second

// cuttable passes the connections of one front to the store. While it is cut, it passes
// nothing in either direction, as behind a partition. Connections that are open then end
// after deathTime. Connections that are opened meanwhile stay silent for good, since their
// first packet is lost, and the system sends it again only after a second, when the front has
// given up.
type cuttable struct {
	store string

	mu    sync.Mutex
	isCut bool
	open  map[net.Conn]bool
}

// newCuttable returns a cuttable and the address at which it listens.
func newCuttable(store, ip string) (*cuttable, string) {
	c := &cuttable{store: store, open: map[net.Conn]bool{}}
	l, err := net.Listen("tcp4", ip+":0")
	must(err)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go c.pass(nc)
		}
	}()
	return c, l.Addr().String()
}

func (c *cuttable) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCut = true
	var old []net.Conn
	for nc := range c.open {
		old = append(old, nc)
	}
	time.AfterFunc(deathTime, func() {
		for _, nc := range old {
			nc.Close()
		}
	})
}

func (c *cuttable) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCut = false
}

// isSilent reports whether nothing passes.
func (c *cuttable) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isCut
}

func (c *cuttable) pass(front net.Conn) {
	if c.isSilent() {
		io.Copy(io.Discard, front) //nolint:errcheck // Nothing reaches the store.
		front.Close()
		return
	}
	store, err := net.Dial("tcp4", c.store)
	if err != nil {
		front.Close()
		return
	}
	c.mu.Lock()
	c.open[front] = true
	c.mu.Unlock()
	go c.copy(store, front)
	c.copy(front, store)
	c.mu.Lock()
	delete(c.open, front)
	c.mu.Unlock()
}

// copy passes on what from sends, and closes both ends with it. What is sent while the link is
// cut is lost with its connection.
func (c *cuttable) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if c.isSilent() {
			io.Copy(io.Discard, from) //nolint:errcheck // Nothing passes any more.
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
