package experiment

import (
	"time"

	"ibisfold.example/core/simclock"
)

const (
	// defaultWarmAfter is the default number of answers after which a target is warm.
	defaultWarmAfter = 60
	// coldSlowdown is the factor on the service time right after a cold start.
	coldSlowdown = 4.0
	// restartDelay is how long a target is down after a crash.
	restartDelay = time.Second
)

// target simulates a server. After a cold start it can run one request at a time and is
// slower; when warm it can run as many as it has slots. It crashes when it gets more.
type target struct {
	clock *simclock.Clock
	site  Site
	speed float64

	// warmAfter is the number of answers after which the target is warm.
	warmAfter int

	// boot identifies the last start.
	boot uint64
	down bool
	// served counts the answers since the last cold start.
	served  int
	running int
	// coldSince is when the target last became cold. coldSignalled is set once a packet
	// has shown that to the agent: an answer to a request started later, a refusal or a
	// new boot identity.
	coldSince     time.Duration
	coldSignalled bool
	busy          meter

	// signalledOverruns counts the requests above maxRunning that came after the last cold
	// start was signalled, unsignalledOverruns those that came before. crashes counts the
	// unplanned restarts.
	signalledOverruns   int
	unsignalledOverruns int
	crashes             int
}

// outcome is the target's reaction to a request.
type outcome int

const (
	answered outcome = iota
	refused
)

// maxRunning returns the number of requests that the target can run at a time now.
func (t *target) maxRunning() int {
	return 1 + int(t.warmFraction()*float64(t.site.Slots-1))
}

// warmFraction returns how warm the target is, from 0 to 1.
func (t *target) warmFraction() float64 {
	return min(1, float64(t.served)/float64(t.warmAfter))
}

// start runs a request and calls done with the outcome and the boot identity in the answer.
// It does not call done for a request that is lost in a crash.
func (t *target) start(q *request, done func(outcome, uint64)) {
	if t.down {
		t.coldSignalled = true
		t.clock.After(0, func() {
			done(refused, 0)
		})
		return
	}

	t.running++
	t.recordBusy()
	if t.running > t.maxRunning() {
		if t.coldSignalled {
			t.signalledOverruns++
		} else {
			t.unsignalledOverruns++
		}
		t.crash(restartDelay)
		return
	}

	slow := coldSlowdown - (coldSlowdown-1)*t.warmFraction()
	d := time.Duration(float64(t.site.Service) * q.serviceFactor * slow / t.speed)
	boot, begin := t.boot, t.clock.Now
	t.clock.After(d, func() {
		if t.boot != boot {
			return
		}
		t.running--
		t.recordBusy()
		t.served++
		t.coldSignalled = t.coldSignalled || begin >= t.coldSince
		done(answered, boot)
	})
}

// readBoot returns the boot identity, or false if the target is down. The argument
// is the identity that the agent knows.
func (t *target) readBoot(known uint64) (uint64, bool) {
	if t.boot != known {
		t.coldSignalled = true
	}
	if t.down {
		return 0, false
	}

	return t.boot, true
}

// crash drops all running requests and restarts the target cold after d.
func (t *target) crash(d time.Duration) {
	t.crashes++
	t.boot++
	t.running = 0
	t.recordBusy()
	t.resetWarmUp()
	t.down = true
	boot := t.boot
	t.clock.After(d, func() {
		if t.boot == boot {
			t.down = false
		}
	})
}

// resetWarmUp makes the target cold, without a restart and without a signal to the agent.
func (t *target) resetWarmUp() {
	t.served = 0
	t.coldSignalled = false
	t.coldSince = t.clock.Now
}

// recordBusy updates the meter of busy slots.
func (t *target) recordBusy() {
	t.busy.set(t.clock.Now, t.running)
}
