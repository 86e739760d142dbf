package clock

import "time"

// Steady counts milliseconds since it was created. Steps of the time of day do
// not move it, so durations are measured with it. Its values mean nothing to
// another process.
type Steady struct {
	start time.Time
}

// NewSteady returns a Steady clock that starts at steadyOrigin.
func NewSteady() Steady { return Steady{start: time.Now()} }

// steadyOrigin keeps the zero Millis free to mean "never".
const steadyOrigin = Second

// Now returns the milliseconds since the clock was created, plus steadyOrigin.
func (c Steady) Now() Millis {
	return steadyOrigin + Millis(time.Since(c.start).Milliseconds())
}
