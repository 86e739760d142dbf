package query

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

// Model runs the open queries of one VM.
type Model struct {
	book        *upstream.Book
	vm          string
	incarnation uint64
	services    map[string]*service
	byID        map[string]*openQuery
	slots       slots
	timers      timers
	budgets     rank.Table[budget]
	totals      rank.Table[Totals]
	dropped     [DropReasonCount]int
	cmds        []Cmd
}

type service struct {
	name       string
	keys       uint32
	groups     []string
	overloaded bool
}

func newService(svc upstream.Service) *service {
	s := &service{name: svc.Name, keys: svc.Keys}
	for _, g := range svc.Groups {
		s.groups = append(s.groups, g.Name)
	}
	return s
}

// openQuery is one query that has not been answered.
type openQuery struct {
	StartMsg
	service    *service
	startAt    clock.Millis
	answerAt   clock.Millis // the deadline less a margin
	merge      *coverage.Merge
	version    uint64       // 0 while the held versions are being learned
	learnBy    clock.Millis // end of the time for learning them
	parts      []part
	waiting    int   // parts that are not settled
	pass       int32 // rises with each restart
	reasks     int
	attempts   int
	maxQueue   clock.Millis
	sumQueue   clock.Millis
	replies    int
	sumServe   clock.Millis
	served     int
	overloaded bool // a carrier or an upstream dropped an attempt under load
	ranYes     bool
	ranMaybe   bool
	noTokens   bool // the event about an exhausted budget was sent
	done       bool
}

// part is the state of one group of a query.
type part struct {
	open    [maxOpen]uint64 // open attempts
	nOpen   int8
	tries   int8
	retries int8
	hedges  int8
	nTried  int8
	// tokenWaits is the number of waits for a token, which lengthens the next one.
	tokenWaits int8
	refused    bool           // the last failure proved not run
	lastStatus attempt.Status // of the last attempt that ended
	settled    bool
	answered   bool
	tried      [maxTries]upstream.ID
	retryAt    clock.Millis // a retry at a tried upstream waits until this time
}

// New returns a Model that chooses upstreams from book and keeps it up to date.
func New(book *upstream.Book, opts ...Option) *Model {
	m := &Model{
		book:     book,
		services: make(map[string]*service),
		byID:     make(map[string]*openQuery),
		budgets:  newBudgets(defaultHedgeBurst, defaultRetryBurst),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Update handles a message and returns the commands that follow. The slice is
// valid until the next call.
func (m *Model) Update(now clock.Millis, msg Msg) []Cmd {
	clear(m.cmds)
	m.cmds = m.cmds[:0]
	switch msg := msg.(type) {
	case StartMsg:
		m.start(now, msg)
	case ReplyMsg:
		m.reply(now, msg.Reply)
	case CallerDisconnectedMsg:
		m.callerGone(now, msg.ID)
	case OverloadMsg:
		if svc := m.services[msg.Service]; svc != nil {
			svc.overloaded = msg.Overloaded
		}
	}
	m.runTimers(now)
	return m.cmds
}

func (m *Model) emit(c Cmd) { m.cmds = append(m.cmds, c) }

func (m *Model) event(q *openQuery, kind timeline.Kind, up upstream.ID, detail string) {
	m.emit(EventCmd{timeline.Event{
		Kind: kind, Request: q.ID, Upstream: string(up), Revision: q.Revision, Rank: q.Rank.String(), Detail: detail,
	}})
}

func (m *Model) id(seq uint64) attempt.ID {
	return attempt.ID{VM: m.vm, Incarnation: m.incarnation, Seq: seq}
}

// runTimers runs the timers that are due and drops pointless ones at the top.
func (m *Model) runTimers(now clock.Millis) {
	for len(m.timers.heap) > 0 {
		top := &m.timers.heap[0]
		if top.at > now && !m.pointless(top) {
			return
		}
		t := m.timers.pop()
		if !m.pointless(&t) {
			m.fire(now, t)
		}
	}
}

func (m *Model) pointless(t *timer) bool {
	if t.q.done || (t.pass != t.q.pass && t.kind != timerDeadline) {
		return true
	}
	return t.kind == timerHedge && m.slots.get(t.seq) == nil
}

func (m *Model) fire(now clock.Millis, t timer) {
	switch t.kind {
	case timerDeadline:
		m.finish(now, t.q, "deadline")
	case timerLearn:
		m.learned(now, t.q)
	case timerHedge:
		m.hedge(now, t.q, int(t.group), t.seq)
	case timerRetry:
		m.sendRetry(now, t.q, int(t.group))
	case timerReask:
		m.reask(now, t.q)
	}
}

func (m *Model) wake(at clock.Millis, kind timerKind, q *openQuery, group int, seq uint64) {
	m.timers.push(timer{at: at, kind: kind, pass: q.pass, group: int32(group), seq: seq, q: q})
}
