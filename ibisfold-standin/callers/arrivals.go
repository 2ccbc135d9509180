package callers

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Load describes the callers of one tenant at one service.
type Load struct {
	Tenant string
	// Service is the name of the service; Address is where callers reach it.
	Service string
	Address netip.AddrPort
	// Flows is the number of flows that are kept open.
	Flows int
	// Rate is the number of requests per second over all flows.
	Rate float64
	// Burst is the mean number of requests that arrive at the same moment;
	// below 2 arrivals are a Poisson process.
	Burst int
	// Idempotent is the share of idempotent requests, from 0 to 1.
	Idempotent float64
	// Deadline is the time that a request has; by default DefaultDeadline.
	Deadline time.Duration
	// Skew makes flows unequal: the share of a flow falls with the power Skew
	// of its rank.
	Skew float64
}

// DefaultDeadline is the time that a request has.
const DefaultDeadline = 5 * time.Second

// Arrival is one request of an open-loop load.
type Arrival struct {
	// At is the time since the start of the load.
	At time.Duration
	// Flow is the index of the flow, below Load.Flows.
	Flow       int
	Idempotent bool
	// Parts and Bytes are the size of the answer; see echo.Ask.
	Parts uint8
	Bytes uint16
}

// Arrivals draws the requests of a load. Equal seeds give equal requests.
type Arrivals struct {
	load      Load
	rand      *rand.Rand
	at        time.Duration
	burstLeft int
	// shares is the running sum of the flows' shares.
	cumulativeShares []float64
}

// NewArrivals prepares the requests of a load.
func NewArrivals(l Load, seed uint64) *Arrivals {
	a := &Arrivals{
		load: l,
		rand: rand.New(rand.NewPCG(seed, 1)),
	}
	sum := 0.0
	for i := range l.Flows {
		sum += math.Pow(float64(i+1), -l.Skew)
		a.cumulativeShares = append(a.cumulativeShares, sum)
	}

	return a
}

// Next draws the next request.
func (a *Arrivals) Next() Arrival {
	if a.burstLeft == 0 {
		a.burstLeft = a.burstSize()
		mean := float64(max(1, a.load.Burst)) / a.load.Rate
		a.at += time.Duration(a.rand.ExpFloat64() * mean * float64(time.Second))
	}
	a.burstLeft--

	return Arrival{
		At:         a.at,
		Flow:       a.flowIndex(),
		Idempotent: a.rand.Float64() < a.load.Idempotent,
		Parts:      a.partCount(),
		Bytes:      uint16(a.rand.IntN(maxFillerBytes)),
	}
}

const maxFillerBytes = 1000

// size draws the size of a burst with the mean Load.Burst.
func (a *Arrivals) burstSize() int {
	if a.load.Burst < 2 {
		return 1
	}

	return 1 + a.rand.IntN(2*a.load.Burst-1)
}

// parts makes every eighth answer several packets long.
func (a *Arrivals) partCount() uint8 {
	if a.rand.IntN(8) > 0 {
		return 1
	}

	return uint8(2 + a.rand.IntN(3))
}

func (a *Arrivals) flowIndex() int {
	x := a.rand.Float64() * a.cumulativeShares[len(a.cumulativeShares)-1]
	low, high := 0, len(a.cumulativeShares)-1
	for low < high {
		m := (low + high) / 2
		if a.cumulativeShares[m] < x {
			low = m + 1
		} else {
			high = m
		}
	}

	return low
}
