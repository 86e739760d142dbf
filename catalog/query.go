package catalog

import "lentillink.example/lentillink/clock"

// NextWake returns when the model wants a TickMsg, if it waits for one.
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
	for _, due := range m.pendingRemovals {
		due = max(due, m.holdRemovalsUntil)
		if !ok || due < at {
			at, ok = due, true
		}
	}
	return at, ok
}
