package pool

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// Model queues attempts and dispatches them to connections. It is a pure state
// machine without I/O.
type Model struct {
	cfg       config
	seq       uint64
	upstreams map[string]*upstreamState
	ordered   []*upstreamState // in order of creation, so that runs are deterministic
	attempts  map[attempt.ID]*pendingAttempt
	free      []*pendingAttempt // for reuse
	unmatched int
}

// New returns a Model with the upstreams and limits of the options.
func New(opts ...Option) *Model {
	m := &Model{cfg: newConfig(opts), upstreams: make(map[string]*upstreamState), attempts: make(map[attempt.ID]*pendingAttempt)}
	for _, limit := range m.cfg.limits {
		m.upstreamFor(limit.Upstream).setLimit(limit.Connections)
	}
	return m
}

// Update handles a message and returns the resulting commands.
func (m *Model) Update(now clock.Millis, msg Msg) []Cmd {
	switch v := msg.(type) {
	case EnqueueMsg:
		return m.enqueue(now, v)
	case ReplyMsg:
		return m.reply(now, v.Reply)
	case AbortedMsg:
		return m.abortConfirmed(now, v)
	case CancelMsg:
		return m.cancel(now, v)
	case LimitMsg:
		u := m.upstreamFor(v.Upstream)
		u.setLimit(v.Connections)
		return m.schedule(now, u, nil)
	case LeavingMsg:
		u := m.upstreamFor(v.Upstream)
		u.leaving = true
		return m.schedule(now, u, nil)
	case AvailableMsg:
		u := m.upstreamFor(v.Upstream)
		u.leaving = false
		return m.schedule(now, u, nil)
	case PresetMsg:
		m.setShares(v)
	case TickMsg:
		var cmds []Cmd
		for _, u := range m.ordered {
			cmds = m.schedule(now, u, cmds)
		}
		return cmds
	}
	return nil
}

func (m *Model) upstreamFor(id string) *upstreamState {
	u := m.upstreams[id]
	if u == nil {
		u = newUpstreamState(id)
		m.upstreams[id] = u
		m.ordered = append(m.ordered, u)
	}
	return u
}

func (m *Model) setShares(msg PresetMsg) {
	for _, r := range rank.All() {
		m.cfg.shares.Set(r, msg.Preset.Policy(r).FloorPercent/100)
	}
}

func (m *Model) enqueue(now clock.Millis, msg EnqueueMsg) []Cmd {
	if m.attempts[msg.ID] != nil {
		m.unmatched++
		return nil
	}
	u := m.upstreams[msg.Upstream]
	if u == nil {
		reply := attempt.Reply{ID: msg.ID, Upstream: msg.Upstream, Status: attempt.NotSent, Execution: attempt.NotExecuted}
		return []Cmd{ReturnCmd{To: msg.From, Reply: reply}}
	}
	a := m.newAttempt()
	m.seq++
	*a = pendingAttempt{req: msg.Request, from: msg.From, upstream: u, seq: m.seq, enqueuedAt: now, yieldUntil: yieldEnd(now, msg.Request)}
	m.attempts[msg.ID] = a
	u.queue.add(a)
	var cmds []Cmd
	if q := u.queue.ranks.Ref(msg.Rank); q.len() > m.cfg.queueLimits.At(msg.Rank) && !u.hasCapacity(now) {
		cmds = m.returnNotExecuted(now, q.reverse.top(), attempt.Shed, cmds)
	}
	return m.schedule(now, u, cmds)
}

func (m *Model) reply(now clock.Millis, r attempt.Reply) []Cmd {
	a := m.attempts[r.ID]
	if a == nil || !a.running {
		m.unmatched++
		return nil
	}
	u := a.upstream
	u.running.remove(a)
	u.conns.release(now, reusable(r.Status))
	m.updateState(now, a, r)
	var cmds []Cmd
	if !a.resultSent {
		cmds = m.returnResult(now, a, r, cmds)
	}
	m.recycle(a)
	return m.schedule(now, u, cmds)
}

// updateState updates the state of the upstream from a reply: whether it is
// leaving, its effective limit, its backoff and its service times.
func (m *Model) updateState(now clock.Millis, a *pendingAttempt, r attempt.Reply) {
	u := a.upstream
	if r.Leaving || r.Status == attempt.Leaving {
		u.leaving = true
	}
	if r.Status == attempt.ConnRefused {
		u.connRefused(now)
		return
	}
	if reusable(r.Status) {
		u.refusals, u.backoffs = 0, 0
	}
	if r.Status == attempt.OK {
		u.serviceTimes.Add(now, now-a.dispatchedAt)
	}
}

// reusable reports whether a connection can be reused after a reply. It is closed
// if the state of the stream is uncertain.
func reusable(s attempt.Status) bool {
	switch s {
	case attempt.OK, attempt.VersionGone, attempt.Shed, attempt.Leaving:
		return true
	default:
		return false
	}
}

func (m *Model) cancel(now clock.Millis, msg CancelMsg) []Cmd {
	a := m.attempts[msg.ID]
	switch {
	case a == nil:
		return nil
	case !a.running:
		u := a.upstream
		cmds := m.returnNotExecuted(now, a, attempt.Cancelled, nil)
		return m.schedule(now, u, cmds)
	case a.aborted:
		return nil
	}
	cmds := m.abort(now, a, nil)
	return m.schedule(now, a.upstream, cmds)
}

// abort requests the cancellation of a running attempt. Its connection counts as
// busy until the abort is confirmed or times out.
func (m *Model) abort(now clock.Millis, a *pendingAttempt, cmds []Cmd) []Cmd {
	a.aborted = true
	a.abortedAt = now
	timeoutAt := now + m.cfg.abortTimeoutMs
	if a.resultSent || timeoutAt < a.expiresAt {
		a.expiresAt = timeoutAt
		a.upstream.running.fix(a)
	}
	return append(cmds, AbortCmd{ID: a.req.ID, Upstream: a.upstream.id})
}

func (m *Model) abortConfirmed(now clock.Millis, msg AbortedMsg) []Cmd {
	a := m.attempts[msg.ID]
	if a == nil || !a.running {
		m.unmatched++
		return nil
	}
	u := a.upstream
	cmds := m.closeRunning(now, a, attempt.Cancelled, nil)
	return m.schedule(now, u, cmds)
}

// closeRunning releases the connection of a running attempt as closed and returns
// the attempt if its result was not sent yet.
func (m *Model) closeRunning(now clock.Millis, a *pendingAttempt, status attempt.Status, cmds []Cmd) []Cmd {
	a.upstream.running.remove(a)
	a.upstream.conns.release(now, false)
	if !a.resultSent {
		cmds = m.returnResult(now, a, attempt.Reply{ID: a.req.ID, Upstream: a.upstream.id, Status: status}, cmds)
	}
	m.recycle(a)
	return cmds
}
