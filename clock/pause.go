package clock

// Bounds of PauseDetector.
const (
	// minSuspension is the difference between two clocks from which the process counts as
	// suspended.
	minSuspension Millis = 500

	// minStop is the time between two checks from which the process counts as stopped. The
	// owner checks at least once a second.
	minStop = 2 * Second
)

// PauseDetector detects that the process did not run for a while, because it was stopped
// or the machine was suspended. The steady clock does not count a suspension; the wall
// clock does, and steps for other reasons too. The boot clock, which decides, takes a
// system call.
type PauseDetector struct {
	boot       func() Millis
	steady     Millis // at the last check
	wallOffset Millis // of the wall clock from the steady one
	bootOffset Millis // of the boot clock from the steady one
}

// NewPauseDetector returns a detector. boot reads a clock that counts suspensions.
func NewPauseDetector(steady, wall Millis, boot func() Millis) *PauseDetector {
	return &PauseDetector{boot: boot, steady: steady, wallOffset: wall - steady, bootOffset: boot() - steady}
}

// Check returns how long the process did not run since the last check, 0 if it did not
// pause.
func (d *PauseDetector) Check(steady, wall Millis) Millis {
	gap := steady - d.steady
	drift := wall - steady - d.wallOffset
	d.steady = steady
	if drift >= minSuspension || drift <= -minSuspension {
		d.wallOffset = wall - steady
		suspended := d.boot() - steady - d.bootOffset
		d.bootOffset += suspended
		if suspended >= minSuspension {
			return max(gap, 0) + suspended
		}
	}
	if gap >= minStop {
		return gap
	}
	return 0
}
