package target

import "time"

// Report distorts the load that a target reports to agents. The zero value reports it unchanged.
type Report struct {
	// Factor multiplies the load; zero means 1.
	Factor float64
	// Lag is the age of the reported load.
	Lag time.Duration
	// Frozen makes the target repeat the load that it reported last.
	Frozen bool

	samples      []sample
	lastReported uint32
}

// sample is the load at a time.
type sample struct {
	at      time.Duration
	running int
}

// reported returns the load to report while running requests run.
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

// lagged records the present load and returns the newest one that is at least Lag old, or zero if
// there is none.
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
