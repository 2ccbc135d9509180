package target

import "time"

// Report changes the load that a target reports. The zero value is honest.
type Report struct {
	// Factor multiplies the load; zero means 1.
	Factor float64
	// Lag is the age of the load that is reported.
	Lag time.Duration
	// Frozen keeps the load as it was last reported.
	Frozen bool

	past []sample
	last uint32
}

type sample struct {
	at      time.Duration
	running int
}

func (r *Report) show(now time.Duration, running int) uint32 {
	if r.Frozen {
		return r.last
	}
	if r.Lag > 0 {
		running = r.lagged(now, running)
	}
	if r.Factor > 0 {
		running = int(r.Factor * float64(running))
	}
	r.last = uint32(running)

	return r.last
}

// lagged returns the newest load that is at least Lag old.
func (r *Report) lagged(now time.Duration, running int) int {
	r.past = append(r.past, sample{
		at:      now,
		running: running,
	})
	for len(r.past) > 1 && r.past[1].at <= now-r.Lag {
		r.past = r.past[1:]
	}
	if r.past[0].at > now-r.Lag {
		return 0
	}

	return r.past[0].running
}
