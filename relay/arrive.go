package relay

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/route"
)

const (
	// handlingReserveMs is the part of a route's target for reading the request and
	// writing the answer, which small VMs take up to 3 ms for, and 1 ms for timers.
	handlingReserveMs clock.Millis = 4

	// defaultWayMs is assumed if the way to the caller is not known: two
	// crossings of up to 3 ms on the users' networks.
	defaultWayMs clock.Millis = 6

	// dueReserveMs is kept from a caller's own limit, so that the final answer
	// arrives before the caller gives up.
	dueReserveMs clock.Millis = 15

	// defaultTimeoutMs is used if neither the caller nor the route states a limit.
	defaultTimeoutMs clock.Millis = 10 * clock.Second

	// returningMs is how much of a caller's time must be spent for it to count
	// as one that was here before.
	returningMs clock.Millis = 10
)

// arrive decides what happens to a request: it is refused before anything runs,
// or its parts are divided among carriers and this VM.
func (m *Model) arrive(now clock.Millis, msg ArrivalMsg) {
	if msg.Delegation != nil && !m.confirm(msg) {
		return
	}
	if m.table == nil {
		m.reject(msg, Answer{Outcome: NotReady, Reason: "no_configuration", RetryAfterMs: m.comeBack(clock.Second, msg.RemainingMs)})
		return
	}
	rt, ok := m.table.Match(msg.Host, msg.Path)
	if !ok {
		m.reject(msg, Answer{Outcome: NoRoute, Reason: "no_route", Version: m.table.Version()})
		return
	}
	r := m.newRequest(now, rt, msg)
	m.addParts(r, msg.Delegation)
	shares := []share{{parts: r.parts}}
	if r.gathers() && msg.Delegation == nil {
		shares = m.distribute(now, r)
	}
	if m.policies.full(rt.Priority) && msg.Delegation == nil {
		m.reject(msg, Answer{
			Outcome: Refused, Reason: "queue_full", Route: rt.Name, Version: r.version, RetryAfterMs: m.comeBack(rt.TargetMs, r.due-now),
		})
		return
	}
	if wait, full := m.tooLate(now, r, shares); full {
		m.rejectExpecting(msg, Answer{
			Outcome: Refused, Reason: "full", Route: rt.Name, Version: r.version, RetryAfterMs: m.comeBack(wait, r.due-now),
		}, m.expectedFor(now, r))
		return
	}
	m.requests[r.id] = r
	*m.policies.open.Ref(rankOf(rt.Priority))++
	r.parts = nil
	for _, s := range shares {
		if s.carrier != nil {
			m.hand(now, r, s.carrier, s.parts)
			continue
		}
		r.parts = append(r.parts, s.parts...)
	}
	for _, p := range r.parts {
		p.service.budget.need(now)
		m.policies.need(now, rt.Priority)
		m.place(now, p)
	}
	m.advance(now, r)
}

// newRequest works out until when a request may be answered.
func (m *Model) newRequest(now clock.Millis, rt *route.Route, msg ArrivalMsg) *request {
	r := &request{
		id: msg.ID, name: msg.Name, hash: xxhash.Sum64String(msg.Name), host: msg.Host, path: msg.Path, arrived: now,
		route: rt, version: m.table.Version(), minShare: m.policies.leastShare(rt.MinShardRatio, rt.Priority),
	}
	if h := msg.Delegation; h != nil {
		r.carried = true
		r.due, r.returning = now+h.RemainingMs, h.CallerRetry
		r.answerAt = min(now+h.TargetInMs, r.due)
		return r
	}
	timeout := rt.TimeoutMs
	if timeout <= 0 {
		timeout = defaultTimeoutMs
	}
	timeout = m.policies.timeout(timeout, rt.Priority)
	left := msg.RemainingMs
	if left <= 0 {
		left = timeout
	}
	spent := m.stats(rt).spent(left)
	r.returning = spent >= returningMs
	r.due = now + min(timeout, max(left-dueReserveMs, 1))
	if m.stopAt > 0 {
		r.due = min(r.due, max(m.stopAt, now+1))
	}
	reserve := handlingReserveMs + cmp.Or(msg.RoundTripMs, defaultWayMs)
	r.answerAt = min(now+max(rt.TargetMs-spent-reserve, 0), r.due)
	return r
}

// addParts gives a request one part for each service that its answer needs.
func (m *Model) addParts(r *request, h *Delegation) {
	names := m.servicesOf(r)
	if h != nil {
		names = h.Services
	}
	for _, name := range names {
		p := &part{req: r, service: m.service(name)}
		if h != nil {
			p.centre = m.cfg.dataCentre
		}
		r.parts = append(r.parts, p)
	}
	r.shards, r.unresolved = len(r.parts), len(r.parts)
}

// servicesOf returns the services whose parts the answer needs.
func (m *Model) servicesOf(r *request) []string {
	switch {
	case r.gathers():
		return r.route.Gather
	case len(r.route.Split) > 0:
		return []string{m.splitter.Next(r.route)}
	default:
		return []string{r.route.Service}
	}
}

// reject answers a request that never becomes part of the state.
func (m *Model) reject(msg ArrivalMsg, a Answer) { m.rejectExpecting(msg, a, 0) }

// rejectExpecting also tells the VM that handed the request over what to expect.
func (m *Model) rejectExpecting(msg ArrivalMsg, a Answer, expected clock.Millis) {
	m.emit(EventCmd{Event: Event{
		Kind: "request_" + a.Outcome.String(), Request: msg.Name, Route: a.Route, Version: a.Version,
		Detail: a.Reason, AgeMs: a.RetryAfterMs,
	}})
	m.emit(AnswerCmd{ID: msg.ID, Answer: a, ExpectedMs: expected})
}

// comeBack returns a time after which a refused caller should return, spread so
// that refused callers do not return together. Callers honour at most a third
// of the time that they have left.
func (m *Model) comeBack(wait, left clock.Millis) clock.Millis {
	const least = 20 // a shorter wait returns to the same queue
	wait = max(wait, least)
	wait += clock.Millis(m.rng.Int64N(int64(wait)))
	if left > 0 {
		wait = min(wait, max(left/3, 1))
	}
	return wait
}

// admitShare is the part of the time to the target that a request may be
// expected to take. Expectations are rough, and work that ends just after the
// target has used the upstreams for nothing.
const admitShare = 0.75

// tooLate reports whether so many parts would have to wait beyond the time at
// which the answer is worth having that the request is better refused at once,
// before anything has run. The most urgent requests, and callers that were
// refused before, are let in while they can be answered in time at all. It also
// returns how long the wait is beyond
// that time.
func (m *Model) tooLate(now clock.Millis, r *request, shares []share) (clock.Millis, bool) {
	limit := now + clock.Millis(admitShare*float64(r.answerAt-now))
	switch {
	case r.carried:
		limit = r.due // other carriers work on the rest already
	case !r.gathers():
		limit = r.due // one upstream: a late answer wastes no other part
	case r.returning, r.route.Priority == 0:
		limit = max(r.answerAt, now)
	}
	late, longest := 0, clock.Millis(0)
	for _, s := range shares {
		for _, p := range s.parts {
			wait := m.expected(now, p)
			if s.carrier != nil {
				wait = s.carrier.wait(now, r.route.Name)
			}
			if end := now + wait; end > limit {
				late++
				longest = max(longest, end-limit)
			}
		}
	}
	return longest, len(r.parts)-late < r.least()
}

// expectedFor returns how long the parts of a request would take from now if
// another one like it came: the longest that the least share has to wait for.
func (m *Model) expectedFor(now clock.Millis, r *request) clock.Millis {
	waits := make([]clock.Millis, 0, len(r.parts))
	for _, p := range r.parts {
		waits = append(waits, m.expected(now, p))
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	least := int(math.Ceil(r.route.MinShardRatio * float64(len(waits))))
	return waits[min(max(least-1, 0), len(waits)-1)]
}

// expected estimates how long a part takes from now, its wait included.
func (m *Model) expected(now clock.Millis, p *part) clock.Millis {
	typical := m.stats(p.req.route).typical
	lanes, open := 0, 0
	fastest := maxSlow
	for _, u := range p.service.upstreams {
		if !u.usable() {
			continue
		}
		n := m.lanes(u, p.req.route.Priority)
		lanes += n
		open += min(len(u.open), n)
		fastest = min(fastest, u.lasting())
	}
	if lanes == 0 {
		return 0 // place decides; there is no queue to wait in
	}
	ahead := p.service.ahead(p.req.route.Priority)
	wait := 0.0
	if open+ahead >= lanes {
		wait = typical * fastest * float64(open+ahead-lanes+1) / float64(lanes)
	}
	return clock.Millis(wait + typical*fastest)
}
