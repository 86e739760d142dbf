package pool

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// schedule handles what is due at one upstream: it expires attempts, dispatches
// queued ones up to the limit and closes idle connections.
func (m *Model) schedule(now clock.Millis, u *upstreamState, cmds []Cmd) []Cmd {
	u.raiseLimit(now)
	cmds = m.expireRunning(now, u, cmds)
	cmds = m.expireQueued(now, u, cmds)
	if status, rejected := u.rejectStatus(now); rejected {
		cmds = m.returnQueue(now, u, status, cmds)
	}
	for u.queue.size > 0 && u.hasCapacity(now) {
		a := u.queue.takeNext(now, &m.cfg.shares)
		cmds = append(cmds, m.dispatch(now, a))
	}
	if u.conns.closeExcess(now, m.cfg.idleTimeoutMs, u.maxOpen()) {
		cmds = append(cmds, CloseIdleCmd{Upstream: u.id, Keep: len(u.conns.idle)})
	}
	u.nextDueAt = u.nextDue(now, m.cfg.idleTimeoutMs)
	return cmds
}

func (m *Model) dispatch(now clock.Millis, a *pendingAttempt) Cmd {
	u := a.upstream
	a.running = true
	a.dispatchedAt = now
	a.expiresAt = a.req.Deadline + m.cfg.replyGraceMs
	u.running.add(a)
	return DispatchCmd{Request: a.req, NewConn: u.conns.acquire()}
}

// expireRunning returns and aborts attempts whose reply is overdue, and releases
// the connections of those whose abort was not confirmed in time.
func (m *Model) expireRunning(now clock.Millis, u *upstreamState, cmds []Cmd) []Cmd {
	for u.running.Len() > 0 && u.running.top().expiresAt <= now {
		a := u.running.top()
		if a.aborted && now >= a.abortedAt+m.cfg.abortTimeoutMs {
			cmds = m.closeRunning(now, a, attempt.Cancelled, cmds)
			continue
		}
		cmds = m.returnResult(now, a, attempt.Reply{ID: a.req.ID, Upstream: u.id, Status: attempt.TimedOut}, cmds)
		if !a.aborted {
			cmds = m.abort(now, a, cmds)
			continue
		}
		a.expiresAt = a.abortedAt + m.cfg.abortTimeoutMs
		u.running.fix(a)
	}
	return cmds
}

func (m *Model) expireQueued(now clock.Millis, u *upstreamState, cmds []Cmd) []Cmd {
	for {
		a := u.queue.earliestDeadline()
		if a == nil || !u.cannotMeetDeadline(now, a) {
			return cmds
		}
		cmds = m.returnNotExecuted(now, a, attempt.NotSent, cmds)
	}
}

func (m *Model) returnQueue(now clock.Millis, u *upstreamState, status attempt.Status, cmds []Cmd) []Cmd {
	for _, r := range rank.All() {
		order := &u.queue.ranks.Ref(r).order
		for order.Len() > 0 {
			cmds = m.returnNotExecuted(now, order.top(), status, cmds)
		}
	}
	return cmds
}

// returnNotExecuted removes an attempt from its queue and returns it as not executed.
func (m *Model) returnNotExecuted(now clock.Millis, a *pendingAttempt, status attempt.Status, cmds []Cmd) []Cmd {
	u := a.upstream
	u.queue.remove(a)
	reply := attempt.Reply{ID: a.req.ID, Upstream: u.id, Status: status, Execution: attempt.NotExecuted}
	switch {
	case u.inBackoff(now):
		reply.RetryAfter = u.backoffUntil - now
	case status == attempt.Shed:
		reply.RetryAfter = u.drainMs(now)
	}
	cmds = m.returnResult(now, a, reply, cmds)
	m.recycle(a)
	return cmds
}

func (m *Model) returnResult(now clock.Millis, a *pendingAttempt, r attempt.Reply, cmds []Cmd) []Cmd {
	a.resultSent = true
	r.QueueMs = now - a.enqueuedAt
	if a.running {
		r.QueueMs = a.dispatchedAt - a.enqueuedAt
		r.ServiceMs = now - a.dispatchedAt
	}
	return append(cmds, ReturnCmd{To: a.from, Reply: r})
}

func (m *Model) newAttempt() *pendingAttempt {
	if n := len(m.free); n > 0 {
		a := m.free[n-1]
		m.free = m.free[:n-1]
		return a
	}
	return &pendingAttempt{}
}

func (m *Model) recycle(a *pendingAttempt) {
	delete(m.attempts, a.req.ID)
	*a = pendingAttempt{}
	m.free = append(m.free, a)
}
