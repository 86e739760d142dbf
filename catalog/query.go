package catalog

import "lentillink.example/lentillink/clock"

// Current reports whether all changes up to the start of the Model are known. A first list
// may be seconds old: what it shows must not be used before a watch or a publisher has
// confirmed it.
func (m *Model) Current() bool { return m.current }

// ConfirmedAt returns when the last call of this VM began that has shown all changes up to its
// beginning, in the newest era at its end; 0 if none has.
func (m *Model) ConfirmedAt() clock.Millis { return m.confirmedAt }

// ContactSince returns since when this VM or its publisher has reached the store without a gap in
// the newest era; 0 if it has not yet.
func (m *Model) ContactSince() clock.Millis { return m.contactSince }

// Era returns the newest era of the store that is known, or 0.
func (m *Model) Era() uint64 { return m.era }

// NextWake returns the time of the next due work, at which the Model needs a TickMsg, if any.
func (m *Model) NextWake() (clock.Millis, bool) {
	at, ok := m.callDueAt(m.nextCall)
	if due, asked := m.pageDueAt(); asked && (!ok || due < at) {
		at, ok = due, true
	}
	if due, refreshes := m.refreshDueAt(); refreshes && (!ok || due < at) {
		at, ok = due, true
	}
	if due, subscribed := m.subscriptionWake(); subscribed && (!ok || due < at) {
		at, ok = due, true
	}
	if m.keepsRemovals() {
		return at, ok
	}
	for key, r := range m.pendingRemovals {
		due := max(r.reportAt, m.holdUntil(key))
		if !ok || due < at {
			at, ok = due, true
		}
	}
	return at, ok
}
