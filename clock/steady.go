package clock

import "time"

// Monotonic counts milliseconds since it was created. Steps of the time of day do
// not move it, so durations are measured with it. Its values mean nothing to
// another process.
type Monotonic struct {
	start time.Time
}

// NewMonotonic returns a Steady clock that starts at steadyOrigin.
func NewMonotonic() Monotonic { return Monotonic{start: time.Now()} }

// steadyOrigin keeps the zero Millis free to mean "never".
const steadyOrigin = Second

// Now returns the milliseconds since the clock was created, plus steadyOrigin.
func (c Monotonic) Now() Millis {
	return steadyOrigin + Millis(time.Since(c.start).Milliseconds())
}
