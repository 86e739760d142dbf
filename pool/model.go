package pool

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// Model decides which attempt uses which connection. It is a pure state machine.
type Model struct {
	cfg      config
	seq      uint64
	lanes    map[string]*lane
	ordered  []*lane // fixed order, so that runs repeat
	attempts map[attempt.ID]*item
	free     []*item
	stray    int
}

// New returns a model.
func New(opts ...Option) *Model {
	m := &Model{cfg: newConfig(opts), lanes: make(map[string]*lane), attempts: make(map[attempt.ID]*item)}
	for _, l := range m.cfg.limits {
		m.lane(l.Upstream).setLimit(l.Connections)
	}
	return m
}

// Update applies msg at now and returns the commands that follow from it.
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
		l := m.lane(v.Upstream)
		l.setLimit(v.Connections)
		return m.pump(now, l, nil)
	case LeavingMsg:
		l := m.lane(v.Upstream)
		l.leaving = true
		return m.pump(now, l, nil)
	case AvailableMsg:
		l := m.lane(v.Upstream)
		l.leaving = false
		return m.pump(now, l, nil)
	case PolicyMsg:
		m.setShares(v)
	case TickMsg:
		var cmds []Cmd
		for _, l := range m.ordered {
			cmds = m.pump(now, l, cmds)
		}
		return cmds
	}
	return nil
}

func (m *Model) lane(id string) *lane {
	l := m.lanes[id]
	if l == nil {
		l = newLane(id)
		m.lanes[id] = l
		m.ordered = append(m.ordered, l)
	}
	return l
}

func (m *Model) setShares(msg PolicyMsg) {
	for _, r := range rank.All() {
		m.cfg.shares.Set(r, msg.Preset.Policy(r).FloorPercent/100)
	}
}

func (m *Model) enqueue(now clock.Millis, msg EnqueueMsg) []Cmd {
	if m.attempts[msg.ID] != nil {
		m.stray++
		return nil
	}
	l := m.lanes[msg.Upstream]
	if l == nil {
		reply := attempt.Reply{ID: msg.ID, Upstream: msg.Upstream, Status: attempt.NotSent, Execution: attempt.NotExecuted}
		return []Cmd{ReturnCmd{To: msg.From, Reply: reply}}
	}
	it := m.newItem()
	m.seq++
	*it = item{req: msg.Request, from: msg.From, lane: l, seq: m.seq, enqueued: now, turn: turnOf(now, msg.Request)}
	m.attempts[msg.ID] = it
	l.queue.add(it)
	var cmds []Cmd
	if q := l.queue.ranks.Ref(msg.Rank); q.len() > m.cfg.queue.At(msg.Rank) && !l.room(now) {
		cmds = m.notRun(now, q.worst.top(), attempt.Shed, cmds)
	}
	return m.pump(now, l, cmds)
}

func (m *Model) reply(now clock.Millis, r attempt.Reply) []Cmd {
	it := m.attempts[r.ID]
	if it == nil || !it.running {
		m.stray++
		return nil
	}
	l := it.lane
	l.running.remove(it)
	l.conns.release(now, reusable(r.Status))
	m.learn(now, it, r)
	var cmds []Cmd
	if !it.returned {
		cmds = m.giveBack(now, it, r, cmds)
	}
	m.release(it)
	return m.pump(now, l, cmds)
}

// learn updates what is known of the upstream from the reply to it.
func (m *Model) learn(now clock.Millis, it *item, r attempt.Reply) {
	l := it.lane
	if r.Leaving || r.Status == attempt.Leaving {
		l.leaving = true
	}
	if r.Status == attempt.ConnRefused {
		l.refused(now)
		return
	}
	if reusable(r.Status) {
		l.failures, l.backoffs = 0, 0
	}
	if r.Status == attempt.OK {
		l.service.Add(now, now-it.dispatched)
	}
}

// reusable reports whether a connection can carry another request after a
// reply. After any doubt about the stream it is closed.
func reusable(s attempt.Status) bool {
	switch s {
	case attempt.OK, attempt.VersionGone, attempt.Shed, attempt.Leaving:
		return true
	default:
		return false
	}
}

func (m *Model) cancel(now clock.Millis, msg CancelMsg) []Cmd {
	it := m.attempts[msg.ID]
	switch {
	case it == nil:
		return nil
	case !it.running:
		l := it.lane
		cmds := m.notRun(now, it, attempt.Cancelled, nil)
		return m.pump(now, l, cmds)
	case it.aborted:
		return nil
	}
	cmds := m.abort(now, it, nil)
	return m.pump(now, it.lane, cmds)
}

// abort asks the runtime to give up a running attempt. Its slot stays busy.
func (m *Model) abort(now clock.Millis, it *item, cmds []Cmd) []Cmd {
	it.aborted = true
	it.abortedAt = now
	bound := now + m.cfg.boundMs
	if it.returned || bound < it.ends {
		it.ends = bound
		it.lane.running.fix(it)
	}
	return append(cmds, AbortCmd{ID: it.req.ID, Upstream: it.lane.id})
}

func (m *Model) abortConfirmed(now clock.Millis, msg AbortedMsg) []Cmd {
	it := m.attempts[msg.ID]
	if it == nil || !it.running {
		m.stray++
		return nil
	}
	l := it.lane
	cmds := m.closeRunning(now, it, attempt.Cancelled, nil)
	return m.pump(now, l, cmds)
}

// closeRunning frees the slot of an attempt whose connection is closed.
func (m *Model) closeRunning(now clock.Millis, it *item, status attempt.Status, cmds []Cmd) []Cmd {
	it.lane.running.remove(it)
	it.lane.conns.release(now, false)
	if !it.returned {
		cmds = m.giveBack(now, it, attempt.Reply{ID: it.req.ID, Upstream: it.lane.id, Status: status}, cmds)
	}
	m.release(it)
	return cmds
}
