package target

import "time"

// Window is the length of the windows in which imbalance is measured.
const Window = 10 * time.Second

// Usage sums up busy slot time and time in service for each window.
type Usage struct {
	// Busy and InService are indexed by window and in seconds.
	Busy      []float64
	InService []float64

	accountedUntil time.Duration
	inService      bool
}

// SetInService notes whether the target should get work from now on.
func (u *Usage) setInService(now time.Duration, running int, in bool) {
	u.advance(now, running)
	u.inService = in
}

// advance accounts for the time since the last call, in which running
// requests ran.
func (u *Usage) advance(now time.Duration, running int) {
	for u.accountedUntil < now {
		w := int(u.accountedUntil / Window)
		end := min(now, time.Duration(w+1)*Window)
		for len(u.Busy) <= w {
			u.Busy = append(u.Busy, 0)
			u.InService = append(u.InService, 0)
		}
		d := (end - u.accountedUntil).Seconds()
		u.Busy[w] += d * float64(running)
		if u.inService {
			u.InService[w] += d
		}
		u.accountedUntil = end
	}
}

// leastInService is the time in service that a target needs to count in a window.
const minInServiceShare = 0.5

// Imbalance returns the highest over the mean of busy slots for each window
// that has work and lies between from and to. A target's busy slots are the
// mean over its time in service; those that were in service for less than half
// of a window do not count.
func Imbalance(usage []Usage, from, to time.Duration) []float64 {
	result := []float64{}
	for w := int((from + Window - 1) / Window); time.Duration(w+1)*Window <= to; w++ {
		sum, highest, n := 0.0, 0.0, 0
		for _, u := range usage {
			if w >= len(u.Busy) || u.InService[w] < minInServiceShare*Window.Seconds() {
				continue
			}
			busy := u.Busy[w] / u.InService[w]
			sum += busy
			highest = max(highest, busy)
			n++
		}
		if sum > 0 {
			result = append(result, highest*float64(n)/sum)
		}
	}

	return result
}
