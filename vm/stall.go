package vm

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
)

const (
	// defaultStallTimeout is how long a carrier may send nothing while results
	// are due from it. Membership takes seconds to suspect a paused VM, longer
	// than the deadline of urgent requests, and a VM that lost power does not
	// close its connections either.
	defaultStallTimeout clock.Millis = 150
	// stallCheckMs is how often open forwards are checked for stalled carriers.
	stallCheckMs clock.Millis = 50
)

// markReceived records that a message from a VM arrived.
func (fs *forwards) markReceived(from string, now clock.Millis) { fs.lastReceived[from] = now }

// stalled reports whether the carrier of f has sent nothing since f was sent,
// for at least limit.
func (fs *forwards) stalled(f *forward, now, limit clock.Millis) bool {
	return now-f.sentAt >= limit && fs.lastReceived[f.carrier] < f.sentAt
}

// checkStalls fails the query attempts forwarded to stalled VMs, so that they
// are retried through the other carrier. An order attempt stays open: its
// outcome is unknown, and only a reply can resolve it.
func (c *Core) checkStalls(now clock.Millis) {
	if c.stallTimeout <= 0 || now < c.nextStallCheck {
		return
	}
	c.nextStallCheck = now + stallCheckMs
	stalledCarriers := make(map[string]bool)
	for _, f := range c.forwards.open {
		if c.forwards.stalled(f, now, c.stallTimeout) {
			stalledCarriers[f.carrier] = true
			c.forwards.unreachableUntil[f.carrier] = now + unreachableMs
		}
	}
	if len(stalledCarriers) == 0 {
		return
	}
	failed := c.forwards.takeMatching(func(f *forward) bool {
		return stalledCarriers[f.carrier] && f.req.Kind == attempt.Query
	})
	for _, f := range failed {
		c.failForward(now, f, attempt.Reply{ID: f.req.ID, Upstream: f.req.Upstream, Status: attempt.Failed})
	}
}

// stallWake returns when open forwards are next checked for stalled
// carriers.
func (c *Core) stallWake() (clock.Millis, bool) {
	return c.nextStallCheck, c.stallTimeout > 0 && len(c.forwards.open) > 0
}
