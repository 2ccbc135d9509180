package target

import "sync"

// Run identifies a request across all targets.
type Run struct {
	Flow    uint64
	Request uint64
}

// runs counts the runs of one request.
type runs struct {
	count      int
	idempotent bool
}

// Ledger counts how often each request ran on the targets of a site. The zero value is empty. Its
// methods are safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs map[Run]runs
}

func (l *Ledger) add(r Run, idempotent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.runs == nil {
		l.runs = map[Run]runs{}
	}
	v := l.runs[r]
	v.count++
	v.idempotent = idempotent
	l.runs[r] = v
}

// Runs returns how often a request ran.
func (l *Ledger) Runs(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.runs[r].count
}

// DoubleRuns returns the requests that ran more than once although they are not idempotent.
func (l *Ledger) DoubleRuns() []Run {
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

// Total returns the number of runs of all requests.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	n := 0
	for _, v := range l.runs {
		n += v.count
	}

	return n
}
