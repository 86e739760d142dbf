package admission

import (
	"strconv"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/timeline"
)

// Controller admits, queues or refuses queries. It is a pure state machine.
type Controller struct {
	cfg      config
	policy   preset.Preset
	draining bool
	now      clock.Millis // of the last Update
	services map[string]*service
	ordered  []*service // fixed order, so that runs repeat
	queries  map[string]*query
	free     []*query
	refused  [reasonCount]int
}

// New returns a gate.
func New(opts ...Option) *Controller {
	cfg := newConfig(opts)
	g := &Controller{cfg: cfg, policy: cfg.policy, services: make(map[string]*service), queries: make(map[string]*query)}
	for _, sc := range cfg.services {
		s := newService(sc, cfg)
		g.services[sc.name] = s
		g.ordered = append(g.ordered, s)
	}
	return g
}

// Update applies msg at now and returns the commands that follow from it.
func (g *Controller) Update(now clock.Millis, msg Msg) []Cmd {
	g.now = now
	var cmds []Cmd
	switch m := msg.(type) {
	case ArrivalMsg:
		cmds = g.arrive(now, m)
	case DoneMsg:
		cmds = g.done(now, m)
	case CancelMsg:
		g.gone(now, m)
	case PresetMsg:
		g.setPolicy(now, m.Preset)
	case DrainMsg:
		g.draining = true
	case TickMsg:
	}
	for _, s := range g.ordered {
		cmds = g.pump(now, s, cmds)
	}
	return cmds
}

func (g *Controller) arrive(now clock.Millis, m ArrivalMsg) []Cmd {
	s := g.services[m.Service]
	switch {
	case s == nil:
		return g.refuse(now, nil, m.ID, m.Rank, ReasonUnknownService, nil)
	case g.draining:
		return g.refuse(now, s, m.ID, m.Rank, ReasonDraining, nil)
	case g.queries[m.ID] != nil:
		return g.refuse(now, s, m.ID, m.Rank, ReasonDuplicateID, nil)
	}
	policy := g.policy.Policy(m.Rank)
	q := g.newQuery()
	*q = query{id: m.ID, rank: m.Rank, service: s, cost: max(m.Cost, 1), deadline: m.Deadline, arrived: now}
	if !s.canFinish(now, q, policy) {
		g.free = append(g.free, q)
		return g.refuse(now, s, m.ID, m.Rank, ReasonTooLate, nil)
	}
	s.integrate(now, g.policy)
	if s.next(g.policy) < 0 && s.fits(q) {
		g.queries[q.id] = q
		return []Cmd{g.start(now, s, q)}
	}
	return g.enqueue(now, s, q, policy)
}

func (g *Controller) enqueue(now clock.Millis, s *service, q *query, policy preset.RankPolicy) []Cmd {
	var cmds []Cmd
	queue := s.queues.Ref(q.rank)
	if queue.len() >= max(policy.QueueRequests, 1) {
		oldest := queue.oldest
		// Patient work keeps its place, because its deadline is long. In the other
		// ranks the oldest query is the one least likely to finish.
		if q.rank == rank.Patient || q.cost > oldest.cost {
			g.free = append(g.free, q)
			return g.refuse(now, s, q.id, q.rank, ReasonQueueFull, cmds)
		}
		cmds = g.drop(now, oldest, ReasonDisplaced, cmds)
	}
	q.due = effectiveDeadline(q, policy)
	queue.add(q)
	g.queries[q.id] = q
	return append(cmds, EventCmd{Event: timeline.Event{Kind: timeline.Queued, Request: q.id, Rank: q.rank.String()}})
}

// drop refuses a queued query.
func (g *Controller) drop(now clock.Millis, q *query, reason Reason, cmds []Cmd) []Cmd {
	s, id, r := q.service, q.id, q.rank
	s.queues.Ref(r).remove(q)
	g.release(q)
	return g.refuse(now, s, id, r, reason, cmds)
}

func (g *Controller) refuse(now clock.Millis, s *service, id string, r rank.Rank, reason Reason, cmds []Cmd) []Cmd {
	retry := defaultRetryMs
	if s != nil {
		retry = s.retryAfter(now, r)
		s.refused.Ref(r)[reason]++
	}
	g.refused[reason]++
	event := timeline.Event{Kind: timeline.Refused, Request: id, Rank: r.String(), Detail: reason.String()}
	// The event comes first: after the refusal the core has forgotten the caller's id.
	return append(cmds, EventCmd{Event: event}, RefuseCmd{ID: id, Reason: reason, RetryAfterMs: retry})
}

func (g *Controller) start(now clock.Millis, s *service, q *query) Cmd {
	q.running = true
	q.started = now
	s.start(q, g.policy)
	return AdmitCmd{ID: q.id, Deadline: effectiveDeadline(q, g.policy.Policy(q.rank)), WaitedMs: now - q.arrived}
}

func (g *Controller) done(now clock.Millis, m DoneMsg) []Cmd {
	q := g.queries[m.ID]
	if q == nil || !q.running {
		return nil
	}
	s := q.service
	s.integrate(now, g.policy)
	s.finish(now, q, m.ElapsedMs)
	changed := s.limit.observe(now, q, m)
	g.release(q)
	if !changed {
		return nil
	}
	detail := s.name + " " + strconv.Itoa(s.limit.value())
	return []Cmd{EventCmd{Event: timeline.Event{Kind: timeline.LimitChanged, Detail: detail}}}
}

func (g *Controller) gone(now clock.Millis, m CancelMsg) {
	q := g.queries[m.ID]
	if q == nil || q.running {
		return
	}
	q.service.integrate(now, g.policy)
	q.service.queues.Ref(q.rank).remove(q)
	g.release(q)
}

func (g *Controller) setPolicy(now clock.Millis, p preset.Preset) {
	for _, s := range g.ordered {
		s.integrate(now, g.policy)
	}
	g.policy = p
}

// pump refuses queued queries that can no longer finish, then starts as many as fit.
func (g *Controller) pump(now clock.Millis, s *service, cmds []Cmd) []Cmd {
	for {
		cmds = g.dropLate(now, s, cmds)
		s.integrate(now, g.policy)
		r := s.next(g.policy)
		if r < 0 {
			return cmds
		}
		queue := s.queues.Ref(rank.Rank(r))
		q := queue.peek(now, s.reserve(now, queue.oldest, queue.oldest.due))
		if !s.fits(q) {
			s.limit.markFull()
			return cmds
		}
		// The preset may have changed while the query was queued.
		due := effectiveDeadline(q, g.policy.Policy(q.rank))
		if now+max(s.reserve(now, q, due), 1) > due {
			cmds = g.drop(now, q, ReasonTooLate, cmds)
			continue
		}
		queue.remove(q)
		cmds = append(cmds, g.start(now, s, q))
	}
}

// dropLate refuses queued queries that can no longer finish. A start can bring
// a late one to the front, because the reserve depends on the query.
func (g *Controller) dropLate(now clock.Millis, s *service, cmds []Cmd) []Cmd {
	for _, r := range rank.All() {
		queue := s.queues.Ref(r)
		for queue.len() > 0 && s.late(now, queue.earliest()) {
			cmds = g.drop(now, queue.earliest(), ReasonTooLate, cmds)
		}
	}
	return cmds
}

func (g *Controller) newQuery() *query {
	if n := len(g.free); n > 0 {
		q := g.free[n-1]
		g.free = g.free[:n-1]
		return q
	}
	return &query{}
}

func (g *Controller) release(q *query) {
	delete(g.queries, q.id)
	*q = query{}
	g.free = append(g.free, q)
}
