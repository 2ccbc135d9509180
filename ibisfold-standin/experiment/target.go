package experiment

import (
	"time"

	"ibisfold.example/core/simclock"
)

const (
	// usualWarmAfter is how many answers a target usually gives until it is warm.
	usualWarmAfter = 60
	// coldSlowdown is how much longer a service takes right after a cold start.
	coldSlowdown = 4.0
	// restartTime is how long a target is down after it was overrun.
	restartTime = time.Second
)

// target simulates a server. It bears one request at first and all its slots
// when warm, is slower while cold, and falls over when it is overrun.
type target struct {
	clock *simclock.Clock
	site  Site
	speed float64

	// warmAfter is how many answers the target gives until it is warm.
	warmAfter int

	boot    uint64
	down    bool
	served  int
	running int
	// chilled is when the target last became cold; told is true since a packet
	// that shows it: an answer to a request started later, a refusal or a new boot
	// identity.
	chilled time.Duration
	told    bool
	busy    meter

	// beyond and unknowable count requests above what the target bears, after and
	// before a packet told of its last cold start.
	beyond     int
	unknowable int
	falls      int
}

// result tells how the target took a request.
type result int

const (
	answered result = iota
	refused
)

// bears is the number of requests that the target can run now.
func (t *target) bears() int {
	return 1 + int(t.warmth()*float64(t.site.Slots-1))
}

func (t *target) warmth() float64 {
	return min(1, float64(t.served)/float64(t.warmAfter))
}

// start runs a request and calls done with the boot identity in the answer. A
// request that is lost with a restart gets no answer.
func (t *target) start(q *request, done func(result, uint64)) {
	if t.down {
		t.told = true
		t.clock.After(0, func() {
			done(refused, 0)
		})
		return
	}

	t.running++
	t.measure()
	if t.running > t.bears() {
		if t.told {
			t.beyond++
		} else {
			t.unknowable++
		}
		t.fall(restartTime)
		return
	}

	slow := coldSlowdown - (coldSlowdown-1)*t.warmth()
	d := time.Duration(float64(t.site.Service) * q.factor * slow / t.speed)
	boot, begin := t.boot, t.clock.Now
	t.clock.After(d, func() {
		if t.boot != boot {
			return
		}
		t.running--
		t.measure()
		t.served++
		t.told = t.told || begin >= t.chilled
		done(answered, boot)
	})
}

// hello returns the boot identity, or false if the target is down.
func (t *target) hello(known uint64) (uint64, bool) {
	if t.boot != known {
		t.told = true
	}
	if t.down {
		return 0, false
	}

	return t.boot, true
}

// fall loses all running requests and restarts the target cold.
func (t *target) fall(d time.Duration) {
	t.falls++
	t.boot++
	t.running = 0
	t.measure()
	t.chill()
	t.down = true
	boot := t.boot
	t.clock.After(d, func() {
		if t.boot == boot {
			t.down = false
		}
	})
}

// chill makes the target cold without a restart or an announcement.
func (t *target) chill() {
	t.served = 0
	t.told = false
	t.chilled = t.clock.Now
}

func (t *target) measure() {
	t.busy.set(t.clock.Now, t.running)
}
