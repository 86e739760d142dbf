package catalog

import "lentillink.example/lentillink/clock"

// NextWake returns the time of the next due work, at which the Model needs a TickMsg, if any.
func (m *Model) NextWake() (clock.Millis, bool) {
	at, ok := clock.Millis(0), false
	if m.phase == phaseIdle {
		at, ok = m.nextCall, true
		if m.subscription.replacesWatch(m.nextCall) && !m.needRelist {
			at = max(at, m.listedAt+relistIntervalMs)
		}
	}
	if due, subscribed := m.subscriptionWake(); subscribed && (!ok || due < at) {
		at, ok = due, true
	}
	if m.storeLost {
		return at, ok
	}
	for _, r := range m.pendingRemovals {
		due := max(r.reportAt, m.holdRemovalsUntil)
		if !ok || due < at {
			at, ok = due, true
		}
	}
	return at, ok
}
