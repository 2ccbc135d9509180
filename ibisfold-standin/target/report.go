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

	samples      []sample
	lastReported uint32
}

type sample struct {
	at      time.Duration
	running int
}

func (r *Report) reported(now time.Duration, running int) uint32 {
	if r.Frozen {
		return r.lastReported
	}
	if r.Lag > 0 {
		running = r.lagged(now, running)
	}
	if r.Factor > 0 {
		running = int(r.Factor * float64(running))
	}
	r.lastReported = uint32(running)

	return r.lastReported
}

// lagged returns the newest load that is at least Lag old.
func (r *Report) lagged(now time.Duration, running int) int {
	r.samples = append(r.samples, sample{
		at:      now,
		running: running,
	})
	for len(r.samples) > 1 && r.samples[1].at <= now-r.Lag {
		r.samples = r.samples[1:]
	}
	if r.samples[0].at > now-r.Lag {
		return 0
	}

	return r.samples[0].running
}
