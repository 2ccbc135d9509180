// Package feed keeps a process up to date with the configuration service. A few
// sources watch the service itself and pass on what they see; all others follow
// a source, and the service while no source is of use. The calls that the service
// gets thus do not grow with the number of VMs.
package feed

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/catalog"
)

// Sentinel errors of an Upstream.
const (
	// ErrUnavailable means that it does not answer, or can't say what is in force.
	ErrUnavailable = errors.ConstError("upstream is not available")
	// ErrHistory means that it no longer has the changes after the revision.
	ErrHistory = errors.ConstError("upstream no longer has this history")
	// ErrAnswer means that its answer can't be read.
	ErrAnswer = errors.ConstError("upstream gave an answer that can't be read")
)

// Batch is what changed up to a revision of the configuration service.
type Batch struct {
	// Revision is what the next Watch goes on from.
	Revision uint64
	// Complete means that Changes lists everything that is there: what it does not
	// list is gone.
	Complete bool
	// AfterOutage means that the service did not answer for a while, so entries of
	// living targets may have expired meanwhile.
	AfterOutage bool
	// Current means that a source which lists is current. It answers watches only while
	// it is, and the service itself does not tell.
	Current bool
	// Age is how long before a source's answer the service told what a source knows. Zero
	// for an answer of the service.
	Age time.Duration
	// Departed holds targets that left and may hold flows: all in a complete Batch,
	// otherwise those that a source has just learned of from another one.
	Departed []catalog.TargetDeparted
	// Changes holds no catalog.Listing.
	Changes []catalog.Change
}

// Confirmation tells whether an answer confirms the list of targets.
type Confirmation struct {
	// Current means that it does: the upstream was current.
	Current bool
	// Age is how long ago the service's own answer came, here or at a source, without the
	// time from the source to here.
	Age time.Duration
}

// Upstream tells what is in force: the configuration service or a source.
type Upstream interface {
	// List returns a complete Batch.
	List(ctx context.Context) (Batch, error)
	// Watch waits for changes after a revision, at most for wait. The Batch may be
	// complete. Error: also ErrHistory.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
	// Disconnect closes idle connections, so that the next call opens another one.
	Disconnect()
}
