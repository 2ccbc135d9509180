package admission_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/admission"
)

const serviceTime = 50 * time.Millisecond

// addAnswers gives a limiter n answers with log-normal service times, one after
// the other, and returns the time of the last one.
func addAnswers(l *admission.Limiter, now time.Duration, n int, mean time.Duration, r *rand.Rand) time.Duration {
	for range n {
		d := time.Duration(float64(mean) * math.Exp(0.5*r.NormFloat64()-0.125))
		now += d
		l.Answered(now, d)
	}

	return now
}

// Guards against a limit that starts or stays above one on a cold target.
func TestLimiterResetsColdTargetAtOnce(t *testing.T) {
	tests := map[string]func(l *admission.Limiter, now time.Duration){
		"failure": func(l *admission.Limiter, now time.Duration) {
			l.Failed(now)
		},
		"new boot identity": func(l *admission.Limiter, _ time.Duration) {
			l.SetBoot(2)
		},
		"service time far out of range": func(l *admission.Limiter, now time.Duration) {
			l.Answered(now+time.Minute, 100*serviceTime)
		},
		"several slow answers": func(l *admission.Limiter, now time.Duration) {
			for range 4 {
				now += 4 * serviceTime
				l.Answered(now, 4*serviceTime)
			}
		},
	}
	for name, makeCold := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := &admission.Limiter{
				Slots: 7,
			}
			is.Equal(l.CurrentLimit(), 1)
			l.SetBoot(1)
			now := addAnswers(l, 0, 2000, serviceTime, rand.New(rand.NewPCG(1, 1)))
			is.Equal(l.CurrentLimit(), 7)
			is.True(!l.Cold())
			makeCold(l, now)
			is.Equal(l.CurrentLimit(), 1)
			is.True(l.Cold())
			is.True(l.ServiceTime() > 0) // the baseline survives the cold start
		})
	}
}

// Guards against growth while answers are slower than the baseline, growth by
// more than one, and a limit above the slots.
func TestLimiterGrowsOnlyAtBaselineSpeed(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(2, 1))
	l := &admission.Limiter{
		Slots: 3,
	}
	now := addAnswers(l, 0, 2000, serviceTime, r)
	l.Failed(now)
	now = addAnswers(l, now, 300, 2*serviceTime, r)
	is.Equal(l.CurrentLimit(), 1)
	last := 1
	for range 500 {
		now = addAnswers(l, now, 1, serviceTime, r)
		is.True(l.CurrentLimit() <= last+1)
		last = l.CurrentLimit()
	}
	is.Equal(last, 3)
}

// Guards against a first start that takes the service time of a warming target as
// its baseline.
func TestLimiterWaitsForPlateau(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		r := rand.New(rand.NewPCG(seed, 1))
		l := &admission.Limiter{
			Slots: 2,
		}
		now := time.Duration(0)
		for n := range 250 {
			now = addAnswers(l, now, 1, time.Duration(float64(serviceTime)*(4-3*float64(n)/300)), r)
			is.Equal(l.CurrentLimit(), 1)
		}
	}
}

// Guards against a target that stays at a limit of one forever after it became
// permanently slower.
func TestLimiterLearnsNewBaseline(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 1))
	l := &admission.Limiter{
		Slots: 4,
	}
	now := addAnswers(l, 0, 2000, serviceTime, r)
	now = addAnswers(l, now, 3000, 3*serviceTime, r)
	is.Equal(l.CurrentLimit(), 4)
	is.True(l.ServiceTime() > 2*serviceTime)
	_ = now
}

// Guards against counting answers of the warm target that arrive after a reset as
// answers of the cold one.
func TestLimiterIgnoresAnswersFromBeforeReset(t *testing.T) {
	is := is.New(t)
	l := &admission.Limiter{
		Slots: 2,
	}
	now := addAnswers(l, 0, 2000, serviceTime, rand.New(rand.NewPCG(4, 1)))
	l.Failed(now)
	for range 1000 {
		l.Answered(now+serviceTime/2, serviceTime)
	}
	is.Equal(l.CurrentLimit(), 1)
}

// Guards against false alarms: a warm target with skewed service times loses its
// slots at most once in 100,000 answers.
func TestLimiterRarelyResetsWarmTarget(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(5, 1))
	l := &admission.Limiter{
		Slots: 7,
	}
	now := addAnswers(l, 0, 2000, serviceTime, r)
	resets := 0
	for range 300000 {
		before := l.CurrentLimit()
		now = addAnswers(l, now, 1, serviceTime, r)
		if l.CurrentLimit() < before {
			resets++
		}
	}
	is.True(resets <= 3)
}

// Guards against a stall of the VM that costs the whole limit: all requests in
// progress are slow together, and the target is as fast as before afterwards.
func TestLimiterRecoversAfterStall(t *testing.T) {
	is := is.New(t)
	l := &admission.Limiter{
		Slots: 7,
	}
	l.SuggestServiceTime(serviceTime)
	now := time.Duration(0)
	answers := func(n int, took time.Duration) {
		for range n {
			now += took
			l.Answered(now, took)
		}
	}
	answers(500, serviceTime)
	is.Equal(l.CurrentLimit(), 7)
	l.Answered(now, 20*serviceTime)
	is.Equal(l.CurrentLimit(), 1) // reset at once
	answers(8, serviceTime)
	is.Equal(l.CurrentLimit(), 7)

	l.Answered(now, 20*serviceTime)
	answers(24, 3*serviceTime) // the target stays slow
	is.Equal(l.CurrentLimit(), 1)
	answers(8, serviceTime)
	is.Equal(l.CurrentLimit(), 1)
}
