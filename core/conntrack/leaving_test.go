package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against an agent that exits at once when it is stopped just before its target.
// Its VM is being removed, so no other agent reaches the target, and the target's open
// flows stay silent until entries end them. This happens when targets drain for longer
// because the configuration service was unavailable.
func TestAgentOutlastsLeavingTarget(t *testing.T) {
	for _, x := range []struct {
		name    string
		leaving bool
		held    bool
		at      time.Duration
		want    bool
	}{
		{"leaves, with a flow in use", true, true, time.Second, true},
		{"stays", false, true, time.Second, false},
		{"leaves, without flows", true, false, time.Second, false},
		{"leaves, with an idle flow", true, true, maxLeavingFlowIdle + time.Second, false},
		{"report has expired", true, true, leavingReportTTL + time.Second, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			c := Core{
				Complete: true,
			}
			m := openMessage(testKey, 0)
			m.Message.Leaving = x.leaving
			c.Update(0, m)
			if x.held {
				c.Update(time.Millisecond, &TargetPacket{
					Segment: segment.Segment{
						Key:        testKey,
						FromTarget: true,
						Flags:      segment.ACK,
						Len:        1,
					},
				})
			}
			is.Equal(c.TargetLeaving(x.at), x.want)
		})
	}
}

// Guards against the report of one entry being revoked by another entry with an older list
// of targets.
func TestStaleEntryDoesNotRevokeLeavingReport(t *testing.T) {
	is := is.New(t)
	c := Core{}
	for _, leaving := range []bool{true, false} {
		c.Update(0, &EntryMessage{
			From: testEntry,
			Message: relay.Message{
				Kind:    relay.Find,
				Key:     testKey,
				Leaving: leaving,
			},
		})
	}
	is.True(c.leaving.reported)
}
