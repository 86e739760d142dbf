package vm

import (
	"slices"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
)

const (
	// forwardGrace is how long after its deadline a forwarded attempt may still
	// be answered.
	forwardGrace = clock.Second
	// avoidMs is how long a VM whose connection broke is not chosen while the
	// other carrier is available. Membership decides within this time.
	avoidMs = 2 * clock.Second
)

// forward is an attempt that another VM runs for this one.
type forward struct {
	req      attempt.Request
	to       string
	sentAt   clock.Millis
	rerouted bool
}

// forwards tracks the attempts at other VMs.
type forwards struct {
	open    map[attempt.ID]*forward
	broken  map[string]clock.Millis // until when a VM is avoided
	heardAt map[string]clock.Millis // when a VM last sent something
}

func newForwards() *forwards {
	return &forwards{open: make(map[attempt.ID]*forward), broken: make(map[string]clock.Millis), heardAt: make(map[string]clock.Millis)}
}

func (fs *forwards) add(req attempt.Request, to string, now clock.Millis) *forward {
	f := &forward{req: req, to: to, sentAt: now}
	fs.open[req.ID] = f
	return f
}

func (fs *forwards) remove(id attempt.ID) *forward {
	f := fs.open[id]
	delete(fs.open, id)
	return f
}

func (fs *forwards) avoid(now clock.Millis, to string) bool { return now < fs.broken[to] }

// takeWhere removes the forwards that match, ordered by attempt so that one
// seed gives one history.
func (fs *forwards) takeWhere(match func(*forward) bool) []*forward {
	var out []*forward
	for id, f := range fs.open {
		if match(f) {
			out = append(out, f)
			delete(fs.open, id)
		}
	}
	slices.SortFunc(out, func(a, b *forward) int {
		if a.req.ID.Seq < b.req.ID.Seq {
			return -1
		}
		return 1
	})
	return out
}

// peerDown ends the attempts at a VM whose connection broke. They may have run.
func (c *Core) peerDown(now clock.Millis, peer string) {
	lost := c.forwards.takeWhere(func(f *forward) bool { return f.to == peer })
	if len(lost) > 0 {
		c.forwards.broken[peer] = now + avoidMs
	}
	for _, f := range lost {
		c.endForward(now, f, attempt.Reply{ID: f.req.ID, Upstream: f.req.Upstream, Status: attempt.Failed})
	}
}

// endForward ends a forward that its carrier did not answer.
func (c *Core) endForward(now clock.Millis, f *forward, r attempt.Reply) {
	c.attemptEnded(now, f.req.Upstream, f.to, r)
	c.deliver(now, r)
}

// peerUnsent handles a message that never left. A forward is proven not run.
func (c *Core) peerUnsent(now clock.Millis, m PeerUnsentMsg) {
	fwd, ok := m.Body.(Forward)
	if !ok {
		return
	}
	c.forwards.broken[m.To] = now + avoidMs
	f := c.forwards.open[fwd.Request.ID]
	if f == nil || f.to != m.To { // the report is doubled: the attempt is at another carrier by now
		return
	}
	delete(c.forwards.open, fwd.Request.ID)
	c.attemptEnded(now, f.req.Upstream, f.to, attempt.Reply{Status: attempt.NotCarrier})
	if c.reroute(now, f) {
		return
	}
	c.deliver(now, attempt.Reply{ID: f.req.ID, Upstream: f.req.Upstream, Status: attempt.NotCarrier, Execution: attempt.NotExecuted})
}

// resultReceived accepts a result only from the VM that was asked. After a
// rerouted forward, a doubled answer of the first carrier does not prove that
// the second carrier has not run an order, so it is dropped.
func (c *Core) resultReceived(now clock.Millis, from string, r attempt.Reply) {
	f := c.forwards.open[r.ID]
	if f == nil || f.to != from {
		if r.Status != attempt.Cancelled && r.ID.Seq&orderSeqBit == 0 {
			c.deliver(now, r) // the machine that sent it counts and drops a late reply
		}
		return
	}
	delete(c.forwards.open, r.ID)
	c.noticeLeaving(r)
	c.attemptEnded(now, f.req.Upstream, f.to, r)
	if r.Status == attempt.NotCarrier && r.Execution == attempt.NotExecuted && c.reroute(now, f) {
		return
	}
	c.deliver(now, r)
}

func (c *Core) expireForwards(now clock.Millis) {
	late := c.forwards.takeWhere(func(f *forward) bool { return now > f.req.Deadline+forwardGrace })
	for _, f := range late {
		c.endForward(now, f, attempt.Reply{ID: f.req.ID, Upstream: f.req.Upstream, Status: attempt.TimedOut})
	}
}
