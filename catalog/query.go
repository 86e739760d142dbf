package catalog

import "lentillink.example/lentillink/clock"

// NextWake returns when the model wants a TickMsg, if it waits for one.
func (m *Model) NextWake() (clock.Millis, bool) {
	at, ok := clock.Millis(0), false
	if m.phase == phaseIdle {
		at, ok = m.nextCall, true
		if m.feed.waits(m.nextCall) && !m.relist {
			at = max(at, m.listedAt+relistMs)
		}
	}
	if due, fed := m.feedWake(); fed && (!ok || due < at) {
		at, ok = due, true
	}
	if m.lost {
		return at, ok
	}
	for _, due := range m.missing {
		due = max(due, m.holdUntil)
		if !ok || due < at {
			at, ok = due, true
		}
	}
	return at, ok
}
