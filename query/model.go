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
	balancer    *upstream.Balancer
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

// openQuery is the state of a query that has not been answered.
type openQuery struct {
	StartMsg
	service         *service
	startedAt       clock.Millis
	answerAt        clock.Millis // when to answer: a margin before the deadline
	merge           *coverage.Merge
	version         uint64       // 0 while it is unknown which versions the upstreams hold
	discoveryEnd    clock.Millis // time limit of the discovery of these versions
	subrequests     []subrequest
	unsettled       int   // subrequests that are not settled
	pass            int32 // number of restarts; each one is a new fan-out
	epochRetries    int
	attempts        int
	maxQueueMs      clock.Millis
	totalQueueMs    clock.Millis
	replies         int
	totalServiceMs  clock.Millis
	okReplies       int
	overloaded      bool // an upstream shed an attempt or a carrier dropped one
	executed        bool // some attempt was executed
	maybeExecuted   bool // some attempt may have been executed
	budgetEventSent bool // the event for an exhausted budget was emitted
	done            bool
}

// subrequest is a query's share of one group in the current pass.
type subrequest struct {
	openSeqs   [maxOpenAttempts]uint64 // sequence numbers of the open attempts
	openCount  int8
	attempts   int8
	retries    int8
	hedges     int8
	triedCount int8
	// tokenWaits counts the doublings of the next wait for a budget token.
	tokenWaits    int8
	notExecuted   bool           // the last failed attempt is proven not executed
	lastStatus    attempt.Status // status of the last attempt that ended
	settled       bool           // answered or failed in this pass
	answered      bool           // an upstream of the group replied OK
	tried         [maxAttempts]upstream.ID
	earliestRetry clock.Millis // earliest time of a retry to an upstream that was tried before
}

// New returns a Model that selects upstreams with balancer and reports the results of attempts to it.
func New(balancer *upstream.Balancer, opts ...Option) *Model {
	m := &Model{
		balancer: balancer,
		services: make(map[string]*service),
		byID:     make(map[string]*openQuery),
		budgets:  newBudgets(defaultHedgeBurst, defaultRetryBurst),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Update handles a message and returns the resulting commands. The slice is valid
// until the next call. Only a TickMsg runs the timers that are due: a late event loop
// handles the messages that wait in its queue first, so that no answer leaves out a
// reply that has already arrived.
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
	case TickMsg:
		m.runTimers(now)
	}
	m.dropObsoleteTimers()
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

// runTimers runs the timers that are due.
func (m *Model) runTimers(now clock.Millis) {
	for len(m.timers.heap) > 0 && m.timers.heap[0].at <= now {
		if t := m.timers.pop(); !m.obsolete(&t) {
			m.fire(now, t)
		}
	}
}

// dropObsoleteTimers removes obsolete timers from the top of the heap, so that
// NextWake returns the time of one that has something to do.
func (m *Model) dropObsoleteTimers() {
	for len(m.timers.heap) > 0 && m.obsolete(&m.timers.heap[0]) {
		m.timers.pop()
	}
}

// obsolete reports whether a timer belongs to an answered query, to an earlier
// pass (except the deadline) or to an attempt that is no longer open.
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
