package relay

import (
	"lentillink.example/lentillink/clock"
)

// Delegation asks a carrier to gather some parts of a request. A carrier sees all
// work of the upstreams in its data centre, so it knows which of them are free,
// and one message crosses data centres where each part would.
type Delegation struct {
	ID          uint64 // of the group at the VM that hands it over
	Version     uint64 // the carrier must know this version of the configuration
	Name        string
	Host        string
	Path        string
	Services    []string // the shards to gather, of one version of the configuration
	Head        []byte   // request line and headers as upstreams get them; filled in by the runtime
	Body        []byte
	RemainingMs clock.Millis
	TargetInMs  clock.Millis // when the answer becomes late
	CallerRetry bool
}

// DelegationAck confirms a Delegation at once.
type DelegationAck struct{ ID uint64 }

// DelegationResult answers a Delegation. The answer names no missing shards: those that
// have no receipt are missing. With More, a later HandBack replaces it.
type DelegationResult struct {
	ID         uint64
	Answer     Answer
	Partial    bool
	ExpectedMs clock.Millis // how long a request of this route would take there now
}

// DelegationCancel ends a Delegation whose answer nobody waits for.
type DelegationCancel struct{ ID uint64 }

// PeerBody marks messages between VMs.
func (Delegation) PeerBody() {}

// PeerBody marks messages between VMs.
func (DelegationAck) PeerBody() {}

// PeerBody marks messages between VMs.
func (DelegationResult) PeerBody() {}

// PeerBody marks messages between VMs.
func (DelegationCancel) PeerBody() {}

const (
	// takenMs is how long a carrier may take to confirm, or takenShare of the time
	// to the target if that is longer. The way there and back takes 2 ms between the
	// users' data centres, and a carrier that takes over a new configuration is busy
	// for up to 15 ms. To gather elsewhere counts as sending everything again.
	takenMs    clock.Millis = 20
	takenShare float64      = 0.25

	// silenceMs is how long a carrier may send nothing while an answer is late.
	silenceMs clock.Millis = 25

	// hopMs is kept from the time to the answer for the way back from a carrier
	// whose reports have not been timed, and maxHopMs from that of any other.
	hopMs    clock.Millis = 2
	maxHopMs clock.Millis = 12

	// Weights of one sample in the lag of a carrier's reports. A report that comes
	// after the target makes the whole answer late, so lag is learned fast.
	lagRise = 0.3
	lagFall = 0.03

	// Time for which a carrier is avoided after it failed. It doubles.
	firstCarrierAvoidMs clock.Millis = 500
	maxCarrierAvoidMs                = 8 * clock.Second
)

// group is the parts of one request that a carrier gathers.
type group struct {
	id      uint64
	req     *request
	carrier *peerVM
	parts   []*part
	sentAt  clock.Millis
	hop     clock.Millis // kept from the time to the answer
	answer  Answer       // the last one

	taken    bool         // the carrier has confirmed
	reported bool         // it has handed something back
	began    bool         // it has gathered something
	notBegun bool         // it states that it has not begun, or never got the group
	ended    bool         // nothing more is expected of it
	takenBy  clock.Millis // when it must have been confirmed
}

// hop returns how much sooner than the answer a carrier should report.
func (c *peerVM) hop() clock.Millis {
	if c.lag == 0 {
		return hopMs
	}
	return min(clock.Millis(c.lag)+1, maxHopMs)
}

// timed records how long after its time a report arrived.
func (c *peerVM) timed(lag clock.Millis) {
	sample, weight := float64(max(lag, 1)), lagFall
	if sample > c.lag {
		weight = lagRise
	}
	c.lag += weight * (sample - c.lag)
}

// expect notes how long a request of a route would take at a carrier.
func (c *peerVM) expect(now clock.Millis, route string, ms clock.Millis) {
	c.expected[route] = expectation{ms: ms, at: now}
}

// expectation is how long a request of one route would take at a carrier.
type expectation struct {
	ms clock.Millis
	at clock.Millis
}

// expectedMaxAgeMs is the age from which an expectation says nothing any more.
const expectedMaxAgeMs clock.Millis = 300

// wait returns how long a request of a route would take at a carrier from now.
// The queue that it saw has become shorter since, at most by the time that passed.
func (c *peerVM) wait(now clock.Millis, route string) clock.Millis {
	e, ok := c.expected[route]
	if age := now - e.at; ok && age < expectedMaxAgeMs {
		return max(e.ms-age, 0)
	}
	return 0
}

// hand gives parts of a request to a carrier.
func (m *Model) hand(now clock.Millis, r *request, c *peerVM, parts []*part) {
	m.nextID++
	g := &group{id: m.nextID, req: r, carrier: c, parts: parts, sentAt: now}
	g.takenBy = now + max(takenMs, clock.Millis(takenShare*float64(r.answerAt-now)))
	r.groups = append(r.groups, g)
	m.groups[g.id] = g
	c.open[g.id] = g
	g.hop = c.hop()
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = p.service.name
	}
	m.emit(DelegateCmd{Request: r.id, To: c.info.ID, Address: c.info.Address, Delegation: Delegation{
		ID: g.id, Version: r.version, Name: r.name, Host: r.host, Path: r.path, Services: names,
		RemainingMs: max(r.due-now-g.hop, 1), TargetInMs: max(r.answerAt-now-g.hop, 0), CallerRetry: r.returning,
	}})
	m.wake(r, g.takenBy)
}

// handedBack takes a carrier's answer.
func (m *Model) handedBack(now clock.Millis, msg DelegationResultMsg) {
	g := m.groupAt(msg.From, msg.Result.ID)
	if g == nil {
		return
	}
	if msg.Result.Partial && !g.reported {
		g.carrier.timed(now - (g.req.answerAt - g.hop))
	}
	g.taken, g.reported = true, true
	g.carrier.heardAt = now
	g.carrier.expect(now, g.req.route.Name, msg.Result.ExpectedMs)
	a, r := msg.Result.Answer, g.req
	switch a.Outcome {
	case Gathered:
		g.carrier.failures = 0
		g.began = true
		r.done += len(a.Receipts) - len(g.answer.Receipts)
		r.unresolved -= len(a.Receipts) - len(g.answer.Receipts)
		g.answer = a
		if !msg.Result.Partial {
			r.unresolved -= len(g.parts) - len(a.Receipts)
			m.endGroup(g)
		}
		m.advance(now, r)
	case Refused, Failed, TimedOut:
		r.unresolved -= len(g.parts) - len(g.answer.Receipts)
		r.refusedMs = max(r.refusedMs, a.RetryAfterMs)
		r.begun = r.begun || a.Outcome != Refused
		g.notBegun = a.Outcome == Refused && !g.began
		m.endGroup(g)
		m.advance(now, r)
	default:
		// The carrier has not begun: it stops, or its configuration is another.
		m.event("carrier_not_ready", r, nil, g.carrier.info.ID+" "+a.Reason, now-g.sentAt)
		g.carrier.failed(now)
		m.takeBack(now, g, false)
	}
}

// groupAt returns an open group of a carrier.
func (m *Model) groupAt(vm string, id uint64) *group {
	g := m.groups[id]
	if g == nil || g.carrier.info.ID != vm {
		return nil
	}
	return g
}

func (m *Model) taken(now clock.Millis, msg DelegationAckMsg) {
	if g := m.groupAt(msg.From, msg.ID); g != nil {
		g.taken = true
		g.carrier.heardAt = now
	}
}

// endGroup ends the tie to a carrier. Its answer, if any, stays with the request.
func (m *Model) endGroup(g *group) {
	g.ended = true
	delete(m.groups, g.id)
	delete(g.carrier.open, g.id)
}

// withdrawGroups ends all open groups of a request.
func (m *Model) withdrawGroups(r *request) {
	for _, g := range r.groups {
		if !g.ended {
			m.emit(CancelDelegationCmd{To: g.carrier.info.ID, ID: g.id})
			m.endGroup(g)
		}
	}
}

// watchCarriers takes groups back from carriers that seem lost.
func (m *Model) watchCarriers(now clock.Millis, r *request) {
	for _, g := range r.groups {
		if g.ended {
			continue
		}
		// A carrier reports when the answer becomes late, whatever it has by then.
		silentAt := max(r.answerAt, g.carrier.heardAt, g.sentAt) + silenceMs
		switch {
		case g.reported:
		case !g.taken && now >= g.takenBy:
			m.carrierLost(now, g, "not_taken")
		case !g.taken:
			m.wake(r, g.takenBy)
		case now >= silentAt:
			m.carrierLost(now, g, "silent")
		default:
			m.wake(r, silentAt)
		}
	}
}

// carrierLost takes a group back from a carrier that seems lost.
func (m *Model) carrierLost(now clock.Millis, g *group, cause string) {
	m.event("carrier_lost", g.req, nil, g.carrier.info.ID+" "+cause, now-g.sentAt)
	g.carrier.failed(now)
	m.emit(CancelDelegationCmd{To: g.carrier.info.ID, ID: g.id})
	m.takeBack(now, g, true)
}

// takeBack gathers the parts of a group here. If the carrier may have begun,
// each part counts as sent once, for the budget and for the number of attempts.
func (m *Model) takeBack(now clock.Millis, g *group, begun bool) {
	r := g.req
	m.endGroup(g)
	g.notBegun = !begun
	if r.answered || len(g.answer.Receipts) > 0 {
		// What it has given stays; the shards that it did not name are missing.
		r.unresolved -= len(g.parts) - len(g.answer.Receipts)
		m.advance(now, r)
		return
	}
	for _, p := range g.parts {
		r.parts = append(r.parts, p)
		if begun {
			p.arrivals, p.mayRun = 1, 1
			m.retry(now, p)
			continue
		}
		p.service.budget.need(now)
		m.place(now, p)
	}
	m.advance(now, r)
}

// unhanded takes back a group whose Delegation never left this VM.
func (m *Model) unhanded(now clock.Millis, msg DelegationNotSentMsg) {
	if g := m.groupAt(msg.To, msg.ID); g != nil {
		m.event("carrier_lost", g.req, nil, g.carrier.info.ID+" unreachable", now-g.sentAt)
		g.carrier.failed(now)
		m.takeBack(now, g, false)
	}
}

// peerDown takes back what a VM worked on when its connection broke.
func (m *Model) peerDown(now clock.Millis, vm string) {
	c := m.peers[vm]
	if c == nil {
		return
	}
	c.failed(now) // also without open groups: the next one would be lost
	for _, g := range c.sorted() {
		m.event("carrier_lost", g.req, nil, c.info.ID+" connection_broke", now-g.sentAt)
		m.takeBack(now, g, true)
	}
}

// confirm tells the VM that handed a request over whether this one takes it.
func (m *Model) confirm(msg ArrivalMsg) bool {
	reason := ""
	switch {
	case m.table == nil || m.table.Version() < msg.Delegation.Version:
		reason = "older_configuration"
	case m.stopAt > 0:
		reason = "stopping"
	}
	if reason != "" {
		m.emit(AnswerCmd{ID: msg.ID, Answer: Answer{Outcome: NotReady, Reason: reason}})
		return false
	}
	m.carries = true
	m.emit(AckDelegationCmd{ID: msg.ID})
	return true
}
