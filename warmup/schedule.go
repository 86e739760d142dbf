package warmup

import (
	"math"

	"lentillink.example/lentillink/clock"
)

const (
	// designatedShare is the share of an upstream's rate that its designated VM uses.
	// Upstreams tolerate half as much again and a few requests more, so twice this share
	// and a request of each VM fit in.
	designatedShare = 0.7

	// restShare and restPerSecond are the rate of all other VMs together, of what two
	// designated ones leave.
	restShare     = 0.05
	restPerSecond = 0.5

	// maxPeriodMs bounds the time between two requests.
	maxPeriodMs = clock.Hour
)

// Schedule holds when one VM may send the next request to one upstream.
type Schedule struct {
	first    clock.Millis // start of the first turn
	periodMs clock.Millis // between the starts of two turns
	turnMs   clock.Millis // length of a turn; 0 if it lasts until it is used
	freeAt   clock.Millis // one period after the last request
}

// Designated returns the schedule of the VM that sends an upstream most of what it bears,
// perSecond requests, from a time on. The VM may have restarted just before it, so its first
// turn comes a period later.
func Designated(from clock.Millis, perSecond float64) Schedule {
	period := periodOf(designatedShare * perSecond)
	return Schedule{first: from + period, periodMs: period}
}

// Rest returns the schedule of a VM beside a designated one. The VMs take turns in the
// order of their index, from 0 to vms-1. A turn that is not used is lost, so that unused
// turns of many VMs never add up.
func Rest(from clock.Millis, perSecond float64, index, vms int) Schedule {
	return turns(from, restShare*perSecond+restPerSecond, index, vms)
}

// Equal returns the schedule of a VM for an upstream without a designated one.
func Equal(from clock.Millis, perSecond float64, index, vms int) Schedule {
	return turns(from, designatedShare*perSecond, index, vms)
}

func turns(from clock.Millis, perSecond float64, index, vms int) Schedule {
	turn := periodOf(perSecond)
	return Schedule{first: from + turn*clock.Millis(index), periodMs: turn * clock.Millis(max(vms, 1)), turnMs: turn}
}

// After returns the schedule with the last request of an earlier one, which it replaces.
func (s Schedule) After(earlier Schedule) Schedule {
	if earlier.freeAt > 0 {
		s.freeAt = earlier.freeAt - earlier.periodMs + s.periodMs
	}
	return s
}

// periodOf returns the time between two requests at a rate.
func periodOf(perSecond float64) clock.Millis {
	if ms := math.Ceil(float64(clock.Second) / perSecond); ms < float64(maxPeriodMs) {
		return clock.Millis(ms)
	}
	return maxPeriodMs
}

// NotBefore returns the earliest time of the next request, which is not after now if it
// may be sent now.
func (s Schedule) NotBefore(now clock.Millis) clock.Millis {
	at := max(s.first, s.freeAt)
	if s.turnMs == 0 {
		return at
	}
	at = max(at, now)
	if turn := s.first + (at-s.first)/s.periodMs*s.periodMs; at >= turn+s.turnMs {
		return turn + s.periodMs
	}
	return at
}

// Spend records a request.
func (s *Schedule) Spend(now clock.Millis) { s.freeAt = now + s.periodMs }

// PerSecond returns the rate of the schedule.
func (s Schedule) PerSecond() float64 { return float64(clock.Second) / float64(max(s.periodMs, 1)) }
