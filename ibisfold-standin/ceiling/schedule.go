package ceiling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ibisfold.example/core/segment"
)

// Window is the result for the requests that were first sent within a time.
type Window struct {
	From  time.Duration
	Asked int
	// InTime, Late and Lost count them by their end.
	InTime int
	Late   int
	Lost   int
	// Worth is what they earn of what they could.
	Worth float64
	full  float64
}

// request is one that the schedule may serve between ready and limit, in time until due.
type request struct {
	class *Class
	sent  time.Duration
	ready time.Duration
	due   time.Duration
	limit time.Duration
	// end is when it is served; zero if it is not.
	end time.Duration
}

// copyTimes is how long after a request its caller sends each copy of its packet.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// Schedule returns the windows of an outage as the best schedule serves them: it knows
// the age of each request, and serves those first that can be in time and are due
// first.
func (o *Outage) Schedule() []Window {
	all := []*request{}
	for i := range o.Classes {
		all = append(all, o.requests(&o.Classes[i])...)
	}
	for _, p := range o.Pools {
		list := []*request{}
		for _, r := range all {
			if r.class.Pool == p.Name && r.end == 0 && r.limit > 0 {
				list = append(list, r)
			}
		}
		o.serve(list, p.Slots)
	}

	return o.windows(all)
}

// first is where the windows begin: the one that holds Start.
func (o *Outage) first() time.Duration {
	return o.Start.Truncate(o.Window)
}

// requests returns those of a class at equal distances. What is answered before Start
// has its end; what is lost with its flow has no limit.
func (o *Outage) requests(c *Class) []*request {
	list := []*request{}
	if c.Rate == 0 {
		return list
	}
	gap := time.Duration(float64(time.Second) / c.Rate)
	lost := 0.0
	for at := o.first() + gap/2; at < o.Until; at += gap {
		r := &request{
			class: c,
			sent:  at,
		}
		list = append(list, r)
		if at+c.Work <= o.Start {
			r.end = at + c.Work
			r.due = at + c.Aim
			continue
		}
		lost += c.lostShare(at - (o.Start - c.Work))
		if lost >= 1 {
			lost--
			continue
		}
		seen := o.seen(at)
		r.ready = seen + o.Setup
		r.due = at + c.Aim
		r.limit = at + c.Deadline
	}

	return list
}

// lostShare is the chance that a request is the first on a flow that was lost, by the
// time since the first request that was in progress at the loss.
func (c *Class) lostShare(after time.Duration) float64 {
	if c.LostFlows == 0 {
		return 0
	}

	return math.Exp(-c.Rate * max(0, after.Seconds()) / float64(c.LostFlows))
}

// seen is when the first copy of a request meets a system that is back.
func (o *Outage) seen(sent time.Duration) time.Duration {
	for _, d := range copyTimes {
		if sent+d >= o.Back {
			return sent + d
		}
	}

	return sent + segment.ConnectTimeout + segment.ConnectTimeout
}

// work is the time of a slot for a request that begins at a time.
func (o *Outage) work(c *Class, at time.Duration) time.Duration {
	if at < o.Back+o.ColdTime {
		return time.Duration(float64(c.Work) * o.ColdFactor)
	}

	return c.Work
}

// serve gives the slots of a pool to requests.
func (o *Outage) serve(list []*request, slots int) {
	slices.SortStableFunc(list, func(a, b *request) int {
		return cmp.Compare(a.due, b.due)
	})
	free := make([]time.Duration, slots)
	for len(list) > 0 {
		slot := 0
		for i := range free {
			if free[i] < free[slot] {
				slot = i
			}
		}
		now := max(free[slot], earliest(list))
		i := o.next(list, now)
		if i < 0 {
			// None of those that are ready can be served any more.
			list = slices.DeleteFunc(list, func(r *request) bool {
				return r.ready <= now
			})

			continue
		}
		r := list[i]
		r.end = now + o.work(r.class, now)
		free[slot] = r.end
		list = slices.Delete(list, i, i+1)
	}
}

func earliest(list []*request) time.Duration {
	first := list[0].ready
	for _, r := range list {
		first = min(first, r.ready)
	}

	return first
}

// next returns the place of the request that a free slot takes: the first due of those
// that can be in time, otherwise any that can still be served; -1 if there is none.
func (o *Outage) next(list []*request, now time.Duration) int {
	late := -1
	for i, r := range list {
		if r.ready > now {
			continue
		}
		end := now + o.work(r.class, now)
		if end <= r.due {
			return i
		}
		if late < 0 && end <= r.limit {
			late = i
		}
	}

	return late
}

func (o *Outage) windows(all []*request) []Window {
	list := []Window{}
	for from := o.first(); from < o.Until; from += o.Window {
		list = append(list, Window{
			From: from,
		})
	}
	for _, r := range all {
		w := &list[(r.sent-o.first())/o.Window]
		w.add(r)
	}
	for i := range list {
		list[i].Worth /= max(list[i].full, 1)
	}

	return list
}

func (w *Window) add(r *request) {
	w.Asked++
	w.full += r.class.Worth
	switch {
	case r.end == 0:
		w.Lost++
	case r.end <= r.due:
		w.InTime++
		w.Worth += r.class.Worth
	default:
		w.Late++
		w.Worth += r.class.LateWorth
	}
}
