package segment

import "time"

// synSendTimes are the times at which a caller sends the SYN of a flow and its copies,
// counted from the first SYN.
var synSendTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// ConnectTimeout is how long after its first SYN a caller gives up a flow that no target
// has answered.
const ConnectTimeout = 1400 * time.Millisecond

// SYNCopies is the number of copies of a flow's first SYN that a caller sends.
const SYNCopies = len(synSendTimes) - 1

// SYNAge returns the minimum time between a caller's first SYN of a flow and a SYN that
// the given number of copies preceded.
func SYNAge(earlierCopies uint32) time.Duration {
	return synSendTimes[min(int(earlierCopies), len(synSendTimes)-1)]
}
