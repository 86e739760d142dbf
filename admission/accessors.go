package admission

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// Limit returns the limit of a service in sub-requests.
func (g *Controller) Limit(service string) int {
	if s := g.services[service]; s != nil {
		return s.limit.value()
	}
	return 0
}

// RunningCost returns the number of sub-requests of running queries of a rank.
func (g *Controller) RunningCost(service string, r rank.Rank) int {
	if s := g.services[service]; s != nil {
		return s.running.At(r)
	}
	return 0
}

// Running returns the number of running queries of a rank.
func (g *Controller) Running(service string, r rank.Rank) int {
	if s := g.services[service]; s != nil {
		return s.count.At(r)
	}
	return 0
}

// Queued returns the number of waiting queries of a rank.
func (g *Controller) Queued(service string, r rank.Rank) int {
	if s := g.services[service]; s != nil {
		return s.queues.Ref(r).len()
	}
	return 0
}

// QueuedTotal returns the number of waiting queries of all ranks.
func (g *Controller) QueuedTotal(service string) int {
	n := 0
	for _, r := range rank.All() {
		n += g.Queued(service, r)
	}
	return n
}

// Refused returns how many queries of a rank were refused for a reason.
func (g *Controller) Refused(service string, r rank.Rank, reason Reason) int {
	if s := g.services[service]; s != nil {
		return s.refused.Ref(r)[reason]
	}
	return 0
}

// RefusedTotal returns how many queries were refused for a reason, over all
// services, including queries of unknown services.
func (g *Controller) RefusedTotal(reason Reason) int { return g.refused[reason] }

// Draining reports whether new arrivals are refused.
func (g *Controller) Draining() bool { return g.draining }

// Idle reports whether nothing is queued or running.
func (g *Controller) Idle() bool { return len(g.queries) == 0 }

// NextWake returns when the gate wants a TickMsg. It takes time in the number
// of services.
func (g *Controller) NextWake() (clock.Millis, bool) {
	var wake clock.Millis
	found := false
	for _, s := range g.ordered {
		for _, r := range rank.All() {
			queue := s.queues.Ref(r)
			if queue.len() == 0 {
				continue
			}
			due := queue.earliest().due
			due = min(due, due-s.reserve(g.now, queue.earliest(), due)+1)
			if !found || due < wake {
				wake, found = due, true
			}
		}
	}
	return wake, found
}
