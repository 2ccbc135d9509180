package consul

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// Prefix comes before the name of each ticket in its key.
	Prefix = "ibisfold/tickets/"
	// maxReads is the number of values that one call of Tickets reads: at
	// CallsPerSecond the first of them waits for at most 3 s.
	maxReads = 6
)

// Watcher returns the values under Prefix that it has not returned before.
type Watcher struct {
	Client *Client
	// Valid says whether a value can be used. Values that can not are read
	// again after the next change; by default all values can be used.
	Valid func(text []byte) bool

	mu sync.Mutex
	// index is that of the last list of keys, 0 to start over.
	index uint64
	// seen holds the index of the last change of each key that was read.
	seen map[string]uint64
	// unread holds keys that are listed and not read yet.
	unread []string
}

// Tickets returns the texts of values that were not returned before, the last
// key first. With wait above zero it waits that long for one to appear.
func (w *Watcher) Tickets(ctx context.Context, wait time.Duration) ([][]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.seen == nil {
		w.seen = map[string]uint64{}
	}
	if len(w.unread) == 0 {
		if err := w.list(ctx, wait); err != nil {
			return nil, err
		}
	}

	return w.read(ctx)
}

// list reads the list of keys and notes which ones must be read.
func (w *Watcher) list(ctx context.Context, wait time.Duration) error {
	keys, index, err := w.Client.Keys(ctx, Prefix, w.index, wait)
	if err != nil {
		return err
	}

	before := w.index
	w.index = index
	if index < before {
		w.startOver(index)
	}
	w.unread = w.unseen(keys)
	if index > before && len(w.unread) == 0 && len(keys) > 0 {
		// The list of keys does not tell which value changed.
		w.unread = []string{slices.Max(keys)}
	}

	return nil
}

// startOver forgets what was written after index, which went backwards: the
// service may have been restored with other values.
func (w *Watcher) startOver(index uint64) {
	w.index = 0
	for k, m := range w.seen {
		if m > index {
			delete(w.seen, k)
		}
	}
}

// unseen returns the keys that were not read, the last one first.
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

func (w *Watcher) read(ctx context.Context) ([][]byte, error) {
	texts := [][]byte{}
	for range min(maxReads, len(w.unread)) {
		b, changed, err := w.readOne(ctx, w.unread[0])
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

// readOne returns a value and whether it was not returned before. Keys that
// are gone or too long are passed over.
func (w *Watcher) readOne(ctx context.Context, key string) ([]byte, bool, error) {
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
