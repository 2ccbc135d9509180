package meshtest

import (
	"time"

	"ibisfold.example/core/mesh"
)

// configDelay is the time that the configuration service takes for an answer.
const configDelay = 5 * time.Millisecond

// Config is a stand-in for the configuration service.
type Config struct {
	Texts [][]byte
	Down  bool
	// Reads counts answered and failed reads, Waiting the open blocking queries.
	Reads   int
	waiting []blockingQuery
}

type blockingQuery struct {
	node  *Node
	core  *mesh.Core
	until time.Duration
}

// Set replaces the stored tickets and answers the waiting queries.
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

// tick answers queries that waited long enough or whose service went down.
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
