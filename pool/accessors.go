package pool

import "lentillink.example/lentillink/clock"

// BusyConns returns the number of busy connections of an upstream.
func (m *Model) BusyConns(upstream string) int {
	if u := m.upstreams[upstream]; u != nil {
		return u.conns.busy
	}
	return 0
}

// Queued returns the number of queued attempts of an upstream.
func (m *Model) Queued(upstream string) int {
	if u := m.upstreams[upstream]; u != nil {
		return u.queue.size
	}
	return 0
}

// Limit returns the effective connection limit of an upstream. Refused
// connections lower it below the configured one.
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

// OpenedConns returns the total number of connections opened to an upstream.
func (m *Model) OpenedConns(upstream string) int {
	if u := m.upstreams[upstream]; u != nil {
		return u.conns.opened
	}
	return 0
}

// Unmatched returns the number of ignored messages: duplicate requests, and
// results of attempts that are not running.
func (m *Model) Unmatched() int { return m.unmatched }

// Idle reports whether no attempt is queued or running.
func (m *Model) Idle() bool { return len(m.attempts) == 0 }

// NextWake returns the time of the next TickMsg, and false if nothing is
// scheduled. Its cost is linear in the number of upstreams.
func (m *Model) NextWake() (clock.Millis, bool) {
	wake := never
	for _, u := range m.ordered {
		wake = min(wake, u.nextDueAt)
	}
	return wake, wake != never
}
