// Package delay runs functions after a delay, to simulate network links with latency.
package delay

import (
	"container/heap"
	"sync"
	"time"
)

// task is a function and the time at which it is due. seq numbers the tasks of a line in the order
// of the calls of Line.After.
type task struct {
	at  time.Time
	seq uint64
	run func()
}

// queue is a heap of tasks, ordered by due time and then by seq.
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
	t := (*q)[n]
	(*q)[n] = task{}
	*q = (*q)[:n]

	return t
}

// Line is a delay line: it runs functions after a delay, on one goroutine and in order of their
// due times.
type Line struct {
	mu    sync.Mutex
	tasks queue
	seq   uint64
	wake  chan struct{}
	done  chan struct{}
	once  sync.Once
}

// NewLine starts a delay line. Close stops it.
func NewLine() *Line {
	l := &Line{
		wake: make(chan struct{}, 1),
		done: make(chan struct{}),
	}
	go l.loop()

	return l
}

// After runs f after d, or on the caller's goroutine at once if d is zero or negative.
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

// Close stops the line. Functions that are not due yet do not run.
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

// runDue runs the tasks that are due and returns the time until the next one, or an hour if there
// is none.
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
		t := heap.Pop(&l.tasks).(task)
		l.mu.Unlock()
		t.run()
	}
}
