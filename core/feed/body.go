package feed

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/catalog"
)

// body is a Batch as sources send it.
type body struct {
	Revision    uint64
	Complete    bool
	AfterOutage bool
	Current     bool
	Age         time.Duration `json:",omitempty"`
	// Departed is no part of Changes, so that a process of an earlier version can read
	// the rest.
	Departed []catalog.TargetDeparted `json:",omitempty"`
	Changes  []bodyChange
}

// bodyChange has one field that is not nil.
type bodyChange struct {
	Config *catalog.Config     `json:",omitempty"`
	Target *catalog.Target     `json:",omitempty"`
	Gone   *catalog.TargetGone `json:",omitempty"`
	Zone   *catalog.ZoneChange `json:",omitempty"`
}

func encodeBatch(b Batch) ([]byte, error) {
	x := body{
		Revision:    b.Revision,
		Complete:    b.Complete,
		AfterOutage: b.AfterOutage,
		Current:     b.Current,
		Age:         b.Age,
		Departed:    b.Departed,
		Changes:     []bodyChange{},
	}
	for _, c := range b.Changes {
		switch c := c.(type) {
		case catalog.ConfigChange:
			x.Changes = append(x.Changes, bodyChange{
				Config: c.Config,
			})
		case catalog.TargetChange:
			x.Changes = append(x.Changes, bodyChange{
				Target: &c.Target,
			})
		case catalog.TargetGone:
			x.Changes = append(x.Changes, bodyChange{
				Gone: &c,
			})
		case catalog.ZoneChange:
			x.Changes = append(x.Changes, bodyChange{
				Zone: &c,
			})
		}
	}

	return json.Marshal(x)
}

// decodeBatch reads a Batch. Error: ErrAnswer.
func decodeBatch(p []byte) (Batch, error) {
	x := body{}
	if err := json.Unmarshal(p, &x); err != nil {
		return Batch{}, errors.WithType(err, ErrAnswer)
	}
	b := Batch{
		Revision:    x.Revision,
		Complete:    x.Complete,
		AfterOutage: x.AfterOutage,
		Current:     x.Current,
		Age:         x.Age,
		Departed:    x.Departed,
	}
	if b.Age < 0 {
		return Batch{}, errors.Annotatef(ErrAnswer, "age %v", b.Age)
	}
	if len(b.Departed) > catalog.MaxDeparted {
		return Batch{}, errors.Annotatef(ErrAnswer, "%d departed targets", len(b.Departed))
	}
	for i := range b.Departed {
		if err := checkDeparted(&b.Departed[i]); err != nil {
			return Batch{}, err
		}
	}
	for _, c := range x.Changes {
		switch {
		case c.Config != nil:
			b.Changes = append(b.Changes, catalog.ConfigChange{
				Config: c.Config,
			})
		case c.Target != nil:
			b.Changes = append(b.Changes, catalog.TargetChange{
				Target: *c.Target,
			})
		case c.Gone != nil:
			b.Changes = append(b.Changes, *c.Gone)
		case c.Zone != nil:
			b.Changes = append(b.Changes, *c.Zone)
		default:
			return Batch{}, errors.Annotate(ErrAnswer, "a change is empty")
		}
		if err := c.check(); err != nil {
			return Batch{}, err
		}
	}

	return b, nil
}

// check reports what placement can't use. Error: ErrAnswer.
func (c *bodyChange) check() error {
	if c.Target == nil {
		return nil
	}

	return checkTarget(c.Target)
}

// checkDeparted reports what can't be asked or can't be true. Error: ErrAnswer.
func checkDeparted(d *catalog.TargetDeparted) error {
	if d.Age < 0 {
		return errors.Annotatef(ErrAnswer, "target %q has not left yet", d.Target.ID)
	}

	return checkTarget(&d.Target)
}

func checkTarget(t *catalog.Target) error {
	if !t.Address.Addr().Is4() || t.Address.Port() == 0 {
		return errors.Annotatef(ErrAnswer, "target %q has no IPv4 address", t.ID)
	}

	return nil
}
