package experiment

import "time"

// Site is a service with its targets and its network.
type Site struct {
	Name string
	// Speeds has one factor per target; a target of speed 2 takes half the service time.
	Speeds []float64
	// Slots is the number of slots of each target.
	Slots int
	// Zones is the number of availability zones; target i is in zone i modulo Zones.
	Zones int
	// ZoneDelay is the one-way delay between zones, ClientDelay that between callers and
	// agents.
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	// Service is the mean service time of a warm target of speed 1.
	Service time.Duration
	// Flows is the mean number of open flows.
	Flows int
}

// Sites returns services of both example sites, and one with unequal targets.
func Sites() []Site {
	return []Site{
		eisweinruf("rufdienst", 7),
		eisweinruf("kartendienst", 3),
		ulaanbaatar("hire-desk", 7),
		ulaanbaatar("sheet-print", 3),
		unequal(),
	}
}

// eisweinruf returns a service of the site of that name.
func eisweinruf(name string, targets int) Site {
	return Site{
		Name:        name,
		Speeds:      equalSpeeds(targets),
		Slots:       2,
		Zones:       3,
		ZoneDelay:   5 * time.Millisecond,
		ClientDelay: time.Millisecond,
		Service:     50 * time.Millisecond,
		Flows:       100 * targets,
	}
}

// ulaanbaatar returns a service of the site of that name.
func ulaanbaatar(name string, targets int) Site {
	return Site{
		Name:        name,
		Speeds:      equalSpeeds(targets),
		Slots:       7,
		Zones:       3,
		ZoneDelay:   4 * time.Millisecond,
		ClientDelay: 3 * time.Millisecond,
		Service:     50 * time.Millisecond,
		Flows:       100 * targets,
	}
}

// unequal returns a service of 40 targets whose speeds range from 0.5 to 1.5.
func unequal() Site {
	s := ulaanbaatar("unequal-40", 40)
	s.Slots = 4
	for i := range s.Speeds {
		s.Speeds[i] = 0.5 + float64(i)/39
	}

	return s
}

func equalSpeeds(n int) []float64 {
	s := make([]float64, n)
	for i := range s {
		s[i] = 1
	}

	return s
}

// capacity returns the number of requests per second that all targets together can serve
// when warm.
func (s Site) capacity() float64 {
	c := 0.0
	for _, v := range s.Speeds {
		c += v * float64(s.Slots) / s.Service.Seconds()
	}

	return c
}
