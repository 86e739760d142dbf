package fairshare

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

const (
	// throttleMs is the least time between two changes of the admitted part. What the first
	// one did shows in the queues by then.
	throttleMs clock.Millis = 200

	// The admitted part falls by a factor while work of the flow would end late, and rises
	// by a step while it would not.
	throttleFactor = 0.8
	throttleStep   = 0.03

	// minAdmitted keeps some requests coming, which show when there is room again.
	minAdmitted = 0.02
)

// ObserveDue reports whether Observe has an effect at now.
func (f *Flow) ObserveDue(now clock.Millis) bool { return now-f.throttledAt >= throttleMs }

// Observe records whether a new request of the flow would end late. Only a flow above its
// share is throttled. It returns whether that begins now.
func (f *Flow) Observe(now clock.Millis, late bool) (begins bool) {
	if !f.ObserveDue(now) {
		return false
	}
	if !late || !f.AboveShare() {
		f.admitMore(now)
		return false
	}
	begins = f.refused == 0
	f.refused = 1 - max((1-f.refused)*throttleFactor, minAdmitted)
	f.throttledAt = now
	if begins && !slices.Contains(f.account.throttled, f) {
		f.account.throttled = append(f.account.throttled, f)
	}
	return begins
}

func (f *Flow) admitMore(now clock.Millis) {
	steps := float64(now-f.throttledAt) / float64(throttleMs)
	f.refused = max(f.refused-throttleStep*steps, 0)
	f.throttledAt = now
}

// Admitted returns the part of the flow's requests that there is room for, 0 to 1.
func (f *Flow) Admitted() float64 { return 1 - f.refused }

// Throttled returns the flows of which a part is refused, in the order in which that began.
// That part falls too while no requests come. The slice is valid until the next call.
func (a *Account) Throttled(now clock.Millis) []*Flow {
	if len(a.throttled) == 0 {
		return nil
	}
	a.throttled = slices.DeleteFunc(a.throttled, func(f *Flow) bool {
		if f.refused > 0 && now-f.throttledAt >= 2*throttleMs {
			f.admitMore(now)
		}
		return f.refused == 0
	})
	return a.throttled
}
