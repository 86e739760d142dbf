package relay

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/customer"
	"lentillink.example/lentillink/route"
)

const (
	// handlingReserveMs is the part of a route's target reserved for reading the
	// request and writing the answer (up to 3 ms on small VMs) and for timer
	// granularity (1 ms).
	handlingReserveMs clock.Millis = 4

	// defaultRoundTripMs is the round-trip time assumed if the one to the caller is
	// not known: two one-way trips of up to 3 ms each on the users' networks.
	defaultRoundTripMs clock.Millis = 6

	// maxAnswerLagShare limits the time that is reserved for writing the answer, as a share
	// of the target.
	maxAnswerLagShare = 0.2

	// maxRoundTripShare limits the round-trip time that is reserved, as a share of the
	// target. A longer one leaves hardly any time, and may be that of one slow handshake.
	maxRoundTripShare = 0.5

	// deadlineReserveMs is subtracted from a caller's own timeout, so that the final
	// answer arrives before the caller times out.
	deadlineReserveMs clock.Millis = 15

	// defaultTimeoutMs applies if neither the caller nor the route sets a timeout.
	defaultTimeoutMs clock.Millis = 10 * clock.Second
)

// admit refuses a new request before any of it runs, or divides its sub-requests
// among carriers and this VM.
func (m *Model) admit(now clock.Millis, msg ArrivalMsg) {
	if msg.Delegation != nil {
		m.admitDelegation(now, msg)
		return
	}
	rt, c, a := m.recognize(msg, "")
	if rt == nil {
		m.reject(msg, a)
		return
	}
	r := m.newRequest(now, rt, msg)
	r.setCustomer(c)
	m.expectArrival(now, r, msg)
	if m.stillInTime(now, msg, r) && !m.acquireCredit(msg, r, c) {
		m.admitInTime(now, msg, r)
	}
}

// recognize returns the route and the customer of a request, or the answer that rejects it.
// A customer that is named needs no key.
func (m *Model) recognize(msg ArrivalMsg, named string) (*route.Route, *customer.Customer, Answer) {
	if m.table == nil {
		return nil, nil, Answer{Outcome: NotReady, Reason: "no_configuration", RetryAfterMs: m.retryAfter(clock.Second, msg.RemainingMs)}
	}
	rt, ok := m.table.Match(msg.Host, msg.Path)
	if !ok {
		return nil, nil, Answer{Outcome: NoRoute, Reason: "no_route", Version: m.table.Version()}
	}
	c, ok := m.identify(rt, msg.Key)
	reason := "unknown_key"
	if named != "" {
		c, ok = m.table.Customers().Named(named)
		reason = "unknown_customer"
	}
	if !ok {
		return nil, nil, Answer{Outcome: Unauthorized, Reason: reason, Route: rt.Name, Version: m.table.Version()}
	}
	return rt, c, Answer{}
}

// stillInTime reports whether a request can end before its deadline and before this VM
// stops. If it cannot, it is refused.
func (m *Model) stillInTime(now clock.Millis, msg ArrivalMsg, r *request) bool {
	if v := m.checkTime(now, r); v.reason != "" {
		m.refuse(msg, r, v.reason, m.refusalDelay(now, r, v))
		return false
	}
	m.limitToStop(r)
	return true
}

// admitInTime starts a request that has time left, unless it would probably miss its target.
func (m *Model) admitInTime(now clock.Millis, msg ArrivalMsg, r *request) {
	m.addSubrequests(r)
	if r.gathers() {
		m.probeSuspects(now, r)
	}
	assignments := m.assign(now, r)
	m.observeAssigned(now, r, assignments)
	switch v := m.assess(now, r, assignments); v.reason {
	case "":
		m.recordVerdict(r, v)
		m.start(now, r, assignments)
	case full:
		m.refuseFull(now, msg, r, v)
	default:
		m.refuse(msg, r, v.reason, m.refusalDelay(now, r, v))
	}
}

// assign divides the sub-requests of a request among the VMs that gather them.
func (m *Model) assign(now clock.Millis, r *request) []assignment {
	if r.gathers() {
		return m.distribute(now, r)
	}
	return []assignment{{subrequests: r.subrequests}}
}

// start opens an admitted request, delegates what carriers gather and sends the rest.
func (m *Model) start(now clock.Millis, r *request, assignments []assignment) {
	m.requests[r.id] = r
	m.statsFor(r.route).startedAt = now
	*m.policies.open.Ref(rankOf(r.route.Priority))++
	r.subrequests = nil
	for _, a := range assignments {
		if a.carrier != nil {
			m.delegate(now, r, a.carrier, a.subrequests)
			continue
		}
		r.subrequests = append(r.subrequests, a.subrequests...)
	}
	for _, sub := range r.subrequests {
		sub.service.budget.CountRequest(now)
		m.policies.countRequest(now, r.route.Priority)
		m.dispatch(now, sub)
	}
	m.advance(now, r)
}

// reachable returns how many sub-requests have an upstream that accepts work.
func reachable(subrequests []*subrequest) int {
	n := 0
	for _, sub := range subrequests {
		if slices.ContainsFunc(sub.service.upstreams, (*upstream).usable) {
			n++
		}
	}
	return n
}

// newRequest returns the request of msg with its deadline and target time.
func (m *Model) newRequest(now clock.Millis, rt *route.Route, msg ArrivalMsg) *request {
	r := &request{
		id: msg.ID, name: msg.Name, hash: xxhash.Sum64String(msg.Name), arrived: now, route: rt,
		priority: routePriority(rt.Priority), version: m.table.Version(), minShardRatio: m.policies.minShardRatio(rt.MinShardRatio, rt.Priority),
	}
	timeout := rt.TimeoutMs
	if timeout <= 0 {
		timeout = defaultTimeoutMs
	}
	timeout = m.policies.boundTimeout(timeout, rt.Priority)
	remaining := msg.RemainingMs
	if remaining <= 0 {
		remaining = timeout
	}
	r.deadline = now + min(timeout, max(remaining-deadlineReserveMs, 1)) - msg.WaitedMs
	roundTrip := min(cmp.Or(msg.RoundTripMs, defaultRoundTripMs), clock.Millis(maxRoundTripShare*float64(rt.TargetMs)))
	answerLag := min(msg.AnswerLagMs, clock.Millis(maxAnswerLagShare*float64(rt.TargetMs)))
	reserve := msg.WaitedMs + handlingReserveMs + answerLag + roundTrip
	r.targetAt = min(now+max(rt.TargetMs-reserve, 0), r.deadline)
	r.lateAt = now - msg.WaitedMs + rt.TargetMs
	return r
}

// addSubrequests adds one sub-request for each service that the answer requires.
func (m *Model) addSubrequests(r *request) {
	for _, name := range m.requiredServices(r) {
		r.subrequests = append(r.subrequests, &subrequest{req: r, service: m.service(name)})
	}
	r.totalSubrequests, r.unresolved = len(r.subrequests), len(r.subrequests)
	m.setShare(r)
}

// requiredServices returns the services whose replies the answer requires.
func (m *Model) requiredServices(r *request) []string {
	switch {
	case r.gathers():
		return r.route.Gather
	case len(r.route.Split) > 0:
		return []string{m.splitter.Next(r.route)}
	default:
		return []string{r.route.Service}
	}
}

// reject answers a request that was not admitted.
func (m *Model) reject(msg ArrivalMsg, a Answer) { m.rejectWithEstimate(msg, a, 0, nil) }

// rejectWithEstimate rejects a request. For a request delegated by another VM, the
// answer includes the estimated latency and the throttled customers on this VM.
func (m *Model) rejectWithEstimate(msg ArrivalMsg, a Answer, expected clock.Millis, throttled []Throttled) {
	m.emit(EventCmd{Event: Event{
		Kind: "request_" + a.Outcome.String(), Request: msg.Name, Route: a.Route, Version: a.Version,
		Detail: a.Reason, AgeMs: a.RetryAfterMs,
	}})
	m.emit(AnswerCmd{ID: msg.ID, Answer: a, ExpectedMs: expected, Throttled: throttled})
}

// refuse rejects a request of a known route before any of it was sent.
func (m *Model) refuse(msg ArrivalMsg, r *request, reason string, retryAfter clock.Millis) {
	m.returnCredit(r)
	m.reject(msg, refusal(r, reason, retryAfter))
}

// refuseFull refuses a request of which too much would exceed its time.
func (m *Model) refuseFull(now clock.Millis, msg ArrivalMsg, r *request, v verdict) {
	m.returnCredit(r)
	a := refusal(r, v.reason, m.refusalDelay(now, r, v))
	m.rejectWithEstimate(msg, a, m.estimateRequest(now, r), m.throttledNow(now))
}

func refusal(r *request, reason string, retryAfter clock.Millis) Answer {
	return Answer{Outcome: Refused, Reason: reason, Route: r.route.Name, Version: r.version, RetryAfterMs: retryAfter}
}

// retryAfterHold returns the retry delay of a refused request: not before enough of its
// upstreams take requests again.
func (m *Model) retryAfterHold(now clock.Millis, r *request, wait clock.Millis) clock.Millis {
	return max(m.retryAfter(wait, r.deadline-now), m.holdRemaining(now, r.subrequests, r.requiredReplies()))
}

// retryAfter returns the delay after which a refused caller should retry. It adds
// jitter, so that refused callers do not retry at the same time. The delay is at
// most a third of the caller's remaining time, because callers honour no more.
func (m *Model) retryAfter(wait, remaining clock.Millis) clock.Millis {
	const minWait = 20 // after a shorter delay the queue would hardly have changed
	wait = max(wait, minWait)
	wait += clock.Millis(m.rng.Int64N(int64(wait)))
	if remaining > 0 {
		wait = min(wait, max(remaining/3, 1))
	}
	return wait
}

// admissionTargetShare is the share of the time to the target that the estimated
// latency of a request may use. Estimates are rough, and work that ends just after
// the target wastes upstream capacity.
const admissionTargetShare = 0.75

// probeTargetShare is the share of a route's target from which an estimate may be the
// reason of a refusal, whatever the caller states.
const probeTargetShare = 0.5

// wouldMissTarget reports whether too few sub-requests are expected to end within a
// time limit for an answer, so that the request should be refused before any of it
// runs. Gathered requests of the highest priority may use all of the time to the target.
func (m *Model) wouldMissTarget(now clock.Millis, r *request, assignments []assignment) verdict {
	limit := now + clock.Millis(admissionTargetShare*float64(r.targetAt-now))
	switch {
	case r.delegated:
		limit = r.deadline // other carriers are already working on the rest
	case !r.gathers():
		limit = r.deadline // single upstream: a late answer wastes no other sub-request
	case r.route.Priority == 0:
		limit = max(r.targetAt, now)
	}
	lateCount, maxExcess := 0, clock.Millis(0)
	for _, a := range assignments {
		for _, sub := range a.subrequests {
			wait := m.estimateAssigned(now, a.carrier, sub)
			if end := now + wait; end > limit {
				lateCount++
				maxExcess = max(maxExcess, end-limit)
			}
		}
	}
	v := verdict{limitAt: limit}
	switch {
	case len(r.subrequests)-lateCount >= r.requiredReplies():
	case m.probesEstimate(now, r):
		v.probes = true
	default:
		v.reason, v.excess = full, maxExcess
	}
	return v
}

// estimateAssigned estimates how long a sub-request takes from now at the VM that gathers it,
// nil for this one.
func (m *Model) estimateAssigned(now clock.Millis, carrier *peerVM, sub *subrequest) clock.Millis {
	if carrier != nil {
		return carrier.estimateFor(now, sub.req)
	}
	return m.estimateSubrequest(now, sub)
}

// probesEstimate reports whether a request should be admitted although it seems to miss
// its limit, because no other has been admitted for a while. Refused requests bring no
// measurements, so without it the estimate and the refusals would stay for ever. A request
// that only its own caller gives too little time shows nothing.
func (m *Model) probesEstimate(now clock.Millis, r *request) bool {
	st := m.statsFor(r.route)
	return now-st.startedAt >= estimateMaxAgeMs && float64(m.estimateRequest(now, r)) >= probeTargetShare*float64(r.route.TargetMs)
}

// estimateRequest estimates how long another request like r would take from now:
// the time until the minimum share of its sub-requests has a reply.
func (m *Model) estimateRequest(now clock.Millis, r *request) clock.Millis {
	waits := make([]clock.Millis, 0, len(r.subrequests))
	for _, sub := range r.subrequests {
		waits = append(waits, m.estimateSubrequest(now, sub))
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	required := int(math.Ceil(r.route.MinShardRatio * float64(len(waits))))
	return waits[min(max(required-1, 0), len(waits)-1)]
}

// estimateSubrequest estimates how long a sub-request takes from now, including its
// time in the queue.
func (m *Model) estimateSubrequest(now clock.Millis, sub *subrequest) clock.Millis {
	medianMs := m.statsFor(sub.req.route).medianMs
	if wait := sub.service.coldWait(now, sub.req); wait > 0 {
		return wait + clock.Millis(medianMs*coldFactor)
	}
	capacity, open := 0, 0
	minSlowness := maxSlowRatio
	for _, u := range sub.service.upstreams {
		if !u.usable() || now < u.notBefore(now) {
			continue
		}
		n := m.attemptLimit(now, u, sub.req.route.Priority)
		capacity += n
		open += min(len(u.open), n)
		minSlowness = min(minSlowness, u.sustainedSlowness())
	}
	if capacity == 0 {
		// All upstreams asked for no requests until then. If none is left at all, there is
		// no queue, and dispatch handles this case.
		return max(sub.service.heldUntil(now)-now, 0)
	}
	if sub.req.cost.Known() {
		return m.estimateByCost(now, sub, minSlowness)
	}
	ahead := sub.service.queuedAhead(sub.req)
	wait := 0.0
	if open+ahead >= capacity {
		wait = medianMs * minSlowness * float64(open+ahead-capacity+1) / float64(capacity)
	}
	return clock.Millis(wait + medianMs*minSlowness)
}
