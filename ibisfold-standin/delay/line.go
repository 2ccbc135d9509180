// Package delay runs functions later, as links of a network with delay need it.
package delay

import (
	"container/heap"
	"sync"
	"time"
)

type task struct {
	at  time.Time
	seq uint64
	run func()
}

type queue []task

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}

	return q[i].seq < q[j].seq
}

func (q *queue) Push(x any) { *q = append(*q, x.(task)) }

func (q *queue) Pop() any {
	n := len(*q) - 1
	i := (*q)[n]
	(*q)[n] = task{}
	*q = (*q)[:n]

	return i
}

// Line runs functions after a delay, on one goroutine and in order of time.
type Line struct {
	mu    sync.Mutex
	tasks queue
	seq   uint64
	wake  chan struct{}
	done  chan struct{}
	once  sync.Once
}

// NewLine starts a line; Close ends it.
func NewLine() *Line {
	l := &Line{
		wake: make(chan struct{}, 1),
		done: make(chan struct{}),
	}
	go l.loop()

	return l
}

// After runs f after d, or at once if d is not above zero.
func (l *Line) After(d time.Duration, f func()) {
	if d <= 0 {
		f()
		return
	}

	l.mu.Lock()
	l.seq++
	heap.Push(&l.tasks, task{
		at:  time.Now().Add(d),
		seq: l.seq,
		run: f,
	})
	first := l.tasks[0].seq == l.seq
	l.mu.Unlock()
	if !first {
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close ends the line; functions that have not run yet are dropped.
func (l *Line) Close() {
	l.once.Do(func() {
		close(l.done)
	})
}

func (l *Line) loop() {
	t := time.NewTimer(time.Hour)
	defer t.Stop()

	for {
		t.Reset(l.runDue())
		select {
		case <-t.C:
		case <-l.wake:
		case <-l.done:
			return
		}
	}
}

// runDue runs what is due and returns the time until the next item.
func (l *Line) runDue() time.Duration {
	for {
		l.mu.Lock()
		if len(l.tasks) == 0 {
			l.mu.Unlock()
			return time.Hour
		}
		if d := time.Until(l.tasks[0].at); d > 0 {
			l.mu.Unlock()
			return d
		}
		i := heap.Pop(&l.tasks).(task)
		l.mu.Unlock()
		i.run()
	}
}
