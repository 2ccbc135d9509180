package feed

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/catalog"
)

// body is the JSON form of a Batch, as sources send it.
type body struct {
	Era         uint64 `json:",omitempty"`
	Revision    uint64
	Complete    bool
	AfterOutage bool
	Current     bool
	Age         time.Duration `json:",omitempty"`
	// Departed is separate from Changes so that processes of an earlier version can still
	// decode the rest.
	Departed []catalog.TargetDeparted `json:",omitempty"`
	Changes  []bodyChange
}

// bodyChange is the JSON form of a change, with exactly one field set.
type bodyChange struct {
	Config *catalog.Config     `json:",omitempty"`
	Target *catalog.Target     `json:",omitempty"`
	Gone   *catalog.TargetGone `json:",omitempty"`
	Zone   *catalog.ZoneChange `json:",omitempty"`
}

func encodeBatch(b Batch) ([]byte, error) {
	x := body{
		Era:         b.Position.Era,
		Revision:    b.Position.Revision,
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

// decodeBatch decodes and checks a Batch. Error: ErrInvalidAnswer.
func decodeBatch(p []byte) (Batch, error) {
	x := body{}
	if err := json.Unmarshal(p, &x); err != nil {
		return Batch{}, errors.WithType(err, ErrInvalidAnswer)
	}
	b := Batch{
		Position: Position{
			Era:      x.Era,
			Revision: x.Revision,
		},
		Complete:    x.Complete,
		AfterOutage: x.AfterOutage,
		Current:     x.Current,
		Age:         x.Age,
		Departed:    x.Departed,
	}
	if b.Age < 0 {
		return Batch{}, errors.Annotatef(ErrInvalidAnswer, "negative age %v", b.Age)
	}
	if len(b.Departed) > catalog.MaxDeparted {
		return Batch{}, errors.Annotatef(ErrInvalidAnswer, "too many departed targets: %d", len(b.Departed))
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
			return Batch{}, errors.Annotate(ErrInvalidAnswer, "empty change")
		}
		if err := c.check(); err != nil {
			return Batch{}, err
		}
	}

	return b, nil
}

// check reports an error for a change that the placement of flows can't handle.
// Error: ErrInvalidAnswer.
func (c *bodyChange) check() error {
	if c.Target == nil {
		return nil
	}

	return checkTarget(c.Target)
}

// checkDeparted reports an error for a target without a usable address or with a negative
// age. Error: ErrInvalidAnswer.
func checkDeparted(d *catalog.TargetDeparted) error {
	if d.Age < 0 {
		return errors.Annotatef(ErrInvalidAnswer, "departed target %q has a negative age", d.Target.ID)
	}

	return checkTarget(&d.Target)
}

func checkTarget(t *catalog.Target) error {
	if !t.Address.Addr().Is4() || t.Address.Port() == 0 {
		return errors.Annotatef(ErrInvalidAnswer, "target %q has no IPv4 address and port", t.ID)
	}

	return nil
}
