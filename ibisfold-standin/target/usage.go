package target

import "time"

// Window is the length of the time windows of Usage and Imbalance.
const Window = 10 * time.Second

// Usage sums up the busy time of all slots and the time in service of a target, by window.
type Usage struct {
	// Busy and InService are in seconds and indexed by window.
	Busy      []float64
	InService []float64

	accountedUntil time.Duration
	inService      bool
}

// setInService records whether the target should get requests from now on.
func (u *Usage) setInService(now time.Duration, running int, inService bool) {
	u.advance(now, running)
	u.inService = inService
}

// advance accounts for the time since the last call, during which running requests ran.
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

// minInServiceShare is the smallest share of a window for which a target must be in service to
// count in that window.
const minInServiceShare = 0.5

// Imbalance returns, for each window between from and to in which requests ran, the highest number
// of busy slots of a target divided by the mean over the targets. The busy slots of a target are
// averaged over its time in service. A target does not count in windows of which it was in service
// for less than minInServiceShare.
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
