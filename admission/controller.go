package admission

import (
	"strconv"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/timeline"
)

// Controller admits, queues or refuses queries. It is a pure state machine and not
// safe for concurrent use.
type Controller struct {
	cfg         config
	preset      preset.Preset
	draining    bool
	now         clock.Millis // time of the last Update
	services    map[string]*service
	serviceList []*service // in configured order, so that runs are reproducible
	queries     map[string]*query
	freeQueries []*query
	refused     [reasonCount]int
}

// New returns a Controller without queries.
func New(opts ...Option) *Controller {
	cfg := newConfig(opts)
	c := &Controller{cfg: cfg, preset: cfg.preset, services: make(map[string]*service), queries: make(map[string]*query)}
	for _, sc := range cfg.services {
		s := newService(sc, cfg)
		c.services[sc.name] = s
		c.serviceList = append(c.serviceList, s)
	}
	return c
}

// Update applies msg at the time now and returns the resulting commands.
func (c *Controller) Update(now clock.Millis, msg Msg) []Cmd {
	c.now = now
	var cmds []Cmd
	switch m := msg.(type) {
	case ArrivalMsg:
		cmds = c.arrive(now, m)
	case DoneMsg:
		cmds = c.done(now, m)
	case CancelMsg:
		c.cancel(now, m)
	case PresetMsg:
		c.setPreset(now, m.Preset)
	case DrainMsg:
		c.draining = true
	case TickMsg:
	}
	for _, s := range c.serviceList {
		cmds = c.dispatch(now, s, cmds)
	}
	return cmds
}

func (c *Controller) arrive(now clock.Millis, m ArrivalMsg) []Cmd {
	s := c.services[m.Service]
	switch {
	case s == nil:
		return c.refuse(now, nil, m.ID, m.Rank, ReasonUnknownService, nil)
	case c.draining:
		return c.refuse(now, s, m.ID, m.Rank, ReasonDraining, nil)
	case c.queries[m.ID] != nil:
		return c.refuse(now, s, m.ID, m.Rank, ReasonDuplicateID, nil)
	}
	policy := c.preset.Policy(m.Rank)
	q := c.newQuery()
	*q = query{id: m.ID, rank: m.Rank, service: s, cost: max(m.Cost, 1), deadline: m.Deadline, arrivedAt: now}
	if !s.canFinish(now, q, policy) {
		c.freeQueries = append(c.freeQueries, q)
		return c.refuse(now, s, m.ID, m.Rank, ReasonTooLate, nil)
	}
	s.updateBalances(now, c.preset)
	if s.nextRank(c.preset) < 0 && s.fits(q) {
		c.queries[q.id] = q
		return []Cmd{c.start(now, s, q)}
	}
	return c.enqueue(now, s, q, policy)
}

func (c *Controller) enqueue(now clock.Millis, s *service, q *query, policy preset.RankPolicy) []Cmd {
	var cmds []Cmd
	queue := s.queues.Ref(q.rank)
	if queue.len() >= max(policy.QueueRequests, 1) {
		oldest := queue.oldest
		// Queued patient queries are not evicted, because their deadlines are long. In the
		// other ranks the oldest query is the one least likely to finish.
		if q.rank == rank.Patient || q.cost > oldest.cost {
			c.freeQueries = append(c.freeQueries, q)
			return c.refuse(now, s, q.id, q.rank, ReasonQueueFull, cmds)
		}
		cmds = c.refuseQueued(now, oldest, ReasonDisplaced, cmds)
	}
	q.dueAt = effectiveDeadline(q, policy)
	queue.add(q)
	c.queries[q.id] = q
	return append(cmds, EventCmd{Event: timeline.Event{Kind: timeline.Queued, Request: q.id, Rank: q.rank.String()}})
}

// refuseQueued removes a query from its queue and refuses it.
func (c *Controller) refuseQueued(now clock.Millis, q *query, reason Reason, cmds []Cmd) []Cmd {
	s, id, r := q.service, q.id, q.rank
	s.queues.Ref(r).remove(q)
	c.recycle(q)
	return c.refuse(now, s, id, r, reason, cmds)
}

func (c *Controller) refuse(now clock.Millis, s *service, id string, r rank.Rank, reason Reason, cmds []Cmd) []Cmd {
	retryAfterMs := defaultRetryMs
	if s != nil {
		retryAfterMs = s.retryAfter(now, r)
		s.refused.Ref(r)[reason]++
	}
	c.refused[reason]++
	event := timeline.Event{Kind: timeline.Refused, Request: id, Rank: r.String(), Detail: reason.String()}
	// The event must precede the refusal: on RefuseCmd the core drops the caller's id.
	return append(cmds, EventCmd{Event: event}, RefuseCmd{ID: id, Reason: reason, RetryAfterMs: retryAfterMs})
}

func (c *Controller) start(now clock.Millis, s *service, q *query) Cmd {
	q.running = true
	q.startedAt = now
	s.start(q, c.preset)
	return AdmitCmd{ID: q.id, Deadline: effectiveDeadline(q, c.preset.Policy(q.rank)), WaitedMs: now - q.arrivedAt}
}

func (c *Controller) done(now clock.Millis, m DoneMsg) []Cmd {
	q := c.queries[m.ID]
	if q == nil || !q.running {
		return nil
	}
	s := q.service
	s.updateBalances(now, c.preset)
	s.finish(now, q, m.ElapsedMs)
	changed := s.limit.recordEnd(now, q, m)
	c.recycle(q)
	if !changed {
		return nil
	}
	detail := s.name + " " + strconv.Itoa(s.limit.value())
	return []Cmd{EventCmd{Event: timeline.Event{Kind: timeline.LimitChanged, Detail: detail}}}
}

func (c *Controller) cancel(now clock.Millis, m CancelMsg) {
	q := c.queries[m.ID]
	if q == nil || q.running {
		return
	}
	q.service.updateBalances(now, c.preset)
	q.service.queues.Ref(q.rank).remove(q)
	c.recycle(q)
}

func (c *Controller) setPreset(now clock.Millis, p preset.Preset) {
	for _, s := range c.serviceList {
		s.updateBalances(now, c.preset)
	}
	c.preset = p
}

// dispatch refuses queued queries that can no longer finish, then starts as many as fit.
func (c *Controller) dispatch(now clock.Millis, s *service, cmds []Cmd) []Cmd {
	for {
		cmds = c.refuseLate(now, s, cmds)
		s.updateBalances(now, c.preset)
		r := s.nextRank(c.preset)
		if r < 0 {
			return cmds
		}
		queue := s.queues.Ref(rank.Rank(r))
		q := queue.next(now, s.requiredTime(now, queue.oldest, queue.oldest.dueAt))
		if !s.fits(q) {
			s.limit.markSaturated()
			return cmds
		}
		// The preset may have changed while the query was queued.
		due := effectiveDeadline(q, c.preset.Policy(q.rank))
		if now+max(s.requiredTime(now, q, due), 1) > due {
			cmds = c.refuseQueued(now, q, ReasonTooLate, cmds)
			continue
		}
		queue.remove(q)
		cmds = append(cmds, c.start(now, s, q))
	}
}

// refuseLate refuses queued queries that can no longer finish. It runs before each
// start: a start can bring such a query to the front, because the required time
// depends on the query.
func (c *Controller) refuseLate(now clock.Millis, s *service, cmds []Cmd) []Cmd {
	for _, r := range rank.All() {
		queue := s.queues.Ref(r)
		for queue.len() > 0 && s.cannotMeetDeadline(now, queue.earliest()) {
			cmds = c.refuseQueued(now, queue.earliest(), ReasonTooLate, cmds)
		}
	}
	return cmds
}

func (c *Controller) newQuery() *query {
	if n := len(c.freeQueries); n > 0 {
		q := c.freeQueries[n-1]
		c.freeQueries = c.freeQueries[:n-1]
		return q
	}
	return &query{}
}

func (c *Controller) recycle(q *query) {
	delete(c.queries, q.id)
	*q = query{}
	c.freeQueries = append(c.freeQueries, q)
}
