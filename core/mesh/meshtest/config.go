package meshtest

import (
	"time"

	"ibisfold.example/core/mesh"
)

// configDelay is the delay of an answer of the configuration service.
const configDelay = 5 * time.Millisecond

// Config simulates the configuration service.
type Config struct {
	Texts [][]byte
	// Down makes all reads fail.
	Down bool
	// Reads counts all reads, answered or failed.
	Reads   int
	waiting []blockingQuery
}

// blockingQuery is a read that waits for a change. It is not answered if the
// node was restarted in the meantime, which replaces its core.
type blockingQuery struct {
	node  *Node
	core  *mesh.Core
	until time.Duration
}

// Set replaces the stored tickets and answers the blocking queries.
func (c *Config) Set(n *Network, texts ...[]byte) {
	c.Texts = texts
	for _, w := range c.waiting {
		c.answer(n, w)
	}
	c.waiting = nil
}

// Waiting returns the number of open blocking queries.
func (c *Config) Waiting() int {
	return len(c.waiting)
}

func (c *Config) read(n *Network, v *Node, wait time.Duration) {
	c.Reads++
	w := blockingQuery{
		node:  v,
		core:  v.Core,
		until: n.Now + wait,
	}
	if wait > 0 && !c.Down {
		c.waiting = append(c.waiting, w)

		return
	}
	c.answer(n, w)
}

func (c *Config) answer(n *Network, w blockingQuery) {
	if w.core != w.node.Core {
		return
	}
	if c.Down {
		n.schedule(w.node, mesh.ConfigFailed{}, configDelay)

		return
	}
	n.schedule(w.node, mesh.ConfigRead{
		Texts: c.Texts,
	}, configDelay)
}

// tick answers blocking queries whose time is over, and all of them while the
// service is down.
func (c *Config) tick(n *Network) {
	open := c.waiting[:0]
	for _, w := range c.waiting {
		if n.Now < w.until && !c.Down {
			open = append(open, w)

			continue
		}
		c.answer(n, w)
	}
	c.waiting = open
}
