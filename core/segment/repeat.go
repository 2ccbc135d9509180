package segment

import "time"

// synTimes is how long after its first SYN a caller sends each copy.
var synTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// OpenTime is how long after its first SYN a caller gives up a flow that no target
// has answered.
const OpenTime = 1400 * time.Millisecond

// SYNAge returns how long before a SYN its caller sent the first copy of it, at
// least. The SYN tells the number of copies before it.
func SYNAge(copies uint32) time.Duration {
	return synTimes[min(int(copies), len(synTimes)-1)]
}
