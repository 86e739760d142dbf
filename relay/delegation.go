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
	// ackTimeoutMs is how long a carrier may take to confirm, or takenShare of the time
	// to the target if that is longer. The way there and back takes 2 ms between the
	// users' data centres, and a carrier that takes over a new configuration is busy
	// for up to 15 ms. To gather elsewhere counts as sending everything again.
	ackTimeoutMs    clock.Millis = 20
	ackTimeoutShare float64      = 0.25

	// resultTimeoutMs is how long a carrier may send nothing while an answer is late.
	resultTimeoutMs clock.Millis = 25

	// defaultLeadMs is kept from the time to the answer for the way back from a carrier
	// whose reports have not been timed, and maxHopMs from that of any other.
	defaultLeadMs clock.Millis = 2
	maxLeadMs     clock.Millis = 12

	// Weights of one sample in the lag of a carrier's reports. A report that comes
	// after the target makes the whole answer late, so lag is learned fast.
	lagRiseWeight = 0.3
	lagFallWeight = 0.03

	// Time for which a carrier is avoided after it failed. It doubles.
	firstCarrierAvoidMs clock.Millis = 500
	maxCarrierAvoidMs                = 8 * clock.Second
)

// delegation is the parts of one request that a carrier gathers.
type delegation struct {
	id          uint64
	req         *request
	carrier     *peerVM
	subrequests []*subrequest
	sentAt      clock.Millis
	leadMs      clock.Millis // kept from the time to the answer
	result      Answer       // the last one

	acked          bool         // the carrier has confirmed
	resultReceived bool         // it has handed something back
	started        bool         // it has gathered something
	notStarted     bool         // it states that it has not begun, or never got the group
	ended          bool         // nothing more is expected of it
	ackDeadline    clock.Millis // when it must have been confirmed
}

// leadMs returns how much sooner than the answer a carrier should report.
func (c *peerVM) leadMs() clock.Millis {
	if c.resultLagMs == 0 {
		return defaultLeadMs
	}
	return min(clock.Millis(c.resultLagMs)+1, maxLeadMs)
}

// recordLag records how long after its time a report arrived.
func (c *peerVM) recordLag(lag clock.Millis) {
	sample, weight := float64(max(lag, 1)), lagFallWeight
	if sample > c.resultLagMs {
		weight = lagRiseWeight
	}
	c.resultLagMs += weight * (sample - c.resultLagMs)
}

// setEstimate notes how long a request of a route would take at a carrier.
func (c *peerVM) setEstimate(now clock.Millis, route string, ms clock.Millis) {
	c.estimates[route] = estimate{ms: ms, at: now}
}

// estimate is how long a request of one route would take at a carrier.
type estimate struct {
	ms clock.Millis
	at clock.Millis
}

// estimateMaxAgeMs is the age from which an expectation says nothing any more.
const estimateMaxAgeMs clock.Millis = 300

// estimateFor returns how long a request of a route would take at a carrier from now.
// The queue that it saw has become shorter since, at most by the time that passed.
func (c *peerVM) estimateFor(now clock.Millis, route string) clock.Millis {
	e, ok := c.estimates[route]
	if age := now - e.at; ok && age < estimateMaxAgeMs {
		return max(e.ms-age, 0)
	}
	return 0
}

// delegate gives parts of a request to a carrier.
func (m *Model) delegate(now clock.Millis, r *request, c *peerVM, subrequests []*subrequest) {
	m.nextID++
	d := &delegation{id: m.nextID, req: r, carrier: c, subrequests: subrequests, sentAt: now}
	d.ackDeadline = now + max(ackTimeoutMs, clock.Millis(ackTimeoutShare*float64(r.targetAt-now)))
	r.delegations = append(r.delegations, d)
	m.delegations[d.id] = d
	c.delegations[d.id] = d
	d.leadMs = c.leadMs()
	names := make([]string, len(subrequests))
	for i, sub := range subrequests {
		names[i] = sub.service.name
	}
	m.emit(DelegateCmd{Request: r.id, To: c.info.ID, Address: c.info.Address, Delegation: Delegation{
		ID: d.id, Version: r.version, Name: r.name, Host: r.host, Path: r.path, Services: names,
		RemainingMs: max(r.deadline-now-d.leadMs, 1), TargetInMs: max(r.targetAt-now-d.leadMs, 0), CallerRetry: r.callerRetry,
	}})
	m.wake(r, d.ackDeadline)
}

// handleResult takes a carrier's answer.
func (m *Model) handleResult(now clock.Millis, msg DelegationResultMsg) {
	d := m.openDelegation(msg.From, msg.Result.ID)
	if d == nil {
		return
	}
	if msg.Result.Partial && !d.resultReceived {
		d.carrier.recordLag(now - (d.req.targetAt - d.leadMs))
	}
	d.acked, d.resultReceived = true, true
	d.carrier.lastMessageAt = now
	d.carrier.setEstimate(now, d.req.route.Name, msg.Result.ExpectedMs)
	a, r := msg.Result.Answer, d.req
	switch a.Outcome {
	case Gathered:
		d.carrier.failures = 0
		d.started = true
		r.succeeded += len(a.Receipts) - len(d.result.Receipts)
		r.unresolved -= len(a.Receipts) - len(d.result.Receipts)
		d.result = a
		if !msg.Result.Partial {
			r.unresolved -= len(d.subrequests) - len(a.Receipts)
			m.endDelegation(d)
		}
		m.advance(now, r)
	case Refused, Failed, TimedOut:
		r.unresolved -= len(d.subrequests) - len(d.result.Receipts)
		r.retryAfterMs = max(r.retryAfterMs, a.RetryAfterMs)
		r.carrierMayHaveRun = r.carrierMayHaveRun || a.Outcome != Refused
		d.notStarted = a.Outcome == Refused && !d.started
		m.endDelegation(d)
		m.advance(now, r)
	default:
		// The carrier has not begun: it stops, or its configuration is another.
		m.event("carrier_not_ready", r, nil, d.carrier.info.ID+" "+a.Reason, now-d.sentAt)
		d.carrier.recordFailure(now)
		m.reclaim(now, d, false)
	}
}

// openDelegation returns an open group of a carrier.
func (m *Model) openDelegation(vm string, id uint64) *delegation {
	d := m.delegations[id]
	if d == nil || d.carrier.info.ID != vm {
		return nil
	}
	return d
}

func (m *Model) handleAck(now clock.Millis, msg DelegationAckMsg) {
	if d := m.openDelegation(msg.From, msg.ID); d != nil {
		d.acked = true
		d.carrier.lastMessageAt = now
	}
}

// endDelegation ends the tie to a carrier. Its answer, if any, stays with the request.
func (m *Model) endDelegation(d *delegation) {
	d.ended = true
	delete(m.delegations, d.id)
	delete(d.carrier.delegations, d.id)
}

// cancelDelegations ends all open groups of a request.
func (m *Model) cancelDelegations(r *request) {
	for _, d := range r.delegations {
		if !d.ended {
			m.emit(CancelDelegationCmd{To: d.carrier.info.ID, ID: d.id})
			m.endDelegation(d)
		}
	}
}

// checkCarriers takes groups back from carriers that seem lost.
func (m *Model) checkCarriers(now clock.Millis, r *request) {
	for _, d := range r.delegations {
		if d.ended {
			continue
		}
		// A carrier reports when the answer becomes late, whatever it has by then.
		timeoutAt := max(r.targetAt, d.carrier.lastMessageAt, d.sentAt) + resultTimeoutMs
		switch {
		case d.resultReceived:
		case !d.acked && now >= d.ackDeadline:
			m.carrierLost(now, d, "not_taken")
		case !d.acked:
			m.wake(r, d.ackDeadline)
		case now >= timeoutAt:
			m.carrierLost(now, d, "silent")
		default:
			m.wake(r, timeoutAt)
		}
	}
}

// carrierLost takes a group back from a carrier that seems lost.
func (m *Model) carrierLost(now clock.Millis, d *delegation, cause string) {
	m.event("carrier_lost", d.req, nil, d.carrier.info.ID+" "+cause, now-d.sentAt)
	d.carrier.recordFailure(now)
	m.emit(CancelDelegationCmd{To: d.carrier.info.ID, ID: d.id})
	m.reclaim(now, d, true)
}

// reclaim gathers the parts of a group here. If the carrier may have begun,
// each part counts as sent once, for the budget and for the number of attempts.
func (m *Model) reclaim(now clock.Millis, d *delegation, mayHaveRun bool) {
	r := d.req
	m.endDelegation(d)
	d.notStarted = !mayHaveRun
	if r.answered || len(d.result.Receipts) > 0 {
		// What it has given stays; the shards that it did not name are missing.
		r.unresolved -= len(d.subrequests) - len(d.result.Receipts)
		m.advance(now, r)
		return
	}
	for _, sub := range d.subrequests {
		r.subrequests = append(r.subrequests, sub)
		if mayHaveRun {
			sub.deliveries, sub.mayRun = 1, 1
			m.retry(now, sub)
			continue
		}
		sub.service.budget.countRequest(now)
		m.dispatch(now, sub)
	}
	m.advance(now, r)
}

// handleNotSent takes back a group whose Delegation never left this VM.
func (m *Model) handleNotSent(now clock.Millis, msg DelegationNotSentMsg) {
	if d := m.openDelegation(msg.To, msg.ID); d != nil {
		m.event("carrier_lost", d.req, nil, d.carrier.info.ID+" unreachable", now-d.sentAt)
		d.carrier.recordFailure(now)
		m.reclaim(now, d, false)
	}
}

// handlePeerDisconnected takes back what a VM worked on when its connection broke.
func (m *Model) handlePeerDisconnected(now clock.Millis, vm string) {
	c := m.peers[vm]
	if c == nil {
		return
	}
	c.recordFailure(now) // also without open groups: the next one would be lost
	for _, d := range c.sortedDelegations() {
		m.event("carrier_lost", d.req, nil, c.info.ID+" connection_broke", now-d.sentAt)
		m.reclaim(now, d, true)
	}
}

// acceptDelegation tells the VM that handed a request over whether this one takes it.
func (m *Model) acceptDelegation(msg ArrivalMsg) bool {
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
	m.selfIsCarrier = true
	m.emit(AckDelegationCmd{ID: msg.ID})
	return true
}
