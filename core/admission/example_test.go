package admission_test

import (
	"fmt"
	"time"

	"ibisfold.example/core/admission"
)

func ExampleLimiter() {
	l := &admission.Limiter{
		Slots: 2,
	}
	fmt.Println(l.CurrentLimit(), l.Cold())

	now := time.Duration(0)
	for range 300 {
		now += 50 * time.Millisecond
		l.Answered(now, 50*time.Millisecond)
	}
	fmt.Println(l.CurrentLimit(), l.Cold())

	l.Failed(now)
	fmt.Println(l.CurrentLimit(), l.Cold())
	// Output:
	// 1 true
	// 2 false
	// 1 true
}

func ExampleQueue() {
	q := &admission.Queue[string]{}
	q.Push("hotel", 0, "hotel 1")
	q.Push("hotel", 0, "hotel 2")
	q.Push("clinic", 0, "clinic 1")
	for range 3 {
		v, _ := q.Pop(0)
		fmt.Println(v)
	}
	// Output:
	// hotel 1
	// clinic 1
	// hotel 2
}
