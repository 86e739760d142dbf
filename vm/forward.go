package vm

import (
	"slices"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
)

const (
	// forwardGraceMs is how long after its deadline a forwarded attempt may still
	// be answered before it counts as timed out.
	forwardGraceMs = clock.Second
	// unreachableMs is how long a VM whose connection broke is not chosen while
	// the other carrier is available. Membership detects a failed VM within this
	// time.
	unreachableMs = 2 * clock.Second
)

// forward is an attempt of this VM that a carrier, another VM, runs.
type forward struct {
	req      attempt.Request
	carrier  string
	sentAt   clock.Millis
	rerouted bool
}

// forwards tracks the attempts forwarded to other VMs.
type forwards struct {
	open             map[attempt.ID]*forward
	unreachableUntil map[string]clock.Millis // per VM, the end of the time in which it is not chosen
	lastReceived     map[string]clock.Millis // per VM, when a message from it last arrived
}

func newForwards() *forwards {
	return &forwards{open: make(map[attempt.ID]*forward), unreachableUntil: make(map[string]clock.Millis), lastReceived: make(map[string]clock.Millis)}
}

func (fs *forwards) add(req attempt.Request, carrier string, now clock.Millis) *forward {
	f := &forward{req: req, carrier: carrier, sentAt: now}
	fs.open[req.ID] = f
	return f
}

func (fs *forwards) remove(id attempt.ID) *forward {
	f := fs.open[id]
	delete(fs.open, id)
	return f
}

func (fs *forwards) isUnreachable(now clock.Millis, vmID string) bool {
	return now < fs.unreachableUntil[vmID]
}

// takeMatching removes and returns the forwards that match, sorted by attempt, so
// that runs with the same seed are identical.
func (fs *forwards) takeMatching(match func(*forward) bool) []*forward {
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

// handlePeerDisconnected fails the attempts forwarded to a VM whose connection broke.
// They may have run.
func (c *Core) handlePeerDisconnected(now clock.Millis, peer string) {
	failed := c.forwards.takeMatching(func(f *forward) bool { return f.carrier == peer })
	if len(failed) > 0 {
		c.forwards.unreachableUntil[peer] = now + unreachableMs
	}
	for _, f := range failed {
		c.failForward(now, f, attempt.Reply{ID: f.req.ID, Upstream: f.req.Upstream, Status: attempt.Failed})
	}
}

// failForward ends a forward that its carrier did not answer.
func (c *Core) failForward(now clock.Millis, f *forward, r attempt.Reply) {
	c.attemptEnded(now, f.req.Upstream, f.carrier, r)
	c.deliverReply(now, r)
}

// handlePeerUnsent handles a message that was never sent. An attempt in it has
// provably not run.
func (c *Core) handlePeerUnsent(now clock.Millis, m PeerUnsentMsg) {
	fwd, ok := m.Body.(Forward)
	if !ok {
		return
	}
	c.forwards.unreachableUntil[m.To] = now + unreachableMs
	f := c.forwards.open[fwd.Request.ID]
	if f == nil || f.carrier != m.To { // duplicate report: the attempt was already rerouted to another carrier
		return
	}
	delete(c.forwards.open, fwd.Request.ID)
	c.attemptEnded(now, f.req.Upstream, f.carrier, attempt.Reply{Status: attempt.NotCarrier})
	if c.reroute(now, f) {
		return
	}
	c.deliverReply(now, attempt.Reply{ID: f.req.ID, Upstream: f.req.Upstream, Status: attempt.NotCarrier, Execution: attempt.NotExecuted})
}

// handleResult accepts a result only from the VM to which the attempt was
// forwarded. After rerouting, a duplicate result of the first carrier is dropped:
// it does not prove that the second carrier has not run an order.
func (c *Core) handleResult(now clock.Millis, from string, r attempt.Reply) {
	f := c.forwards.open[r.ID]
	if f == nil || f.carrier != from {
		if r.Status != attempt.Cancelled && r.ID.Seq&orderSeqBit == 0 {
			c.deliverReply(now, r) // the query state machine counts and drops late replies
		}
		return
	}
	delete(c.forwards.open, r.ID)
	c.reportLeaving(r)
	c.attemptEnded(now, f.req.Upstream, f.carrier, r)
	if r.Status == attempt.NotCarrier && r.Execution == attempt.NotExecuted && c.reroute(now, f) {
		return
	}
	c.deliverReply(now, r)
}

func (c *Core) expireForwards(now clock.Millis) {
	expired := c.forwards.takeMatching(func(f *forward) bool { return now > f.req.Deadline+forwardGraceMs })
	for _, f := range expired {
		c.failForward(now, f, attempt.Reply{ID: f.req.ID, Upstream: f.req.Upstream, Status: attempt.TimedOut})
	}
}
