package admission_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/admission"
)

const usual = 50 * time.Millisecond

// feed gives a limiter n answers of log-normal service times and returns the clock.
func feed(l *admission.Limiter, now time.Duration, n int, mean time.Duration, r *rand.Rand) time.Duration {
	for range n {
		d := time.Duration(float64(mean) * math.Exp(0.5*r.NormFloat64()-0.125))
		now += d
		l.Answered(now, d)
	}

	return now
}

// Guards against a limit that starts or stays above one on a cold target.
func TestLimiterCutsToOneAtOnce(t *testing.T) {
	tests := map[string]func(l *admission.Limiter, now time.Duration){
		"failure": func(l *admission.Limiter, now time.Duration) {
			l.Failed(now)
		},
		"new boot identity": func(l *admission.Limiter, _ time.Duration) {
			l.SetBoot(2)
		},
		"service time far out of range": func(l *admission.Limiter, now time.Duration) {
			l.Answered(now+time.Minute, 100*usual)
		},
		"several slow answers": func(l *admission.Limiter, now time.Duration) {
			for range 4 {
				now += 4 * usual
				l.Answered(now, 4*usual)
			}
		},
	}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := &admission.Limiter{
				Slots: 7,
			}
			is.Equal(l.Allow(), 1)
			l.SetBoot(1)
			now := feed(l, 0, 2000, usual, rand.New(rand.NewPCG(1, 1)))
			is.Equal(l.Allow(), 7)
			is.True(!l.Cold())
			cut(l, now)
			is.Equal(l.Allow(), 1)
			is.True(l.Cold())
			is.True(l.Usual() > 0) // the usual time survives the cold start
		})
	}
}

// Guards against growth while answers are slower than usual, against growth by
// more than one, and against a limit above the slots.
func TestLimiterGrowsOnlyWithUsualAnswers(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(2, 1))
	l := &admission.Limiter{
		Slots: 3,
	}
	now := feed(l, 0, 2000, usual, r)
	l.Failed(now)
	now = feed(l, now, 300, 2*usual, r)
	is.Equal(l.Allow(), 1)
	last := 1
	for range 500 {
		now = feed(l, now, 1, usual, r)
		is.True(l.Allow() <= last+1)
		last = l.Allow()
	}
	is.Equal(last, 3)
}

// Guards against a first start that takes the speed of a warming target for usual.
func TestLimiterWaitsForPlateau(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		r := rand.New(rand.NewPCG(seed, 1))
		l := &admission.Limiter{
			Slots: 2,
		}
		now := time.Duration(0)
		for n := range 250 {
			now = feed(l, now, 1, time.Duration(float64(usual)*(4-3*float64(n)/300)), r)
			is.Equal(l.Allow(), 1)
		}
	}
}

// Guards against a target that stays at one forever after it became slower for good.
func TestLimiterAcceptsNewUsualTime(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 1))
	l := &admission.Limiter{
		Slots: 4,
	}
	now := feed(l, 0, 2000, usual, r)
	now = feed(l, now, 3000, 3*usual, r)
	is.Equal(l.Allow(), 4)
	is.True(l.Usual() > 2*usual)
	_ = now
}

// Guards against answers of the warm target that arrive after a cut counting as
// answers of the cold one.
func TestLimiterIgnoresAnswersFromBeforeCut(t *testing.T) {
	is := is.New(t)
	l := &admission.Limiter{
		Slots: 2,
	}
	now := feed(l, 0, 2000, usual, rand.New(rand.NewPCG(4, 1)))
	l.Failed(now)
	for range 1000 {
		l.Answered(now+usual/2, usual)
	}
	is.Equal(l.Allow(), 1)
}

// Guards against false alarms: a warm target with skewed service times loses its
// slots at most once in 100,000 answers.
func TestLimiterKeepsWarmTarget(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(5, 1))
	l := &admission.Limiter{
		Slots: 7,
	}
	now := feed(l, 0, 2000, usual, r)
	cuts := 0
	for range 300000 {
		before := l.Allow()
		now = feed(l, now, 1, usual, r)
		if l.Allow() < before {
			cuts++
		}
	}
	is.True(cuts <= 3)
}

// Guards against a stall of the VM that costs the whole limit: all requests in
// progress are slow together, and the target is as fast as before afterwards.
func TestLimiterReturnsAfterStall(t *testing.T) {
	is := is.New(t)
	l := &admission.Limiter{
		Slots: 7,
	}
	l.Suggest(usual)
	now := time.Duration(0)
	answers := func(n int, took time.Duration) {
		for range n {
			now += took
			l.Answered(now, took)
		}
	}
	answers(500, usual)
	is.Equal(l.Allow(), 7)
	l.Answered(now, 20*usual)
	is.Equal(l.Allow(), 1) // cut at once
	answers(8, usual)
	is.Equal(l.Allow(), 7)

	l.Answered(now, 20*usual)
	answers(24, 3*usual) // the target is really slow
	is.Equal(l.Allow(), 1)
	answers(8, usual)
	is.Equal(l.Allow(), 1)
}
