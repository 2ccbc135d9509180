package ceiling

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newOutage returns an outage of one second that hits a single class of 100 requests per
// second.
func newOutage(slots int) *Outage {
	return &Outage{
		Start:      2 * time.Second,
		Back:       3 * time.Second,
		Until:      8 * time.Second,
		Window:     time.Second,
		ColdFactor: 1,
		Pools: []Pool{
			{
				Name:  "p",
				Slots: slots,
			},
		},
		Classes: []Class{
			{
				Pool:      "p",
				Rate:      100,
				Work:      50 * time.Millisecond,
				Aim:       200 * time.Millisecond,
				Deadline:  time.Second,
				Worth:     1,
				LateWorth: 0.1,
			},
		},
	}
}

// Guards against a ceiling that no policy can reach because requests sent long before the
// end of the outage count as served in time.
func TestRequestsDuringOutageAreLate(t *testing.T) {
	is := is.New(t)
	w := newOutage(100).Schedule()
	is.Equal(w[0].From, 2*time.Second)
	// The first retransmission comes 200 ms after a request, which is the aim, so no request
	// sent before 3 s can be in time.
	is.Equal(w[0].InTime, 0)
	is.True(w[0].Late > 0)
	is.Equal(w[1].InTime, w[1].Asked)
}

// Guards against a ceiling that is too low because late requests take slots from requests
// that can still be in time.
func TestInTimeRequestsAreServedFirst(t *testing.T) {
	is := is.New(t)
	for _, w := range newOutage(6).Schedule()[1:] {
		is.Equal(w.InTime, w.Asked)
	}
	// Four slots serve 80 requests a second.
	w := newOutage(4).Schedule()
	is.True(w[3].InTime <= 85)
	is.True(w[3].InTime >= 75)
}

// Guards against counting requests as served whose flow was lost and that can't be repeated.
func TestLostFlows(t *testing.T) {
	is := is.New(t)
	o := newOutage(100)
	o.Classes[0].LostFlows = 50
	// Moves the requests in progress at the start of the outage into the first window.
	o.Start += 100 * time.Millisecond
	// Long enough for the last retransmission, so that nothing else is lost.
	o.Classes[0].Deadline = 3 * time.Second
	w := o.Schedule()
	lost := 0
	for _, x := range w {
		lost += x.Lost
	}
	is.True(lost >= 49)
	is.True(lost <= 51)
	is.Equal(w[len(w)-1].Lost, 0)
}

// Guards against computing a ceiling from an invalid description of an outage.
func TestLoadRejectsInvalidOutage(t *testing.T) {
	is := is.New(t)
	_, err := Load("../../examples/outages/moved-route.yaml")
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "bad.yaml")
	is.NoErr(os.WriteFile(path, []byte("Start: 3s\nBack: 2s\nUntil: 8s\nWindow: 1s\nSetup: 0s\nColdTime: 0s\nColdFactor: 1\nPools: []\nClasses: []\n"), 0o600))
	_, err = Load(path)
	is.True(errors.Is(err, ErrOutage))
}
