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
	// MaxAge is missing in answers of earlier versions.
	MaxAge time.Duration `json:",omitempty"`
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
		MaxAge:      b.MaxAge,
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

// maxAge bounds the age of a confirmation: a larger one would overflow when the time of its
// delivery is added. A confirmation that old is of no use.
const maxAge = 24 * time.Hour

// decodeBatch decodes and checks a Batch. It leaves out targets that can't be used, as if their
// entries were missing, and such configurations, and calls reportInvalid with the error of each:
// they must not keep the other changes from the process. Error: ErrInvalidAnswer.
func decodeBatch(p []byte, reportInvalid func(error)) (Batch, error) {
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
		Age:         min(x.Age, maxAge),
		MaxAge:      min(x.MaxAge, maxAge),
	}
	if b.Age < 0 || b.MaxAge < 0 {
		return Batch{}, errors.Annotatef(ErrInvalidAnswer, "negative age %v or %v", b.Age, b.MaxAge)
	}
	if b.MaxAge == 0 {
		b.MaxAge = maxAge
	}
	if len(x.Departed) > catalog.MaxDeparted {
		return Batch{}, errors.Annotatef(ErrInvalidAnswer, "too many departed targets: %d", len(x.Departed))
	}
	for _, d := range x.Departed {
		if err := checkDeparted(&d); err != nil {
			reportInvalid(err)
			continue
		}
		b.Departed = append(b.Departed, d)
	}
	for _, c := range x.Changes {
		switch {
		case c.Config != nil:
			if err := c.Config.Validate(); err != nil {
				reportInvalid(err)
				continue
			}
			b.Changes = append(b.Changes, catalog.ConfigChange{
				Config: c.Config,
			})
		case c.Target != nil:
			b.Changes = append(b.Changes, usableTarget(c.Target, reportInvalid))
		case c.Gone != nil:
			b.Changes = append(b.Changes, *c.Gone)
		case c.Zone != nil:
			b.Changes = append(b.Changes, *c.Zone)
		default:
			return Batch{}, errors.Annotate(ErrInvalidAnswer, "empty change")
		}
	}

	return b, nil
}

// usableTarget returns the change that adds a target, or the removal of a target that can't be
// used.
func usableTarget(t *catalog.Target, reportInvalid func(error)) catalog.Change {
	if err := t.Validate(); err != nil {
		reportInvalid(err)

		return catalog.TargetGone{
			ID: t.ID,
		}
	}

	return catalog.TargetChange{
		Target: *t,
	}
}

// checkDeparted reports an error for a target that can't be used or has a negative age. Errors:
// ErrInvalidAnswer, catalog.ErrInvalidTarget.
func checkDeparted(d *catalog.TargetDeparted) error {
	if d.Age < 0 {
		return errors.Annotatef(ErrInvalidAnswer, "departed target %q has a negative age", d.Target.ID)
	}

	return d.Target.Validate()
}
