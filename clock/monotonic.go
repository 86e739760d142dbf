package clock

import "time"

// Monotonic counts milliseconds since it was created. Steps of the wall clock do not
// affect it, so it is used to measure durations. Its values have no meaning in
// another process.
type Monotonic struct {
	start time.Time
}

// NewMonotonic returns a Monotonic clock that starts at monotonicOrigin.
func NewMonotonic() Monotonic { return Monotonic{start: time.Now()} }

// monotonicOrigin keeps the zero Millis free to mean "never".
const monotonicOrigin = Second

// Now returns the milliseconds since the clock was created, plus monotonicOrigin.
func (c Monotonic) Now() Millis {
	return monotonicOrigin + Millis(time.Since(c.start).Milliseconds())
}
