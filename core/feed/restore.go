package feed

import (
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/catalog"
)

// Restore describes how the service came back from an older copy of its data.
type Restore struct {
	// From is the last position that was known before, To the first one after.
	From Position
	To   Position
}

// checkServiceAnswer checks an answer of the service against the known position. Errors:
// ErrOutdated, and ErrHistoryGone for an answer to a watch that is no continuation because
// the service came back from an older copy.
func (f *Follower) checkServiceAnswer(b *Batch) error {
	p := b.Position
	switch {
	case p.Era < f.position.Era:
		return errors.Annotatef(ErrOutdated, "service is at %v, known is %v", p, f.position)
	case b.Complete || p.Continues(f.position):
		return nil
	}
	if p.Era > f.position.Era {
		f.moveTo(Position{
			Era: p.Era,
		})
	}

	return errors.Annotatef(ErrHistoryGone, "service is at %v", p)
}

// checkSourceAnswer checks an answer of a source against the known position. A source that
// is behind must not revert this process. Errors: ErrOutdated, ErrInvalidAnswer.
func (f *Follower) checkSourceAnswer(b *Batch) error {
	p := b.Position
	switch {
	case p.Before(f.position):
		return errors.Annotatef(ErrOutdated, "source is at %v, known is %v", p, f.position)
	case b.Complete || p.Continues(f.position):
		return nil
	}

	return errors.Annotatef(ErrInvalidAnswer, "source tells changes up to %v without a listing, known is %v", p, f.position)
}

// moveTo takes over the position of an answer. In a later era, or at an earlier revision of
// the same one, the service has come back from an older copy. Entries of living targets may
// be missing then, as after an outage.
func (f *Follower) moveTo(p Position) {
	from := f.position
	f.position = p
	if from == (Position{}) || p.Continues(from) {
		return
	}
	f.restoredAt = time.Now()
	f.outageEnd = f.restoredAt
	f.Restored(Restore{
		From: from,
		To:   p,
	})
}

// recentlyRestored reports whether a listing of the service may still be out of date because
// it came back from an older copy.
func (f *Follower) recentlyRestored() bool {
	return !f.restoredAt.IsZero() && time.Since(f.restoredAt) < catalog.RestoreGrace
}
