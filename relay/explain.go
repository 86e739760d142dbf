package relay

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quota"
)

// Bounds of an Explanation.
const (
	// DefaultParts is how many parts are described if the query names no number.
	DefaultParts = 5

	// MaxParts is the most parts that are described.
	MaxParts = 128

	maxCandidates = 64 // for each part
)

// ExplainQuery describes a request that is not sent.
type ExplainQuery struct {
	Arrival  ArrivalMsg // without an ID and a name
	Customer string     // name of the customer, instead of its key
	Parts    int        // how many parts are described, 0 for DefaultParts

	// Services are set for an explanation as the carrier to which another VM delegates them.
	Services []string
}

// Explanation is what a VM would do with a request that arrives now. Times are in
// milliseconds from now. It holds no key.
type Explanation struct {
	Version    uint64       `json:"version"` // of the configuration; 0 if there is none
	Route      string       `json:"route"`
	Customer   string       `json:"customer"` // empty if none
	DeadlineMs clock.Millis `json:"deadline_ms"`
	TargetMs   clock.Millis `json:"target_ms"`
	Admission  Admission    `json:"admission"`
	Limit      quota.Limit  `json:"-"`        // of the customer; the zero Limit if there is none
	Carriers   []Carrier    `json:"carriers"` // VMs that gather parts
	Parts      []Part       `json:"parts"`    // the first of those that this VM sends, as if the request were admitted
	MoreParts  int          `json:"more_parts"`
	Unknown    []string     `json:"unknown"` // what the decisions assume, or other VMs decide
}

// Admission is whether a request is admitted, apart from the credit of its customer.
type Admission struct {
	Outcome       string       `json:"outcome"` // "admitted", or that of the answer
	Reason        string       `json:"reason"`  // why it is not admitted
	EstimateMs    clock.Millis `json:"estimate_ms"`
	LimitMs       clock.Millis `json:"limit_ms"` // a request with a higher estimate is refused; 0 if that was not compared
	Probe         bool         `json:"probe"`    // admitted beyond the limit, to renew the estimate
	Parts         int          `json:"parts"`
	RequiredParts int          `json:"required_parts"`
	RetryAfterMs  clock.Millis `json:"retry_after_ms"`
}

// Admitted is the Outcome of a request that is admitted.
const Admitted = "admitted"

// Carrier is a VM that gathers parts of a request.
type Carrier struct {
	VM            string       `json:"vm"`
	DataCentre    string       `json:"data_centre"`
	Self          bool         `json:"self"`
	Services      []string     `json:"services"`
	EstimateMs    clock.Millis `json:"estimate_ms"`
	EstimateKnown bool         `json:"estimate_known"`
}

// What a VM does with a part of a request.
const (
	ActionSend   = "send"
	ActionQueue  = "queue"
	ActionGiveUp = "give_up"
)

// Part is what a VM does with the part of a request that one service answers.
type Part struct {
	Service        string       `json:"service"`
	Action         string       `json:"action"`
	Upstream       string       `json:"upstream"` // that the next attempt goes to; empty if there is none now
	Probe          bool         `json:"probe"`    // it was slow and is tried again
	EstimateMs     clock.Millis `json:"estimate_ms"`
	QueuedAhead    int          `json:"queued_ahead"`
	HeldMs         clock.Millis `json:"held_ms"` // until some upstream takes requests again; 0 if one does
	Candidates     []Candidate  `json:"candidates"`
	MoreCandidates int          `json:"more_candidates"`
}

// Candidate is one upstream of a service.
type Candidate struct {
	Upstream   string       `json:"upstream"`
	DataCentre string       `json:"data_centre"`
	Chosen     bool         `json:"chosen"`
	Excluded   string       `json:"excluded"` // why it is left out, see Exclusion; empty if it is not
	Open       int          `json:"open"`     // attempts of this VM
	OpenLimit  int          `json:"open_limit"`
	HeldMs     clock.Millis `json:"held_ms"`    // it gets nothing for so long
	AvoidedMs  clock.Millis `json:"avoided_ms"` // it is avoided for so long
	TotalMs    float64      `json:"total_ms"`   // of the score; the lowest is chosen
	Score      *Score       `json:"score"`      // nil if it was not compared
}

// Explain returns what Update would do with the ArrivalMsg of a request now, and why. It
// changes nothing: what Update returns later does not depend on it.
func (m *Model) Explain(now clock.Millis, q ExplainQuery) Explanation {
	e := explainer{model: m.view(), now: now, maxParts: min(max(q.Parts, 0), MaxParts)}
	if q.Parts == 0 {
		e.maxParts = DefaultParts
	}
	e.explain(q)
	return e.out
}

// view returns a Model that decides as m does next. What is decided on it is not seen by m.
// Functions that record something in services, upstreams, VMs or requests must not be called
// on it.
func (m *Model) view() *Model {
	v := *m
	v.readOnly, v.cmds = true, nil
	source := *m.source
	v.source, v.rng = &source, rand.New(&source)
	v.splitter = m.splitter.Clone()
	v.services, v.routeStats = maps.Clone(m.services), maps.Clone(m.routeStats)
	return &v
}

// explainer collects an Explanation.
type explainer struct {
	model    *Model
	now      clock.Millis
	maxParts int
	out      Explanation
}

func (e *explainer) explain(q ExplainQuery) {
	e.out.Carriers, e.out.Parts, e.out.Unknown = []Carrier{}, []Part{}, []string{}
	m := e.model
	msg := q.Arrival
	e.out.Version = m.Version()
	rt, c, rejected := m.recognize(msg, q.Customer)
	if rt == nil {
		e.reject(rejected)
		return
	}
	r := m.newRequest(e.now, rt, msg)
	r.setCustomer(c)
	m.expectArrival(e.now, r, msg)
	e.out.Route, e.out.Customer = rt.Name, r.customer
	if len(q.Services) > 0 {
		e.explainDelegated(r, q.Services)
		return
	}
	e.out.Limit, _ = creditLimit(r, c)
	v := m.checkTime(e.now, r)
	if v.reason == "" {
		m.limitToStop(r)
	}
	e.out.DeadlineMs, e.out.TargetMs = r.deadline-e.now, r.targetAt-e.now
	if v.reason != "" {
		e.reject(refusal(r, v.reason, m.refusalDelay(e.now, r, v)))
		return
	}
	m.addSubrequests(r)
	assignments := m.assign(e.now, r)
	v = m.assess(e.now, r, assignments)
	e.out.Admission = Admission{Outcome: Admitted, Probe: v.probes}
	if v.reason != "" {
		e.reject(refusal(r, v.reason, m.refusalDelay(e.now, r, v)))
	}
	e.addEstimate(r, assignments, v)
	e.addAssumptions(r, q)
	if part := m.admittedPart(e.now, r, assignments); part < 1 {
		e.unknown("the draw: customer %s is above its share, and %.2f of its queries are admitted", r.customer, part)
	}
	for _, a := range assignments {
		e.addCarrier(r, a)
	}
	for _, a := range assignments {
		if a.carrier == nil {
			e.addParts(a.subrequests)
		}
	}
}

// explainDelegated explains what this VM does with services of a request that another VM
// delegates to it. Credit is decided there.
func (e *explainer) explainDelegated(r *request, services []string) {
	m := e.model
	d := Delegation{Version: r.version, Services: services, Terms: r.terms(), RemainingMs: r.deadline - e.now, TargetInMs: r.targetAt - e.now, LateInMs: r.lateAt - e.now, CostKeys: r.costKeys}
	if reason := m.refusalOf(&d); reason != "" {
		e.reject(Answer{Outcome: NotReady, Reason: reason, Route: r.route.Name})
		return
	}
	m.selfIsCarrier = true
	r = m.newDelegatedRequest(e.now, ArrivalMsg{Delegation: &d})
	e.out.DeadlineMs, e.out.TargetMs = r.deadline-e.now, r.targetAt-e.now
	m.addDelegated(r, services)
	assignments := []assignment{{subrequests: r.subrequests}}
	v := m.wouldMissTarget(e.now, r, assignments)
	e.out.Admission = Admission{Outcome: Admitted, Probe: v.probes}
	if v.reason != "" {
		e.reject(refusal(r, v.reason, m.refusalDelay(e.now, r, v)))
	}
	e.addEstimate(r, assignments, v)
	e.unknown("how long the trip from the VM that delegates takes, and which upstreams it knows to be cold or evacuated")
	e.addCarrier(r, assignments[0])
	e.addParts(r.subrequests)
}

func (e *explainer) reject(a Answer) {
	e.out.Route = a.Route
	e.out.Admission = Admission{Outcome: a.Outcome.String(), Reason: a.Reason, RetryAfterMs: a.RetryAfterMs}
}

func (e *explainer) unknown(format string, args ...any) {
	e.out.Unknown = append(e.out.Unknown, fmt.Sprintf(format, args...))
}

// addEstimate adds when the last part that the answer needs is expected.
func (e *explainer) addEstimate(r *request, assignments []assignment, v verdict) {
	var waits []clock.Millis
	for _, a := range assignments {
		for _, sub := range a.subrequests {
			waits = append(waits, e.model.estimateAssigned(e.now, a.carrier, sub))
		}
	}
	slices.Sort(waits)
	a := &e.out.Admission
	a.Parts, a.RequiredParts = len(waits), r.requiredReplies()
	a.EstimateMs = waits[min(a.RequiredParts, len(waits))-1]
	if v.limitAt > 0 {
		a.LimitMs = v.limitAt - e.now
	}
}

func (e *explainer) addAssumptions(r *request, q ExplainQuery) {
	if st := e.model.statsFor(r.route); st.samples == 0 {
		e.unknown("the latency of route %s is not measured yet, %.0f ms are assumed", r.route.Name, st.medianMs)
	}
	if e.model.byCost() {
		if !r.cost.Known() {
			e.unknown("what requests of route %s cost, all count the same", r.route.Name)
		}
		if q.Arrival.BodyBytes == 0 {
			e.unknown("the size of the body, 0 bytes are assumed")
		}
	}
	if q.Arrival.RoundTripMs == 0 {
		e.unknown("the round trip to the caller, %d ms are assumed", defaultRoundTripMs)
	}
}

// addCarrier adds the VM that gathers the parts of an assignment.
func (e *explainer) addCarrier(r *request, a assignment) {
	if len(a.subrequests) == 0 {
		return
	}
	self := e.model.cfg
	c := Carrier{VM: self.self, DataCentre: self.dataCentre, Self: true, EstimateKnown: true}
	if a.carrier != nil {
		c = Carrier{VM: a.carrier.info.ID, DataCentre: a.carrier.info.DataCentre}
		c.EstimateMs, c.EstimateKnown = a.carrier.knownEstimate(e.now, r)
		e.unknown("%s chooses the upstreams of %d parts", c.VM, len(a.subrequests))
		if !c.EstimateKnown {
			e.unknown("how busy %s is: no estimate of it is newer than %d ms, 0 ms are assumed", c.VM, estimateMaxAgeMs)
		}
	} else {
		c.EstimateMs = e.model.estimateRequest(e.now, &request{route: r.route, subrequests: a.subrequests})
	}
	for _, sub := range a.subrequests {
		c.Services = append(c.Services, sub.service.name)
	}
	e.out.Carriers = append(e.out.Carriers, c)
}

// addParts adds the parts that this VM sends, in the order in which it sends them: each draws
// random numbers.
func (e *explainer) addParts(subrequests []*subrequest) {
	for _, sub := range subrequests[:min(len(subrequests), e.maxParts)] {
		e.out.Parts = append(e.out.Parts, e.part(sub))
	}
	e.out.MoreParts = len(subrequests) - len(e.out.Parts)
}

// part describes a part and decides it.
func (e *explainer) part(sub *subrequest) Part {
	m, now, s := e.model, e.now, sub.service
	p := Part{Service: s.name, Candidates: []Candidate{}, EstimateMs: m.estimateSubrequest(now, sub), QueuedAhead: s.queuedAhead(sub.req)}
	seen := 0
	add := func(u *upstream, ex Exclusion, score Score) {
		seen++
		if len(p.Candidates) >= maxCandidates {
			p.MoreCandidates++
			return
		}
		c := Candidate{
			Upstream: u.info.ID, DataCentre: u.info.DataCentre, Excluded: ex.String(), Open: len(u.open), OpenLimit: m.attemptLimit(now, u, sub.req.route.Priority),
			HeldMs: max(u.notBefore(now)-now, 0), AvoidedMs: max(u.avoidUntil-now, 0),
		}
		if score != (Score{}) {
			c.Score, c.TotalMs = &score, score.Total()
		}
		p.Candidates = append(p.Candidates, c)
	}
	c := m.choose(now, sub, false, add)
	sub.req.probed = sub.req.probed || c.probe
	for _, u := range s.upstreams[seen:] {
		add(u, Unconsidered, Score{})
	}
	switch {
	case c.upstream != nil:
		p.Action, p.Upstream, p.Probe = ActionSend, c.upstream.info.ID, c.probe
	case c.available:
		p.Action, p.HeldMs = ActionQueue, max(s.heldUntil(now)-now, 0)
	default:
		p.Action = ActionGiveUp
	}
	for i := range p.Candidates {
		p.Candidates[i].Chosen = p.Candidates[i].Upstream == p.Upstream && p.Upstream != ""
	}
	return p
}
