package relay

import (
	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/route"
)

// terms returns the conditions under which carriers gather shards of r.
func (r *request) terms() Terms {
	t := Terms{
		Route: r.route.Name, TargetMs: r.route.TargetMs, Priority: r.route.Priority,
		MaxAttempts: max(r.route.MaxAttempts, 1), TopK: r.route.TopK, MinShardRatio: r.minShardRatio,
	}
	if r.customer != "" {
		t.Customer, t.CustomerPriority = r.customer, r.priority.customer
	}
	return t
}

// asRoute returns a route that gathers the delegated shards. The carrier's own
// configuration is not consulted.
func (d *Delegation) asRoute() *route.Route {
	return &route.Route{
		Name: d.Terms.Route, Gather: d.Services, Idempotent: true, TargetMs: d.Terms.TargetMs, Priority: d.Terms.Priority,
		MaxAttempts: d.Terms.MaxAttempts, TopK: d.Terms.TopK, MinShardRatio: d.Terms.MinShardRatio,
	}
}

// admitDelegation refuses what another VM delegated, or acknowledges it and sends its
// sub-requests.
func (m *Model) admitDelegation(now clock.Millis, msg ArrivalMsg) {
	d := msg.Delegation
	if reason := m.refusalOf(d); reason != "" {
		m.emit(AnswerCmd{ID: msg.ID, Answer: Answer{Outcome: NotReady, Reason: reason}})
		return
	}
	m.emit(AckDelegationCmd{ID: msg.ID})
	if len(d.Services) == 0 { // a probe, which the acknowledgement answers
		m.emit(AnswerCmd{ID: msg.ID, Answer: Answer{Outcome: Refused, Reason: "probe"}})
		return
	}
	m.selfIsCarrier = true
	m.learnCold(now, d.Limits)
	r := m.newDelegatedRequest(now, msg)
	if r.deadline <= now {
		m.refuse(msg, r, waitedTooLong, m.retryAfter(0, 0))
		return
	}
	m.addDelegated(r, d.Services)
	m.observeShare(now, r)
	assignments := []assignment{{subrequests: r.subrequests}}
	v := m.wouldMissTarget(now, r, assignments)
	if v.reason != "" {
		m.refuseFull(now, msg, r, v)
		return
	}
	m.recordVerdict(r, v)
	m.start(now, r, assignments)
}

// addDelegated adds one sub-request for each service of a delegation.
func (m *Model) addDelegated(r *request, services []string) {
	for _, name := range services {
		r.subrequests = append(r.subrequests, &subrequest{req: r, service: m.delegatedService(name), dataCentre: m.cfg.dataCentre})
	}
	r.totalSubrequests, r.unresolved = len(r.subrequests), len(r.subrequests)
	m.setShare(r)
}

// refusalOf returns why this VM does not gather for a delegation, or "". A VM whose
// configuration is older may not know the upstreams of new shards yet, while the VM that
// delegates does.
func (m *Model) refusalOf(d *Delegation) string {
	switch {
	case m.table == nil:
		return "no_configuration"
	case m.stopAt > 0:
		return stopping
	case len(d.Services) > 0 && d.Terms.MaxAttempts <= 0:
		return "no_terms" // sent by a release that relied on the carrier's configuration
	case m.table.Version() < d.Version && !m.knowsAll(d.Services):
		return "older_configuration"
	}
	return ""
}

// knowsAll reports whether this VM knows an upstream of each of the services.
func (m *Model) knowsAll(services []string) bool {
	for _, name := range services {
		if s := m.services[name]; s == nil || len(s.upstreams) == 0 {
			return false
		}
	}
	return true
}

// newDelegatedRequest returns the request of a delegation with its deadline and target
// time.
func (m *Model) newDelegatedRequest(now clock.Millis, msg ArrivalMsg) *request {
	d := msg.Delegation
	r := &request{
		id: msg.ID, name: msg.Name, hash: xxhash.Sum64String(msg.Name), arrived: now, route: d.asRoute(), version: d.Version,
		minShardRatio: d.Terms.MinShardRatio, delegated: true, limits: d.Limits,
		customer: d.Terms.Customer, priority: d.Terms.priority(),
	}
	r.deadline = now + d.RemainingMs - msg.WaitedMs
	r.targetAt = min(now+max(d.TargetInMs-msg.WaitedMs, 0), r.deadline)
	r.lateAt = now + d.LateInMs - msg.WaitedMs
	m.expectDelegated(now, r, d.CostKeys)
	return r
}
