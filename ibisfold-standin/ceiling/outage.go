// Package ceiling computes how many requests a load balancer with perfect knowledge could
// serve after a total outage. It is the upper bound that measured recovery is compared with.
package ceiling

import (
	"os"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/document"
)

// ErrOutage means that the description of an outage is invalid.
const ErrOutage = errors.ConstError("invalid outage")

// Outage describes a power loss of all VMs and the load around it. Start, Back and Until count
// from the start of the day, which is the recorded run that contains the outage.
type Outage struct {
	// Start is when all requests in progress are lost, Back when packets are served again.
	Start time.Duration `yaml:"Start"`
	Back  time.Duration `yaml:"Back"`
	// Until is the end of the last window, Window the length of each window.
	Until  time.Duration `yaml:"Until"`
	Window time.Duration `yaml:"Window"`
	// Setup is the duration of the owner search, the reset and the handshake of a new flow.
	Setup time.Duration `yaml:"Setup"`
	// ColdTime is how long after Back the targets are cold and take ColdFactor times as
	// long for a request.
	ColdTime   time.Duration `yaml:"ColdTime"`
	ColdFactor float64       `yaml:"ColdFactor"`
	Pools      []Pool        `yaml:"Pools"`
	Classes    []Class       `yaml:"Classes"`
}

// Pool is a service with its slots. A request can be served by any free slot.
type Pool struct {
	Name  string `yaml:"Name"`
	Slots int    `yaml:"Slots"`
}

// Class is a kind of request, sent to one pool at a constant rate.
type Class struct {
	Name string `yaml:"Name"`
	Pool string `yaml:"Pool"`
	// Rate is in requests per second.
	Rate float64 `yaml:"Rate"`
	// Work is how long a request occupies a slot of a warm target.
	Work time.Duration `yaml:"Work"`
	// An answer within Aim has the value Worth, a later one until Deadline has LateWorth.
	Aim       time.Duration `yaml:"Aim"`
	Deadline  time.Duration `yaml:"Deadline"`
	Worth     float64       `yaml:"Worth"`
	LateWorth float64       `yaml:"LateWorth"`
	// LostFlows is the number of open flows whose first request after Start is lost,
	// because it can't be repeated; zero if all requests can be repeated.
	LostFlows int `yaml:"LostFlows,omitempty"`
}

// Load reads and checks the YAML file of an outage. Error: ErrOutage, as a *document.Error.
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

// Upper bounds of the fields of an outage. maxRate is in requests per second; maxWorth also
// bounds ColdFactor.
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
