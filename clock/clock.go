package clock

import (
	"sync/atomic"
	"time"
)

// Millis is a point in time as milliseconds since the Unix epoch, or a duration in
// milliseconds.
type Millis int64

// Second, Minute and Hour are common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock returns the current time.
type Clock interface {
	Now() Millis
}

// System reads the clock of the operating system.
type System struct{}

// Now returns the current wall-clock time.
func (System) Now() Millis { return Millis(time.Now().UnixMilli()) }

// Manual is a clock that only Advance moves. It is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a Manual clock set to now.
func NewManual(now Millis) *Manual {
	c := &Manual{}
	c.now.Store(int64(now))
	return c
}

// Now returns the time that was last set.
func (c *Manual) Now() Millis { return Millis(c.now.Load()) }

// Advance moves the clock forward by d.
func (c *Manual) Advance(d Millis) { c.now.Add(int64(d)) }
