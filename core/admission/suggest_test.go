package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/admission"
)

// Guards against an agent that limits a warm target for long after its own
// restart, and against growth while the target is slower than its group.
func TestSuggestServiceTime(t *testing.T) {
	is := is.New(t)
	answers := func(took time.Duration) int {
		l := admission.Limiter{
			Slots: 2,
		}
		l.SuggestServiceTime(50 * time.Millisecond)
		is.Equal(l.ServiceTime(), time.Duration(0)) // a suggestion is not passed on to peers
		now := time.Second
		for n := range 1000 {
			if !l.Cold() {
				return n
			}
			now += took
			l.Answered(now, took)
		}

		return 1000
	}
	is.Equal(answers(50*time.Millisecond), 64)
	is.True(answers(200*time.Millisecond) > 128)
}
