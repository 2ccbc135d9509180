package target

import "sync"

// Run identifies a request over all targets.
type Run struct {
	Flow    uint64
	Request uint64
}

type runRecord struct {
	count      int
	idempotent bool
}

// Ledger counts the runs of each request over all targets of a site. The zero
// value is empty.
type Ledger struct {
	mu   sync.Mutex
	runs map[Run]runRecord
}

func (l *Ledger) add(r Run, idempotent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.runs == nil {
		l.runs = map[Run]runRecord{}
	}
	v := l.runs[r]
	v.count++
	v.idempotent = idempotent
	l.runs[r] = v
}

// Runs returns how often a request was run.
func (l *Ledger) Runs(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.runs[r].count
}

// Doubles returns the requests that were run more than once without being idempotent.
func (l *Ledger) Doubles() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()

	d := []Run{}
	for r, v := range l.runs {
		if v.count > 1 && !v.idempotent {
			d = append(d, r)
		}
	}

	return d
}

// Total returns the number of runs.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	n := 0
	for _, v := range l.runs {
		n += v.count
	}

	return n
}
