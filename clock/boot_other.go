//go:build !linux

package clock

// Boot returns the wall-clock time: a step of it counts as a suspension.
func Boot() Millis { return System{}.Now() }
