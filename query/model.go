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
	attempts    attemptTable
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
	service         *service
	startedAt       clock.Millis
	answerAt        clock.Millis // the deadline less a margin
	merge           *coverage.Merge
	version         uint64       // 0 while the held versions are being learned
	discoveryEnd    clock.Millis // end of the time for learning them
	subrequests     []subrequest
	unsettled       int   // parts that are not settled
	pass            int32 // rises with each restart
	epochRetries    int
	attempts        int
	maxQueueMs      clock.Millis
	totalQueueMs    clock.Millis
	replies         int
	totalServiceMs  clock.Millis
	okReplies       int
	overloaded      bool // a carrier or an upstream dropped an attempt under load
	executed        bool
	maybeExecuted   bool
	budgetEventSent bool // the event about an exhausted budget was sent
	done            bool
}

// subrequest is the state of one group of a query.
type subrequest struct {
	openSeqs   [maxOpenAttempts]uint64 // open attempts
	openCount  int8
	attempts   int8
	retries    int8
	hedges     int8
	triedCount int8
	// tokenWaits is the number of waits for a token, which lengthens the next one.
	tokenWaits    int8
	notExecuted   bool           // the last failure proved not run
	lastStatus    attempt.Status // of the last attempt that ended
	settled       bool
	answered      bool
	tried         [maxAttempts]upstream.ID
	earliestRetry clock.Millis // a retry at a tried upstream waits until this time
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
		m.callerDisconnected(now, msg.ID)
	case OverloadMsg:
		if svc := m.services[msg.Service]; svc != nil {
			svc.overloaded = msg.Overloaded
		}
	}
	m.runTimers(now)
	return m.cmds
}

func (m *Model) emit(c Cmd) { m.cmds = append(m.cmds, c) }

func (m *Model) emitEvent(q *openQuery, kind timeline.Kind, up upstream.ID, detail string) {
	m.emit(EventCmd{timeline.Event{
		Kind: kind, Request: q.ID, Upstream: string(up), Revision: q.Revision, Rank: q.Rank.String(), Detail: detail,
	}})
}

func (m *Model) attemptID(seq uint64) attempt.ID {
	return attempt.ID{VM: m.vm, Incarnation: m.incarnation, Seq: seq}
}

// runTimers runs the timers that are due and drops pointless ones at the top.
func (m *Model) runTimers(now clock.Millis) {
	for len(m.timers.heap) > 0 {
		top := &m.timers.heap[0]
		if top.at > now && !m.obsolete(top) {
			return
		}
		t := m.timers.pop()
		if !m.obsolete(&t) {
			m.fire(now, t)
		}
	}
}

func (m *Model) obsolete(t *timer) bool {
	if t.q.done || (t.pass != t.q.pass && t.kind != timerDeadline) {
		return true
	}
	return t.kind == timerHedge && m.attempts.get(t.seq) == nil
}

func (m *Model) fire(now clock.Millis, t timer) {
	switch t.kind {
	case timerDeadline:
		m.finish(now, t.q, "deadline")
	case timerDiscovery:
		m.endDiscovery(now, t.q)
	case timerHedge:
		m.hedge(now, t.q, int(t.group), t.seq)
	case timerRetry:
		m.sendRetry(now, t.q, int(t.group))
	case timerEpochRetry:
		m.retryOutdatedGroups(now, t.q)
	}
}

func (m *Model) setTimer(at clock.Millis, kind timerKind, q *openQuery, group int, seq uint64) {
	m.timers.push(timer{at: at, kind: kind, pass: q.pass, group: int32(group), seq: seq, q: q})
}
