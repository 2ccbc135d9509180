package callers

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Load describes the requests of one tenant to one service.
type Load struct {
	Tenant string
	// Service is the name of the service, and Address the address at which callers reach it.
	Service string
	Address netip.AddrPort
	// Flows is the number of flows that are kept open.
	Flows int
	// Rate is the number of requests per second over all flows.
	Rate float64
	// Burst is the mean number of requests that arrive at the same time. Below 2, arrivals are a
	// Poisson process.
	Burst int
	// Idempotent is the share of idempotent requests, from 0 to 1.
	Idempotent float64
	// Deadline is the time from the arrival of a request to its deadline; by default
	// DefaultDeadline.
	Deadline time.Duration
	// Skew is the exponent of the Zipf distribution of requests over flows: flow i gets a share
	// proportional to (i+1)^-Skew. Zero gives equal shares.
	Skew float64
}

// DefaultDeadline is the default of Load.Deadline.
const DefaultDeadline = 5 * time.Second

// Arrival is one request of an open-loop load.
type Arrival struct {
	// At is the time since the start of the load.
	At time.Duration
	// Flow is the index of the flow, below Load.Flows.
	Flow       int
	Idempotent bool
	// Parts and Bytes are the requested size of the answer; see echo.RequestPayload.
	Parts uint8
	Bytes uint16
}

// Arrivals generates the random requests of a load. Equal seeds give equal requests.
type Arrivals struct {
	load      Load
	rand      *rand.Rand
	at        time.Duration
	burstLeft int
	// cumulativeShares holds the running sums of the flows' shares, not normalized.
	cumulativeShares []float64
}

// NewArrivals returns the requests of a load, which must have at least one flow.
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

// Next returns the next request.
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

// maxFillerBytes bounds the filler of each part of an answer.
const maxFillerBytes = 1000

// burstSize returns a random burst size with the mean Load.Burst.
func (a *Arrivals) burstSize() int {
	if a.load.Burst < 2 {
		return 1
	}

	return 1 + a.rand.IntN(2*a.load.Burst-1)
}

// partCount returns a random number of parts: more than one for an eighth of the answers.
func (a *Arrivals) partCount() uint8 {
	if a.rand.IntN(8) > 0 {
		return 1
	}

	return uint8(2 + a.rand.IntN(3))
}

// flowIndex returns the index of a random flow, weighted by the flows' shares.
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
