package vm

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/pool"
	"lentillink.example/lentillink/query"
	"lentillink.example/lentillink/upstream"
)

func (c *Core) handleQueryCmds(now clock.Millis, cmds []query.Cmd) {
	for _, cmd := range cmds {
		switch m := cmd.(type) {
		case query.SendCmd:
			c.route(now, m.Request)
		case query.CancelCmd:
			c.cancelAttempt(now, m.ID, m.Upstream)
		case query.AnswerCmd:
			c.queryAnswered(now, m.Answer)
		case query.EventCmd:
			c.event(now, m.Event)
		}
	}
}

func (c *Core) handleOrderCmds(now clock.Millis, cmds []order.Cmd) {
	for _, cmd := range cmds {
		switch m := cmd.(type) {
		case order.SendCmd:
			c.balancer.RecordSent(now, upstream.ID(m.Request.Upstream))
			c.route(now, m.Request)
		case order.StoreCmd:
			m.Request.Requester = orderRequester
			c.emit(StoreCmd{Request: m.Request})
		case order.PeerCmd:
			c.sendClaim(now, m)
		case order.AnswerCmd:
			c.orderAnswered(now, m.Answer)
		case order.EventCmd:
			c.event(now, m.Event)
		}
	}
}

// route sends an attempt through a carrier of its upstream.
func (c *Core) route(now clock.Millis, req attempt.Request) {
	to := c.chooseCarrier(now, req)
	switch to {
	case "":
		c.deliverReply(now, attempt.Reply{ID: req.ID, Upstream: req.Upstream, Status: attempt.NotCarrier, Execution: attempt.NotExecuted})
	case c.self.ID:
		c.attemptSent(req.Upstream, to)
		c.enqueue(pool.EnqueueMsg{Request: req, From: c.self.ID})
	default:
		c.attemptSent(req.Upstream, to)
		c.forwards.add(req, to, now)
		c.sendPeer(now, to, Forward{Request: req})
	}
}

// chooseCarrier returns the carrier with the lower expected time. Alternating
// between the two would leave connections of one carrier idle while attempts
// are queued at the other.
func (c *Core) chooseCarrier(now clock.Millis, req attempt.Request) string {
	if c.routing == RouteDirect {
		return c.self.ID
	}
	first := int(req.ID.Seq & 1)
	a := c.loadOf(req.Upstream, c.carriers.Carrier(req.Upstream, first))
	b := c.loadOf(req.Upstream, c.carriers.Carrier(req.Upstream, 1-first))
	if a != nil && b != nil && b.expectedMs() < a.expectedMs() {
		first = 1 - first
	}
	to := c.carriers.Carrier(req.Upstream, first)
	if to == "" || c.shouldAvoid(now, req.Upstream, to) {
		if other := c.carriers.Carrier(req.Upstream, 1-first); other != "" && !c.shouldAvoid(now, req.Upstream, other) {
			return other
		}
	}
	return to
}

// shouldAvoid reports whether a carrier is unreachable or has recently replied
// not_carrier for the upstream.
func (c *Core) shouldAvoid(now clock.Millis, up, carrier string) bool {
	l := c.loadOf(up, carrier)
	return c.forwards.isUnreachable(now, carrier) || (l != nil && now < l.avoidUntil)
}

// reroute sends the attempt to the other carrier if the first one is
// unreachable or no longer a carrier. Nothing was sent to the upstream, so this
// uses no retry budget.
func (c *Core) reroute(now clock.Millis, f *forward) bool {
	if f.rerouted || f.req.Deadline <= now {
		return false
	}
	for i := range carriersPerUpstream {
		to := c.carriers.Carrier(f.req.Upstream, i)
		if to == "" || to == f.carrier || c.forwards.isUnreachable(now, to) {
			continue
		}
		c.attemptSent(f.req.Upstream, to)
		if to == c.self.ID {
			c.enqueue(pool.EnqueueMsg{Request: f.req, From: c.self.ID})
			return true
		}
		c.forwards.add(f.req, to, now).rerouted = true
		c.sendPeer(now, to, Forward{Request: f.req})
		return true
	}
	return false
}

// deliverReply passes the reply to one of this VM's own attempts to the state
// machine that sent it.
func (c *Core) deliverReply(now clock.Millis, r attempt.Reply) {
	if r.ID.Seq&orderSeqBit == 0 {
		c.enqueue(query.ReplyMsg{Reply: r})
		return
	}
	c.balancer.RecordReply(now, upstream.ID(r.Upstream), r)
	c.enqueue(order.AttemptReplyMsg{Reply: r})
}

func (c *Core) cancelAttempt(now clock.Millis, id attempt.ID, up string) {
	if f := c.forwards.remove(id); f != nil {
		c.attemptEnded(now, up, f.carrier, attempt.Reply{Status: attempt.Cancelled})
		c.sendPeer(now, f.carrier, CancelForward{ID: id, Upstream: up})
		return
	}
	c.enqueue(pool.CancelMsg{ID: id})
}

func (c *Core) handlePoolCmds(now clock.Millis, cmds []pool.Cmd) {
	for _, cmd := range cmds {
		switch m := cmd.(type) {
		case pool.DispatchCmd:
			c.emit(DispatchCmd{Request: m.Request, NewConn: m.NewConn})
		case pool.AbortCmd:
			c.emit(AbortCmd{ID: m.ID, Upstream: m.Upstream})
		case pool.ReturnCmd:
			c.returnReply(now, m.To, m.Reply)
		}
	}
}

// returnReply returns a reply to the VM from which the attempt came.
func (c *Core) returnReply(now clock.Millis, to string, r attempt.Reply) {
	if r.Status == attempt.NotSent && c.pool.Limit(r.Upstream) == 0 {
		r.Status = attempt.NotCarrier
	}
	if to != c.self.ID {
		c.sendPeer(now, to, Result{Reply: r})
		return
	}
	c.attemptEnded(now, r.Upstream, to, r)
	c.deliverReply(now, r)
}
