package pool

import "lentillink.example/lentillink/clock"

// Running returns the number of busy connections of an upstream.
func (m *Model) Running(upstream string) int {
	if l := m.lanes[upstream]; l != nil {
		return l.conns.busy
	}
	return 0
}

// Queued returns the number of waiting attempts of an upstream.
func (m *Model) Queued(upstream string) int {
	if l := m.lanes[upstream]; l != nil {
		return l.queue.size
	}
	return 0
}

// Limit returns the limit of connections that is in effect for an upstream.
func (m *Model) Limit(upstream string) int {
	if l := m.lanes[upstream]; l != nil {
		return l.effective
	}
	return 0
}

// Open returns the number of open connections of an upstream, busy and idle.
func (m *Model) Open(upstream string) int {
	if l := m.lanes[upstream]; l != nil {
		return l.conns.open()
	}
	return 0
}

// Opened returns how many connections were opened to an upstream so far.
func (m *Model) Opened(upstream string) int {
	if l := m.lanes[upstream]; l != nil {
		return l.conns.opened
	}
	return 0
}

// Stray returns the number of messages about unknown or doubled attempts.
func (m *Model) Stray() int { return m.stray }

// Idle reports whether no attempt is queued or running.
func (m *Model) Idle() bool { return len(m.attempts) == 0 }

// NextWake returns when the model wants a TickMsg. It takes time in the number
// of upstreams.
func (m *Model) NextWake() (clock.Millis, bool) {
	var wake clock.Millis
	found := false
	for _, l := range m.ordered {
		if at, ok := l.nextWake(m.now, m.cfg.idleMs); ok && (!found || at < wake) {
			wake, found = at, true
		}
	}
	return wake, found
}

func (l *lane) nextWake(now, idleMs clock.Millis) (clock.Millis, bool) {
	var wake clock.Millis
	found := false
	consider := func(at clock.Millis) {
		if !found || at < wake {
			wake, found = at, true
		}
	}
	if it := l.queue.earliest(); it != nil {
		due := it.req.Deadline
		consider(min(due, due-l.service.At(now)+1))
		if l.effective < l.limit {
			consider(l.recoverAt)
		}
	}
	if l.running.Len() > 0 {
		consider(l.running.top().ends)
	}
	if len(l.conns.idle) > 0 {
		consider(l.conns.idle[0] + idleMs)
	}
	return wake, found
}

// keep is the number of connections that may stay open.
func (l *lane) keep() int {
	if l.leaving {
		return 0
	}
	return l.effective
}
