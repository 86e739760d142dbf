package pool

import "lentillink.example/lentillink/clock"

// BusyConns returns the number of busy connections of an upstream.
func (m *Model) BusyConns(upstream string) int {
	if u := m.upstreams[upstream]; u != nil {
		return u.conns.busy
	}
	return 0
}

// Queued returns the number of waiting attempts of an upstream.
func (m *Model) Queued(upstream string) int {
	if u := m.upstreams[upstream]; u != nil {
		return u.queue.size
	}
	return 0
}

// Limit returns the limit of connections that is in effect for an upstream.
func (m *Model) Limit(upstream string) int {
	if u := m.upstreams[upstream]; u != nil {
		return u.effectiveLimit
	}
	return 0
}

// OpenConns returns the number of open connections of an upstream, busy and idle.
func (m *Model) OpenConns(upstream string) int {
	if u := m.upstreams[upstream]; u != nil {
		return u.conns.open()
	}
	return 0
}

// OpenedConns returns how many connections were opened to an upstream so far.
func (m *Model) OpenedConns(upstream string) int {
	if u := m.upstreams[upstream]; u != nil {
		return u.conns.opened
	}
	return 0
}

// Unmatched returns the number of messages about unknown or doubled attempts.
func (m *Model) Unmatched() int { return m.unmatched }

// Idle reports whether no attempt is queued or running.
func (m *Model) Idle() bool { return len(m.attempts) == 0 }

// NextWake returns when the model wants a TickMsg. It takes time in the number
// of upstreams.
func (m *Model) NextWake() (clock.Millis, bool) {
	wake := never
	for _, u := range m.ordered {
		wake = min(wake, u.nextDueAt)
	}
	return wake, wake != never
}
