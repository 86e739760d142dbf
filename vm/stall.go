package vm

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
)

const (
	// defaultStallMs is how long a carrier may be silent while it owes results.
	// Membership takes seconds to suspect a paused VM, longer than the deadline
	// of urgent work; a VM without power closes no connection either.
	defaultStallMs clock.Millis = 150
	// stallCheckMs is how often open forwards are looked at.
	stallCheckMs clock.Millis = 50
)

// heard notes that a VM sent something.
func (fs *forwards) heard(from string, now clock.Millis) { fs.heardAt[from] = now }

// stalled reports whether the VM that runs f has been silent since f was sent,
// for longer than limit.
func (fs *forwards) stalled(f *forward, now, limit clock.Millis) bool {
	return now-f.sentAt >= limit && fs.heardAt[f.to] < f.sentAt
}

// checkStalls ends the queries' attempts at VMs that fell silent, so that they
// are retried through the other carrier. An order's attempt stays open: its
// outcome is unknown, and only a reply can settle it.
func (c *Core) checkStalls(now clock.Millis) {
	if c.stallMs <= 0 || now < c.nextStall {
		return
	}
	c.nextStall = now + stallCheckMs
	silent := make(map[string]bool)
	for _, f := range c.forwards.open {
		if c.forwards.stalled(f, now, c.stallMs) {
			silent[f.to] = true
			c.forwards.broken[f.to] = now + avoidMs
		}
	}
	if len(silent) == 0 {
		return
	}
	lost := c.forwards.takeWhere(func(f *forward) bool {
		return silent[f.to] && f.req.Kind == attempt.Query
	})
	for _, f := range lost {
		c.endForward(now, f, attempt.Reply{ID: f.req.ID, Upstream: f.req.Upstream, Status: attempt.Failed})
	}
}

// wakeStall returns when open forwards have to be looked at.
func (c *Core) wakeStall() (clock.Millis, bool) {
	return c.nextStall, c.stallMs > 0 && len(c.forwards.open) > 0
}
