package conntrack

import "time"

const (
	// leavingTime is how long the word counts that the target leaves. Entries that pass
	// packets on repeat it with each of them.
	leavingTime = 10 * time.Second
	// leavingFlow is how lately a flow has to be used to keep an agent whose target leaves.
	leavingFlow = 5 * time.Second
)

// leaving is what entries say of the target's state in the configuration service.
type leaving struct {
	said bool
	at   time.Duration
}

func (l *leaving) hear(now time.Duration, said bool) {
	if said {
		l.said = true
		l.at = now
	}
}

// Leaves reports whether the target is on its way out and still has flows. An agent that
// is stopped then will probably not be started again, so nobody else can serve them.
func (c *Core) Leaves(now time.Duration) bool {
	if !c.leaving.said || now-c.leaving.at > leavingTime {
		return false
	}
	for _, f := range c.flows {
		if f.state == stateHeld && now-f.used < leavingFlow {
			return true
		}
	}

	return false
}
