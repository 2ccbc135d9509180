package experiment

import "time"

const (
	// warmAfter is how many answers a target gives until it is warm.
	warmAfter = 60
	// coldSlowdown is how much longer a service takes right after a cold start.
	coldSlowdown = 4.0
	// restartTime is how long a target is down after it was overrun.
	restartTime = time.Second
)

// target simulates a server. It bears one request at first and all its slots
// when warm, is slower while cold, and falls over when it is overrun.
type target struct {
	clock *clock
	site  Site
	speed float64

	boot    uint64
	down    bool
	served  int
	running int
	// signs counts packets from the target since it last became cold.
	signs int
	busy  meter

	// beyond and unknowable count requests above what the target bears, with and
	// without a packet since the last cold start that could have told so.
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
	return min(1, float64(t.served)/warmAfter)
}

// start runs a request and calls done with the boot identity in the answer. A
// request that is lost with a restart gets no answer.
func (t *target) start(q *request, done func(result, uint64)) {
	if t.down {
		t.clock.after(0, func() {
			done(refused, 0)
		})
		return
	}

	t.running++
	t.measure()
	if t.running > t.bears() {
		if t.signs > 0 {
			t.beyond++
		} else {
			t.unknowable++
		}
		t.fall(restartTime)
		return
	}

	slow := coldSlowdown - (coldSlowdown-1)*t.warmth()
	d := time.Duration(float64(t.site.Service) * q.factor * slow / t.speed)
	boot := t.boot
	t.clock.after(d, func() {
		if t.boot != boot {
			return
		}
		t.running--
		t.measure()
		t.served++
		t.signs++
		done(answered, boot)
	})
}

// hello returns the boot identity, or false if the target is down.
func (t *target) hello() (uint64, bool) {
	if t.down {
		return 0, false
	}
	t.signs++

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
	t.clock.after(d, func() {
		if t.boot == boot {
			t.down = false
		}
	})
}

// chill makes the target cold without a restart or an announcement.
func (t *target) chill() {
	t.served = 0
	t.signs = 0
}

func (t *target) measure() {
	t.busy.set(t.clock.now, t.running)
}
