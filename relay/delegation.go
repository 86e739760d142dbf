package relay

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/cost"
	"lentillink.example/lentillink/lag"
)

// Delegation asks a carrier to gather some sub-requests of a request. A carrier
// sends nearly all work of the upstreams in its data centre, so it has the best view
// of which of them are free. One message crosses data centres instead of one per
// sub-request.
//
// It holds all that the work depends on, so that the carrier does not need the
// configuration version of the VM that delegates. The carrier's own version may be
// older or newer, and have another route for the request, or none.
type Delegation struct {
	ID          uint64 // of the delegation at the VM that delegates
	Version     uint64 // configuration version under which the request was admitted
	Name        string
	Services    []string // shards to gather, of one version of the configuration; none in a probe
	Terms       Terms
	Head        []byte // request line and headers as sent to upstreams; filled in by the runtime
	Body        []byte
	RemainingMs clock.Millis
	TargetInMs  clock.Millis // time until the result is due
	LateInMs    clock.Millis // time until the route's target has passed, negative after it; for the order in queues
	Limits      Limits
	CostKeys    cost.Keys // of the request; zero if its VM does not place by cost
}

// Terms are the conditions of the route under which a request was admitted, as far as
// gathering its shards depends on them.
type Terms struct {
	Route         string       // name of the route, for events and latency estimates
	TargetMs      clock.Millis // of the route
	Priority      int          // 0 is the most urgent
	MaxAttempts   int          // per shard, at least 1
	TopK          int          // number of records in the result
	MinShardRatio float64      // share of the shards, 0 to 1, that an answer needs

	// Customer is the one that the VM reached by the caller has found; empty if there is
	// none. Carriers see no key.
	Customer         string
	CustomerPriority int // 0 is the most urgent
}

// DelegationAck acknowledges a Delegation on arrival.
type DelegationAck struct{ ID uint64 }

// DelegationResult is the result of a Delegation. The answer does not name missing
// shards: those without a receipt are missing. A later DelegationResult replaces one
// with Partial set.
type DelegationResult struct {
	ID         uint64
	Answer     Answer
	Partial    bool
	ExpectedMs clock.Millis // estimated latency of another request of this route at the carrier
	Throttled  []Throttled  // customers above their share at the carrier, at most MaxThrottled
}

// DelegationCancel cancels a Delegation whose answer is no longer needed.
type DelegationCancel struct{ ID uint64 }

// PeerBody marks a message between VMs.
func (Delegation) PeerBody() {}

// PeerBody marks a message between VMs.
func (DelegationAck) PeerBody() {}

// PeerBody marks a message between VMs.
func (DelegationResult) PeerBody() {}

// PeerBody marks a message between VMs.
func (DelegationCancel) PeerBody() {}

const (
	// ackTimeoutMs is how long a carrier may take to acknowledge, or ackTimeoutShare
	// of the time to the target if that is longer. The round trip takes 2 ms between
	// the users' data centres, and a carrier that loads a new configuration is busy
	// for up to 15 ms. A timeout that is too short is costly: sub-requests that another
	// VM gathers instead count as sent again.
	ackTimeoutMs    clock.Millis = 20
	ackTimeoutShare float64      = 0.25

	// resultTimeoutMs is how long a carrier may send no message once the target time
	// has passed.
	resultTimeoutMs clock.Millis = 25

	// A carrier that has acknowledged, and has sent no result when silentProbeShare of the
	// time to the target has passed, is probed. It is lost at silentShare if it has sent no
	// message since the probe. If less than minSilentMs is between the two, there is no
	// probe: a busy carrier could not be told from a lost one.
	silentProbeShare              = 0.5
	silentShare                   = 0.75
	minSilentMs      clock.Millis = 100

	// initialLagMs is the result lag that is assumed before any has been measured: the trip
	// back between data centres, and the work of both VMs. maxLeadMs limits what is
	// subtracted from the time to the target for a lag.
	initialLagMs              = 4.0
	maxLeadMs    clock.Millis = 12

	// A carrier is avoided for this time after a failure. The time doubles with each
	// further failure in a row.
	firstCarrierAvoidMs clock.Millis = 500
	maxCarrierAvoidMs                = 8 * clock.Second
)

// delegation is a set of sub-requests of one request that a carrier gathers.
type delegation struct {
	id          uint64
	req         *request
	carrier     *peerVM
	subrequests []*subrequest
	sentAt      clock.Millis
	leadMs      clock.Millis // subtracted from the time to the target
	result      Answer       // latest one

	acked          bool         // the carrier has acknowledged
	resultReceived bool         // the carrier has sent at least one result
	started        bool         // the carrier has gathered at least one reply
	notStarted     bool         // the carrier reported that nothing ran, or never received the delegation
	ended          bool         // no further message is expected
	ackDeadline    clock.Millis // when the carrier must have acknowledged
	ackedAt        clock.Millis // when its acknowledgement arrived
	probeAt        clock.Millis // when to probe the carrier
	probed         bool         // probeAt has passed
	silentAt       clock.Millis // earliest time at which a silent carrier is lost, 0 for the target
}

// leadMs returns how long before the target a carrier should send its result. In a large
// fleet most requests go to carriers whose lag this VM has not measured; the lag of all
// others stands in for it.
func (m *Model) leadMs(c *peerVM) clock.Millis {
	ms := c.resultLagMs
	if ms == 0 {
		ms = m.resultLagMs
	}
	return min(clock.Millis(ms)+1, maxLeadMs)
}

// recordLag records how late a carrier's partial result arrived. A result that was due
// before the carrier had the delegation shows nothing: its caller states little time.
func (m *Model) recordLag(c *peerVM, late clock.Millis) {
	if c.resultLagMs == 0 {
		c.resultLagMs = m.resultLagMs
	}
	sample := float64(max(late, 1))
	c.resultLagMs = lag.Track(c.resultLagMs, sample)
	m.resultLagMs = lag.Track(m.resultLagMs, sample)
}

// delegate sends sub-requests of a request to a carrier.
func (m *Model) delegate(now clock.Millis, r *request, c *peerVM, subrequests []*subrequest) {
	m.nextID++
	d := &delegation{id: m.nextID, req: r, carrier: c, subrequests: subrequests, sentAt: now}
	toTarget := float64(r.targetAt - now)
	d.ackDeadline = now + max(ackTimeoutMs, clock.Millis(ackTimeoutShare*toTarget))
	if probeAt, silentAt := now+clock.Millis(silentProbeShare*toTarget), now+clock.Millis(silentShare*toTarget); silentAt-probeAt >= minSilentMs {
		d.probeAt, d.silentAt = probeAt, silentAt
	}
	r.delegations = append(r.delegations, d)
	m.delegations[d.id] = d
	c.delegations[d.id] = d
	d.leadMs = m.leadMs(c)
	names := make([]string, len(subrequests))
	for i, sub := range subrequests {
		names[i] = sub.service.name
	}
	m.emit(DelegateCmd{Request: r.id, To: c.info.ID, Address: c.info.Address, Delegation: Delegation{
		ID: d.id, Version: r.version, Name: r.name, Services: names, Terms: r.terms(),
		RemainingMs: max(r.deadline-now-d.leadMs, 1), TargetInMs: max(r.targetAt-now-d.leadMs, 0), LateInMs: r.lateAt - now,
		Limits: m.limitsFor(now, subrequests), CostKeys: r.costKeys,
	}})
	m.wake(r, d.ackDeadline)
}

// handleResult applies a carrier's result.
func (m *Model) handleResult(now clock.Millis, msg DelegationResultMsg) {
	d := m.openDelegation(msg.From, msg.Result.ID)
	if d == nil {
		return
	}
	if dueAt := d.req.targetAt - d.leadMs; msg.Result.Partial && !d.resultReceived && d.acked && d.ackedAt <= dueAt {
		m.recordLag(d.carrier, now-dueAt)
	}
	m.heardFrom(now, d.carrier.info.DataCentre)
	d.acked, d.resultReceived = true, true
	d.carrier.recordMessage(now)
	d.carrier.setEstimate(now, d.req, msg.Result.ExpectedMs)
	d.carrier.setThrottled(now, msg.Result.Throttled)
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
		m.settle(now, r)
	case Refused, Failed, TimedOut:
		r.unresolved -= len(d.subrequests) - len(d.result.Receipts)
		r.retryAfterMs = max(r.retryAfterMs, a.RetryAfterMs)
		r.carrierMayHaveRun = r.carrierMayHaveRun || a.Outcome != Refused
		d.notStarted = a.Outcome == Refused && !d.started
		m.endDelegation(d)
		m.settle(now, r)
	default:
		// The carrier ran nothing: it is stopping, or does not know a shard yet.
		m.event("carrier_not_ready", r, nil, d.carrier.info.ID+" "+a.Reason, now-d.sentAt)
		d.carrier.recordFailure(now)
		m.reclaim(now, d, false)
	}
}

// openDelegation returns an open delegation by carrier and ID, or nil.
func (m *Model) openDelegation(vm string, id uint64) *delegation {
	d := m.delegations[id]
	if d == nil || d.carrier.info.ID != vm {
		return nil
	}
	return d
}

func (m *Model) handleAck(now clock.Millis, msg DelegationAckMsg) {
	if c := m.peers[msg.From]; c != nil {
		m.heardFrom(now, c.info.DataCentre)
		c.suspect = false // also after a late acknowledgement, or that of a probe
		c.recordMessage(now)
	}
	if d := m.openDelegation(msg.From, msg.ID); d != nil {
		d.acked, d.ackedAt = true, now
		d.carrier.recordMessage(now)
	}
}

// endDelegation closes a delegation. Its result, if any, stays with the request.
func (m *Model) endDelegation(d *delegation) {
	d.ended = true
	delete(m.delegations, d.id)
	delete(d.carrier.delegations, d.id)
}

// cancelDelegations cancels all open delegations of a request.
func (m *Model) cancelDelegations(r *request) {
	for _, d := range r.delegations {
		if !d.ended {
			m.emit(CancelDelegationCmd{To: d.carrier.info.ID, ID: d.id})
			m.endDelegation(d)
		}
	}
}

// probeMs is the time between two probes of a suspect VM.
const probeMs clock.Millis = 500

// probeSuspects asks the VMs that may have failed, and are no longer avoided, for an
// acknowledgement. A query that was delegated instead would be lost with a carrier that
// is still not there.
func (m *Model) probeSuspects(now clock.Millis, r *request) {
	m.probeUnreachable(now, r)
	for _, id := range m.vmIDs {
		c := m.peers[id]
		if !c.suspect || now < c.avoidUntil || now < c.probeAt || id == m.cfg.self {
			continue
		}
		c.probeAt = now + probeMs
		m.probe(now, r, c)
	}
}

// probe asks a carrier for an acknowledgement, on behalf of a request.
func (m *Model) probe(now clock.Millis, r *request, c *peerVM) {
	c.probedAt, c.probeOpen = now, true
	m.nextID++
	m.emit(DelegateCmd{Request: r.id, To: c.info.ID, Address: c.info.Address, Delegation: Delegation{
		ID: m.nextID, Version: r.version, Name: r.name, RemainingMs: probeMs,
	}})
}

// checkSilent reports whether the carrier of an acknowledged delegation has been silent for
// so long that it is lost. It probes the carrier once before, and sets the next timer.
func (m *Model) checkSilent(now clock.Millis, d *delegation) bool {
	if d.silentAt == 0 {
		return false
	}
	if now < d.probeAt {
		m.wake(d.req, d.probeAt)
		return false
	}
	if !d.probed && !d.carrier.probeOpen {
		m.probe(now, d.req, d.carrier)
	}
	d.probed = true
	if !d.carrier.probeOpen {
		return false
	}
	lostAt := max(d.silentAt, d.carrier.probedAt+minSilentMs)
	if now < lostAt {
		m.wake(d.req, lostAt)
	}
	return now >= lostAt
}

// checkCarriers reclaims the delegations of carriers that have timed out.
func (m *Model) checkCarriers(now clock.Millis, r *request) {
	m.noteSilentCarriers(now, r)
	for _, d := range r.delegations {
		if d.ended {
			continue
		}
		// A carrier sends a result at the target time, also if it has no reply yet.
		timeoutAt := max(r.targetAt, d.carrier.lastMessageAt, d.sentAt) + resultTimeoutMs
		switch {
		case d.resultReceived:
		case !d.acked && now >= d.ackDeadline:
			m.carrierLost(now, d, "not_taken")
		case !d.acked:
			m.wake(r, d.ackDeadline)
		case now >= timeoutAt || m.checkSilent(now, d):
			m.carrierLost(now, d, "silent")
		default:
			m.wake(r, timeoutAt)
		}
	}
}

// carrierLost cancels and reclaims a delegation whose carrier has timed out.
func (m *Model) carrierLost(now clock.Millis, d *delegation, cause string) {
	m.event("carrier_lost", d.req, nil, d.carrier.info.ID+" "+cause, now-d.sentAt)
	d.carrier.recordFailure(now)
	m.emit(CancelDelegationCmd{To: d.carrier.info.ID, ID: d.id})
	m.reclaim(now, d, true)
}

// reclaim gathers the sub-requests of a delegation on this VM. If they may have run
// at the carrier, each counts as sent once, for the budget and for the number of
// attempts.
func (m *Model) reclaim(now clock.Millis, d *delegation, mayHaveRun bool) {
	r := d.req
	m.endDelegation(d)
	d.notStarted = !mayHaveRun
	if r.answered || len(d.result.Receipts) > 0 {
		// The replies in the result are kept. Shards without a receipt are missing.
		r.unresolved -= len(d.subrequests) - len(d.result.Receipts)
		m.settle(now, r)
		return
	}
	for _, sub := range d.subrequests {
		r.subrequests = append(r.subrequests, sub)
		if mayHaveRun {
			sub.deliveries, sub.possibleRuns, sub.reclaimed = 1, 1, true
			// The preset bounds retries by the sub-requests that this VM gathers, which are
			// few on a VM that delegates. The fleet's budget holds.
			m.retryWithin(now, sub, false)
			continue
		}
		sub.service.budget.CountRequest(now)
		m.dispatch(now, sub)
	}
	m.settle(now, r)
}

// handleNotSent reclaims a delegation whose message never left this VM.
func (m *Model) handleNotSent(now clock.Millis, msg DelegationNotSentMsg) {
	if d := m.openDelegation(msg.To, msg.ID); d != nil {
		m.event("carrier_lost", d.req, nil, d.carrier.info.ID+" unreachable", now-d.sentAt)
		d.carrier.recordFailure(now)
		m.reclaim(now, d, false)
	}
}

// handlePeerDisconnected reclaims all delegations of a VM whose connection broke.
func (m *Model) handlePeerDisconnected(now clock.Millis, vm string) {
	for _, c := range []*peerVM{m.peers[vm], m.leftPeers[vm]} {
		if c == nil {
			continue
		}
		c.recordFailure(now) // also without open delegations: the next one would be lost
		for _, d := range c.sortedDelegations() {
			m.event("carrier_lost", d.req, nil, c.info.ID+" connection_broke", now-d.sentAt)
			m.reclaim(now, d, true)
		}
	}
	delete(m.leftPeers, vm)
}
