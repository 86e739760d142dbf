package admission

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// Limit returns the current limit of a service, in concurrent sub-requests.
func (c *Controller) Limit(service string) int {
	if s := c.services[service]; s != nil {
		return s.limit.value()
	}
	return 0
}

// RunningCost returns the number of sub-requests of a rank's running queries.
func (c *Controller) RunningCost(service string, r rank.Rank) int {
	if s := c.services[service]; s != nil {
		return s.rankRunningCost.At(r)
	}
	return 0
}

// Running returns the number of a rank's running queries.
func (c *Controller) Running(service string, r rank.Rank) int {
	if s := c.services[service]; s != nil {
		return s.rankRunning.At(r)
	}
	return 0
}

// Queued returns the number of a rank's queued queries.
func (c *Controller) Queued(service string, r rank.Rank) int {
	if s := c.services[service]; s != nil {
		return s.queues.Ref(r).len()
	}
	return 0
}

// QueuedTotal returns the number of queued queries of all ranks.
func (c *Controller) QueuedTotal(service string) int {
	n := 0
	for _, r := range rank.All() {
		n += c.Queued(service, r)
	}
	return n
}

// Refused returns how many queries of a rank were refused for a reason.
func (c *Controller) Refused(service string, r rank.Rank, reason Reason) int {
	if s := c.services[service]; s != nil {
		return s.refused.Ref(r)[reason]
	}
	return 0
}

// RefusedTotal returns how many queries were refused for a reason, over all
// services, including queries of unknown services.
func (c *Controller) RefusedTotal(reason Reason) int { return c.refused[reason] }

// Draining reports whether new arrivals are refused.
func (c *Controller) Draining() bool { return c.draining }

// Idle reports whether nothing is queued or running.
func (c *Controller) Idle() bool { return len(c.queries) == 0 }

// NextWake returns the time at which the Controller needs its next TickMsg. Its
// running time is linear in the number of services.
func (c *Controller) NextWake() (clock.Millis, bool) {
	var wake clock.Millis
	found := false
	for _, s := range c.serviceList {
		for _, r := range rank.All() {
			queue := s.queues.Ref(r)
			if queue.len() == 0 {
				continue
			}
			due := queue.earliest().dueAt
			due = min(due, due-s.requiredTime(c.now, queue.earliest(), due)+1)
			if !found || due < wake {
				wake, found = due, true
			}
		}
	}
	return wake, found
}
