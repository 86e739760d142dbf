package pool

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// pump applies all that is due at one upstream, then dispatches what fits.
func (m *Model) pump(now clock.Millis, l *lane, cmds []Cmd) []Cmd {
	l.recover(now)
	cmds = m.expireRunning(now, l, cmds)
	cmds = m.expireQueued(now, l, cmds)
	if status, refused := l.refusal(now); refused {
		cmds = m.returnQueue(now, l, status, cmds)
	}
	for l.queue.size > 0 && l.room(now) {
		it := l.queue.take(now, &m.cfg.shares)
		cmds = append(cmds, m.dispatch(now, it))
	}
	if l.conns.trim(now, m.cfg.idleMs, l.keep()) {
		cmds = append(cmds, CloseIdleCmd{Upstream: l.id, Keep: len(l.conns.idle)})
	}
	l.wake = l.due(now, m.cfg.idleMs)
	return cmds
}

func (m *Model) dispatch(now clock.Millis, it *item) Cmd {
	l := it.lane
	it.running = true
	it.dispatched = now
	it.ends = it.req.Deadline + m.cfg.graceMs
	l.running.add(it)
	return DispatchCmd{Request: it.req, NewConn: l.conns.take()}
}

// expireRunning returns attempts whose reply is overdue, and frees the slots
// of those whose abort was never confirmed.
func (m *Model) expireRunning(now clock.Millis, l *lane, cmds []Cmd) []Cmd {
	for l.running.Len() > 0 && l.running.top().ends <= now {
		it := l.running.top()
		if it.aborted && now >= it.abortedAt+m.cfg.boundMs {
			cmds = m.closeRunning(now, it, attempt.Cancelled, cmds)
			continue
		}
		cmds = m.giveBack(now, it, attempt.Reply{ID: it.req.ID, Upstream: l.id, Status: attempt.TimedOut}, cmds)
		if !it.aborted {
			cmds = m.abort(now, it, cmds)
			continue
		}
		it.ends = it.abortedAt + m.cfg.boundMs
		l.running.fix(it)
	}
	return cmds
}

func (m *Model) expireQueued(now clock.Millis, l *lane, cmds []Cmd) []Cmd {
	for {
		it := l.queue.earliest()
		if it == nil || !l.hopeless(now, it) {
			return cmds
		}
		cmds = m.notRun(now, it, attempt.NotSent, cmds)
	}
}

func (m *Model) returnQueue(now clock.Millis, l *lane, status attempt.Status, cmds []Cmd) []Cmd {
	for _, r := range rank.All() {
		order := &l.queue.ranks.Ref(r).order
		for order.Len() > 0 {
			cmds = m.notRun(now, order.top(), status, cmds)
		}
	}
	return cmds
}

// notRun returns a queued attempt as not run.
func (m *Model) notRun(now clock.Millis, it *item, status attempt.Status, cmds []Cmd) []Cmd {
	l := it.lane
	l.queue.remove(it)
	reply := attempt.Reply{ID: it.req.ID, Upstream: l.id, Status: status, Execution: attempt.NotExecuted}
	switch {
	case l.closed(now):
		reply.RetryAfter = l.closedTill - now
	case status == attempt.Shed:
		reply.RetryAfter = l.drainMs(now)
	}
	cmds = m.giveBack(now, it, reply, cmds)
	m.release(it)
	return cmds
}

func (m *Model) giveBack(now clock.Millis, it *item, r attempt.Reply, cmds []Cmd) []Cmd {
	it.returned = true
	r.QueueMs = now - it.enqueued
	if it.running {
		r.QueueMs = it.dispatched - it.enqueued
		r.ServiceMs = now - it.dispatched
	}
	return append(cmds, ReturnCmd{To: it.from, Reply: r})
}

func (m *Model) newItem() *item {
	if n := len(m.free); n > 0 {
		it := m.free[n-1]
		m.free = m.free[:n-1]
		return it
	}
	return &item{}
}

func (m *Model) release(it *item) {
	delete(m.attempts, it.req.ID)
	*it = item{}
	m.free = append(m.free, it)
}
