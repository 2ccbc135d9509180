package consul

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// Prefix is the common prefix of the keys of all tickets.
	Prefix = "ibisfold/tickets/"
	// maxReadsPerCall bounds the values that one call of Tickets reads, so that at
	// MaxCallsPerSecond the first of them is returned after at most 3 s.
	maxReadsPerCall = 6
)

// Watcher returns the values under Prefix that it has not returned before. It decides
// which keys must be read.
type Watcher struct {
	Client *Client
	// Valid reports whether a value can be used. The keys of other values are read
	// again after each list of keys, and their values are returned again. If Valid is
	// nil, all values can be used.
	Valid func(text []byte) bool

	mu sync.Mutex
	// index is the index of the last list of keys, or 0 to list without blocking.
	index uint64
	// seen maps each key that was read to the index of its last change.
	seen map[string]uint64
	// unread holds the listed keys that must still be read, in descending order.
	unread []string
}

// Tickets returns the texts of values that were not returned before, in descending order
// of their keys. With wait above zero it waits up to that long for the list of keys to
// change. Errors: those of Client.
func (w *Watcher) Tickets(ctx context.Context, wait time.Duration) ([][]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.seen == nil {
		w.seen = map[string]uint64{}
	}
	if len(w.unread) == 0 {
		if err := w.listKeys(ctx, wait); err != nil {
			return nil, err
		}
	}

	return w.readUnread(ctx)
}

// listKeys reads the list of keys and sets unread.
func (w *Watcher) listKeys(ctx context.Context, wait time.Duration) error {
	keys, index, err := w.Client.Keys(ctx, Prefix, w.index, wait)
	if err != nil {
		return err
	}

	before := w.index
	w.index = index
	if index < before {
		w.forgetAfter(index)
	}
	w.unread = w.unseen(keys)
	if index > before && len(w.unread) == 0 && len(keys) > 0 {
		// The value of a known key may have changed. The list does not tell which one, so
		// the highest key is read again.
		w.unread = []string{slices.Max(keys)}
	}

	return nil
}

// forgetAfter forgets the keys that were changed after index. It is called when the
// index of the list went backwards: the service may have been restored with other
// values.
func (w *Watcher) forgetAfter(index uint64) {
	w.index = 0
	for k, m := range w.seen {
		if m > index {
			delete(w.seen, k)
		}
	}
}

// unseen returns the keys that have not been read, in descending order.
func (w *Watcher) unseen(keys []string) []string {
	u := []string{}
	for _, k := range keys {
		if _, ok := w.seen[k]; !ok && k != Prefix {
			u = append(u, k)
		}
	}
	slices.Sort(u)
	slices.Reverse(u)

	return u
}

// readUnread reads up to maxReadsPerCall unread keys and returns their values. If a read
// fails, it returns the values read before and keeps the other keys for the next call.
func (w *Watcher) readUnread(ctx context.Context) ([][]byte, error) {
	texts := [][]byte{}
	for range min(maxReadsPerCall, len(w.unread)) {
		b, changed, err := w.readKey(ctx, w.unread[0])
		if err != nil && len(texts) > 0 {
			return texts, nil
		}
		if err != nil {
			return nil, err
		}
		w.unread = w.unread[1:]
		if changed {
			texts = append(texts, b)
		}
	}

	return texts, nil
}

// readKey returns the value of a key and whether it has not been returned before. Keys
// that are gone and values that are too long are skipped.
func (w *Watcher) readKey(ctx context.Context, key string) ([]byte, bool, error) {
	b, modified, err := w.Client.Value(ctx, key)
	switch {
	case errors.Is(err, ErrNotFound):
		return nil, false, nil
	case errors.Is(err, ErrTooLong):
		w.seen[key] = modified
		return nil, false, nil
	case err != nil:
		return nil, false, err
	}

	old, known := w.seen[key]
	if known && old == modified {
		return nil, false, nil
	}
	if w.Valid == nil || w.Valid(b) {
		w.seen[key] = modified
	}

	return b, true, nil
}
