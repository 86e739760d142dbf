package experiment

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
)

// queryCarrier simulates the carrier of one upstream. It queues attempts in
// order, drops those that were cancelled or whose deadline has passed, and frees
// the connection of a running attempt when it is cancelled.
type queryCarrier struct {
	loop          *Loop
	up            *Upstream
	connections   int
	table         rowTable
	running       map[attempt.ID]bool
	queued        map[attempt.ID]bool
	queue         []queuedQuery
	unresponsive  bool // the upstream accepts requests and never replies
	answersNewest bool // the upstream replies at its newest version, whatever version was requested
	deliver       func(attempt.Reply)
}

type queuedQuery struct {
	attempt.Request
	queuedAt clock.Millis
}

func newQueryCarrier(loop *Loop, up *Upstream, connections int, deliver func(attempt.Reply)) *queryCarrier {
	return &queryCarrier{
		loop: loop, up: up, connections: connections, deliver: deliver, table: make(rowTable),
		running: make(map[attempt.ID]bool), queued: make(map[attempt.ID]bool),
	}
}

func (c *queryCarrier) send(req attempt.Request) {
	c.queued[req.ID] = true
	c.queue = append(c.queue, queuedQuery{Request: req, queuedAt: c.loop.Now()})
	c.dispatch()
}

func (c *queryCarrier) cancel(id attempt.ID) {
	delete(c.queued, id)
	delete(c.running, id)
	c.dispatch()
}

func (c *queryCarrier) dispatch() {
	for len(c.queue) > 0 && len(c.running) < c.connections {
		next := c.queue[0]
		c.queue = c.queue[1:]
		if !c.queued[next.ID] {
			continue
		}
		delete(c.queued, next.ID)
		queuedMs := c.loop.Now() - next.queuedAt
		if c.loop.Now() >= next.Deadline {
			c.reply(attempt.Reply{
				ID: next.ID, Upstream: next.Upstream, Status: attempt.NotSent, Execution: attempt.NotExecuted, QueueMs: queuedMs,
			})
			continue
		}
		c.start(next.Request, queuedMs)
	}
}

func (c *queryCarrier) start(req attempt.Request, queuedMs clock.Millis) {
	c.running[req.ID] = true
	requested := req.Version
	if c.answersNewest && requested != 0 {
		req.Version = c.up.HeldVersions[len(c.up.HeldVersions)-1]
	}
	c.up.Serve(req, func(r attempt.Reply) {
		if c.unresponsive || !c.running[r.ID] {
			return
		}
		delete(c.running, r.ID)
		switch {
		case r.Status != attempt.OK:
		case c.up.Dead:
			// The upstream died while it executed the request.
			r = attempt.Reply{ID: r.ID, Upstream: r.Upstream, Status: attempt.Failed}
		default:
			r.Rows = c.table.rows(r.Version, r.Ranges)
			r.Version = requested
		}
		r.QueueMs = queuedMs
		c.reply(r)
		c.dispatch()
	})
}

func (c *queryCarrier) reply(r attempt.Reply) {
	c.loop.After(queryHopMs, func() { c.deliver(r) })
}
