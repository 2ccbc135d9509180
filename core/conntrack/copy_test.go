package conntrack

import (
	"testing"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against a held flow that is forgotten, and then denied, because the target, which
// takes no new flows now, bounces a late copy of its SYN.
func TestBouncedCopyOfSYNDoesNotEndFlow(t *testing.T) {
	is := is.New(t)
	c, now := askedCore()
	k := testFlow(0)
	is.Equal(askedFor(c, now, k), relay.Owned)
	c.Update(now, openMessage(k, 0))
	c.Update(now, targetAnswer(k, segment.SYN|segment.Bounced, 0))
	is.Equal(askedFor(c, now, k), relay.Owned)
}
