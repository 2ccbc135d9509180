package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against heartbeats that exceed the control budget in large groups, and
// against peers that are left out of the rotation or suspected before their
// next heartbeat.
func TestHeartbeatRotation(t *testing.T) {
	for _, size := range []int{1, 3, 4, 6, 39} {
		is := is.New(t)
		g := &group{}
		for range size {
			g.peers = append(g.peers, &peer{})
		}
		last := map[*peer]time.Duration{}
		now := time.Duration(0)
		for range 100 {
			now += heartbeatInterval
			heartbeatPeers := g.heartbeatPeers()
			is.True(len(heartbeatPeers) <= heartbeatFanout)
			for _, q := range heartbeatPeers {
				is.True(now-last[q] <= g.suspicionTimeout()/2)
				last[q] = now
			}
		}
		is.Equal(len(last), size)
	}
}
