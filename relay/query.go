package relay

import "lentillink.example/lentillink/clock"

// NextWake returns when the model needs the next TickMsg.
func (m *Model) NextWake() (clock.Millis, bool) {
	at, ok := m.departures.nextWake()
	if len(m.timers) > 0 && (!ok || m.timers[0].at < at) {
		at, ok = m.timers[0].at, true
	}
	return at, ok
}

// Ready reports whether a configuration is active and at least one upstream is
// known.
func (m *Model) Ready() bool { return m.table != nil && len(m.upstreams) > 0 }

// Evacuated returns the data centres that are evacuated, sorted.
func (m *Model) Evacuated() []string { return sortedKeys(m.evacuated) }

// Version returns the version of the active configuration, 0 if there is none.
func (m *Model) Version() uint64 {
	if m.table == nil {
		return 0
	}
	return m.table.Version()
}
