package ceiling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ibisfold.example/core/segment"
)

// Window is the result for the requests that were first sent within one window of time.
type Window struct {
	From time.Duration
	// Asked counts all requests.
	Asked int
	// InTime, Late and Lost count the requests that are answered within the aim, that are
	// answered later, and that are not answered.
	InTime int
	Late   int
	Lost   int
	// Worth is the share of totalWorth that the answers reach.
	Worth      float64
	totalWorth float64
}

// request is a request that can be served from ready on. An answer is in time until due, and
// useful until deadline; a request without a deadline can't be served.
type request struct {
	class    *Class
	sent     time.Duration
	ready    time.Duration
	due      time.Duration
	deadline time.Duration
	// end is when the request is answered; zero if it is not.
	end time.Duration
}

// resendOffsets are the times after a request at which the caller transmits its packet.
var resendOffsets = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// Schedule returns the windows of an outage under the best schedule. It knows the age of
// each request and, of those that can be in time, serves the one that is due first.
func (o *Outage) Schedule() []Window {
	all := []*request{}
	for i := range o.Classes {
		all = append(all, o.requests(&o.Classes[i])...)
	}
	for _, p := range o.Pools {
		list := []*request{}
		for _, r := range all {
			if r.class.Pool == p.Name && r.end == 0 && r.deadline > 0 {
				list = append(list, r)
			}
		}
		o.serve(list, p.Slots)
	}

	return o.windows(all)
}

// firstWindow returns the start of the first window, which is the one that contains Start.
func (o *Outage) firstWindow() time.Duration {
	return o.Start.Truncate(o.Window)
}

// requests returns the requests of a class at equal intervals. A request answered before
// Start has its end set; a request lost with its flow has no deadline.
func (o *Outage) requests(c *Class) []*request {
	list := []*request{}
	if c.Rate == 0 {
		return list
	}
	interval := time.Duration(float64(time.Second) / c.Rate)
	lost := 0.0
	for at := o.firstWindow() + interval/2; at < o.Until; at += interval {
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
		lost += c.lostProbability(at - (o.Start - c.Work))
		if lost >= 1 {
			lost--
			continue
		}
		firstDelivery := o.firstDelivery(at)
		r.ready = firstDelivery + o.Setup
		r.due = at + c.Aim
		r.deadline = at + c.Deadline
	}

	return list
}

// lostProbability returns the probability that a request is the first one on a lost flow,
// given the time since the first request that was in progress at Start.
func (c *Class) lostProbability(after time.Duration) float64 {
	if c.LostFlows == 0 {
		return 0
	}

	return math.Exp(-c.Rate * max(0, after.Seconds()) / float64(c.LostFlows))
}

// firstDelivery returns when the first transmission of a request arrives after Back. If all
// come too early, it returns two connect timeouts after the request.
func (o *Outage) firstDelivery(sent time.Duration) time.Duration {
	for _, d := range resendOffsets {
		if sent+d >= o.Back {
			return sent + d
		}
	}

	return sent + segment.ConnectTimeout + segment.ConnectTimeout
}

// workAt returns how long a request that starts at a time occupies a slot.
func (o *Outage) workAt(c *Class, at time.Duration) time.Duration {
	if at < o.Back+o.ColdTime {
		return time.Duration(float64(c.Work) * o.ColdFactor)
	}

	return c.Work
}

// serve assigns the slots of a pool to requests.
func (o *Outage) serve(list []*request, slots int) {
	slices.SortStableFunc(list, func(a, b *request) int {
		return cmp.Compare(a.due, b.due)
	})
	freeAt := make([]time.Duration, slots)
	for len(list) > 0 {
		slot := 0
		for i := range freeAt {
			if freeAt[i] < freeAt[slot] {
				slot = i
			}
		}
		now := max(freeAt[slot], earliestReady(list))
		i := o.next(list, now)
		if i < 0 {
			// None of the requests that are ready can meet its deadline any more.
			list = slices.DeleteFunc(list, func(r *request) bool {
				return r.ready <= now
			})

			continue
		}
		r := list[i]
		r.end = now + o.workAt(r.class, now)
		freeAt[slot] = r.end
		list = slices.Delete(list, i, i+1)
	}
}

// earliestReady returns the earliest time at which a request is ready.
func earliestReady(list []*request) time.Duration {
	first := list[0].ready
	for _, r := range list {
		first = min(first, r.ready)
	}

	return first
}

// next returns the index of the request that a free slot serves next. That is the one due
// first of those that can be in time, otherwise the one due first of those that can meet
// their deadline; -1 if there is none.
func (o *Outage) next(list []*request, now time.Duration) int {
	late := -1
	for i, r := range list {
		if r.ready > now {
			continue
		}
		end := now + o.workAt(r.class, now)
		if end <= r.due {
			return i
		}
		if late < 0 && end <= r.deadline {
			late = i
		}
	}

	return late
}

// windows counts the requests by the window in which they were first sent.
func (o *Outage) windows(all []*request) []Window {
	list := []Window{}
	for from := o.firstWindow(); from < o.Until; from += o.Window {
		list = append(list, Window{
			From: from,
		})
	}
	for _, r := range all {
		w := &list[(r.sent-o.firstWindow())/o.Window]
		w.add(r)
	}
	for i := range list {
		list[i].Worth /= max(list[i].totalWorth, 1)
	}

	return list
}

func (w *Window) add(r *request) {
	w.Asked++
	w.totalWorth += r.class.Worth
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
