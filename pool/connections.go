package pool

import "lentillink.example/lentillink/clock"

// connections tracks the connections to one upstream. Idle ones are reused last
// in, first out, so that at low load only a few stay in use and the others
// reach their idle timeout.
type connections struct {
	busy   int
	idle   []clock.Millis // when each became idle, oldest first
	opened int            // total number opened
}

// acquire marks a connection as busy and reports whether it must be opened.
func (c *connections) acquire() bool {
	c.busy++
	if n := len(c.idle); n > 0 {
		c.idle = c.idle[:n-1]
		return false
	}
	c.opened++
	return true
}

func (c *connections) release(now clock.Millis, usable bool) {
	c.busy--
	if usable {
		c.idle = append(c.idle, now)
	}
}

// closeExcess closes idle connections that reached the idle timeout or exceed the
// limit. It reports whether it closed any.
func (c *connections) closeExcess(now, idleTimeoutMs clock.Millis, limit int) bool {
	n := 0
	for n < len(c.idle) && (now-c.idle[n] >= idleTimeoutMs || c.open()-n > limit) {
		n++
	}
	if n > 0 {
		c.idle = append(c.idle[:0], c.idle[n:]...)
	}
	return n > 0
}

func (c *connections) open() int { return c.busy + len(c.idle) }
