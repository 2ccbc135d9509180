// Package feed keeps a process up to date with the configuration service. It decides which
// upstream a process calls next: a few processes, the sources, watch the service and serve
// what they see; all others follow a source, and call the service only while no source is
// usable. The load on the service thus does not grow with the number of VMs.
package feed

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/catalog"
)

// Sentinel errors of an Upstream.
const (
	// ErrUnavailable means that the upstream does not answer, or does not know what is in
	// force.
	ErrUnavailable = errors.ConstError("upstream is not available")
	// ErrHistoryGone means that the upstream no longer has the changes since the revision.
	ErrHistoryGone = errors.ConstError("upstream no longer has this history")
	// ErrOutdated means that the answer of the upstream is from an earlier position than
	// what is known, so the upstream is behind or the answer is late.
	ErrOutdated = errors.ConstError("answer is older than what is known")
	// ErrInvalidAnswer means that the answer of the upstream is invalid.
	ErrInvalidAnswer = errors.ConstError("invalid answer from upstream")
)

// Position is a point in the history of the service.
type Position = catalog.Position

// Batch holds the changes up to a revision of the configuration service.
type Batch struct {
	// Position is where the next Watch continues.
	Position Position
	// Complete means that Changes lists the whole catalog: what it lacks is gone.
	Complete bool
	// AfterOutage means that the service was unavailable for a while, so the entries of
	// living targets may have expired.
	AfterOutage bool
	// Current means that the source was current when it answered with a listing: the service
	// had answered its last call, less than maxCurrentAge before. A source answers watches
	// only while it is current, and the service itself does not set Current.
	Current bool
	// Age is the time from the service's last answer to a source until the source's answer.
	// It is zero in an answer of the service.
	Age time.Duration
	// MaxAge is an upper bound on the time from the service making that answer until the
	// source's or, in an answer of the service, this process having it.
	MaxAge time.Duration
	// Departed holds targets that left but may still hold flows: all of them in a complete
	// Batch, otherwise only those that the source recently learned from another source.
	Departed []catalog.TargetDeparted
	// Changes holds no catalog.Listing.
	Changes []catalog.Change
}

// Upstream provides the catalog in force: the configuration service or a source.
type Upstream interface {
	// List returns a complete Batch.
	List(ctx context.Context) (Batch, error)
	// Watch waits at most for wait until there are changes after a position. The Batch may
	// be complete. If it is not and its Position does not continue from after, its Changes
	// are of another era and are no continuation. Errors include ErrHistoryGone.
	Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error)
	// Disconnect closes idle connections, so that the next call opens a new one.
	Disconnect()
}
