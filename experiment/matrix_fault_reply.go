package experiment

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
)

// replyFaultPercent is the percentage of replies that a reply fault affects.
const replyFaultPercent = 20

// changeReplies applies a fault to some of the replies of upstreams that executed the request.
func (c *cell) changeReplies(s *faultInjection, apply func(attempt.Request, attempt.Reply, func(attempt.Reply))) func() {
	previous := c.faults.deliverReply
	c.faults.deliverReply = func(req attempt.Request, r attempt.Reply, deliver func(attempt.Reply)) {
		if r.Status == attempt.OK && c.rng.IntN(100) < replyFaultPercent {
			s.effects++
			apply(req, r, deliver)
			return
		}
		if previous != nil {
			previous(req, r, deliver)
			return
		}
		deliver(r)
	}
	return func() { c.faults.deliverReply = previous }
}

func replyLate(c *cell, s *faultInjection, _ observation) func() {
	return c.changeReplies(s, func(_ attempt.Request, r attempt.Reply, deliver func(attempt.Reply)) {
		c.tier.Loop.After(100+clock.Millis(c.rng.Int64N(4000)), func() { deliver(r) })
	})
}

func mismatched(r attempt.Reply) attempt.Reply {
	return attempt.Reply{ID: r.ID, Upstream: r.Upstream, Status: attempt.Mismatched}
}

// replyCrossed exchanges two replies. The adapter reports both as mismatched. The
// exchanged replies are delivered as well, which tests that the core ignores them.
func replyCrossed(c *cell, s *faultInjection, _ observation) func() {
	type pendingReply struct {
		reply   attempt.Reply
		deliver func(attempt.Reply)
	}
	var first *pendingReply
	return c.changeReplies(s, func(_ attempt.Request, r attempt.Reply, deliver func(attempt.Reply)) {
		if first == nil {
			first = &pendingReply{r, deliver}
			pending := first
			c.tier.Loop.After(200, func() {
				if first == pending { // no second reply arrived in time
					first = nil
					deliver(r)
				}
			})
			return
		}
		other := *first
		first = nil
		other.deliver(mismatched(other.reply))
		deliver(mismatched(r))
		other.deliver(r)
		deliver(other.reply)
	})
}

// replyCut truncates a reply: either the adapter reports it as mismatched, or all
// rows and ranges are missing.
func replyCut(c *cell, s *faultInjection, _ observation) func() {
	return c.changeReplies(s, func(req attempt.Request, r attempt.Reply, deliver func(attempt.Reply)) {
		if req.Kind == attempt.Order || c.rng.IntN(2) == 0 {
			deliver(mismatched(r))
			return
		}
		r.Ranges, r.Rows = nil, nil
		deliver(r)
	})
}

func replyDoubled(c *cell, s *faultInjection, _ observation) func() {
	return c.changeReplies(s, func(_ attempt.Request, r attempt.Reply, deliver func(attempt.Reply)) {
		deliver(r)
		deliver(r)
		c.tier.Loop.After(clock.Millis(c.rng.Int64N(500)), func() { deliver(r) })
	})
}
