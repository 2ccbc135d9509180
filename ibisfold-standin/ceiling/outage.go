// Package ceiling works out what a load balancer with perfect knowledge could serve
// after an outage of everything: the bound that recovery is measured against.
package ceiling

import (
	"os"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/document"
)

// ErrOutage means that the description of an outage can't be used.
const ErrOutage = errors.ConstError("invalid outage")

// Outage describes a loss of power of all VMs, and the load around it. Times are on the
// clock of the day.
type Outage struct {
	// Start is when all requests in progress are lost, Back from when packets are served.
	Start time.Duration `yaml:"Start"`
	Back  time.Duration `yaml:"Back"`
	// Until ends the last window, Window is the length of each.
	Until  time.Duration `yaml:"Until"`
	Window time.Duration `yaml:"Window"`
	// Setup is what the search for an owner, the reset and the handshake of another flow
	// take.
	Setup time.Duration `yaml:"Setup"`
	// ColdTime is how long after Back the targets need ColdFactor times as long.
	ColdTime   time.Duration `yaml:"ColdTime"`
	ColdFactor float64       `yaml:"ColdFactor"`
	Pools      []Pool        `yaml:"Pools"`
	Classes    []Class       `yaml:"Classes"`
}

// Pool is a service: requests wait for any of its slots.
type Pool struct {
	Name  string `yaml:"Name"`
	Slots int    `yaml:"Slots"`
}

// Class is a kind of request.
type Class struct {
	Name string `yaml:"Name"`
	Pool string `yaml:"Pool"`
	// Rate is the number of requests a second.
	Rate float64 `yaml:"Rate"`
	// Work is the time of a slot for a request.
	Work time.Duration `yaml:"Work"`
	// Aim is the time for an answer of full Worth; until Deadline it has LateWorth.
	Aim       time.Duration `yaml:"Aim"`
	Deadline  time.Duration `yaml:"Deadline"`
	Worth     float64       `yaml:"Worth"`
	LateWorth float64       `yaml:"LateWorth"`
	// LostFlows is the number of open flows whose first request after Start is lost,
	// because it can't be repeated; zero if requests can be.
	LostFlows int `yaml:"LostFlows,omitempty"`
}

// Load reads and checks a YAML file. Error: ErrOutage, as a *document.Error.
func Load(path string) (*Outage, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "outage")
	}
	o := &Outage{}
	d, problems := document.Decode(b, o)
	if d == nil {
		return nil, document.NewError(ErrOutage, problems)
	}
	c := document.NewChecker(d, problems)
	o.check(c)

	return o, document.NewError(ErrOutage, c.Problems())
}

// Bounds of an outage.
const (
	maxTime  = time.Hour
	maxRate  = 100_000
	maxSlots = 1_000_000
	maxWorth = 1000
)

func (o *Outage) check(c *document.Checker) {
	document.Between(c, "Back", o.Back, o.Start, maxTime)
	document.Between(c, "Until", o.Until, o.Back, maxTime)
	document.Between(c, "Window", o.Window, time.Millisecond, maxTime)
	document.Between(c, "ColdFactor", o.ColdFactor, 1, maxWorth)
	pools := map[string]bool{}
	for i, p := range o.Pools {
		pools[p.Name] = true
		c.Range(document.Path("Pools", i, "Slots"), p.Slots, 1, maxSlots)
	}
	for i, x := range o.Classes {
		if !pools[x.Pool] {
			c.Add(document.Path("Classes", i, "Pool"), document.CodeMissing, "no pool has this name")
		}
		document.Between(c, document.Path("Classes", i, "Rate"), x.Rate, 0, maxRate)
		document.Between(c, document.Path("Classes", i, "Work"), x.Work, time.Microsecond, maxTime)
		document.Between(c, document.Path("Classes", i, "Deadline"), x.Deadline, x.Aim, maxTime)
		document.Between(c, document.Path("Classes", i, "Worth"), x.Worth, x.LateWorth, maxWorth)
	}
}
