package admission_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"ibisfold.example/core/admission"
)

// Guards against a draining target that refuses new flows for ever although it
// has peers: its own unused capacity must not raise the mean that peers are
// compared with.
func TestPickFlowOfDrainingTarget(t *testing.T) {
	is := is.New(t)
	b := admission.Balance{}
	own := admission.Load{
		Slots:    2,
		Limit:    2,
		Draining: true,
	}
	peers := []admission.Load{
		{
			Slots: 2,
			Limit: 2,
			Flows: 15,
		},
		{
			Slots: 2,
			Limit: 2,
			Flows: 15,
		},
	}
	is.True(b.PickFlow(own, peers, rand.New(rand.NewPCG(1, 1))) >= 0)
	is.Equal(b.PickFlow(own, nil, rand.New(rand.NewPCG(1, 1))), -1)
}
