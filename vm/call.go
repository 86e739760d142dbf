package vm

import (
	"fmt"
	"strconv"

	"lentillink.example/lentillink/admission"
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/query"
	"lentillink.example/lentillink/timeline"
)

// Reasons of the refusals that Core itself decides. Package admission defines
// the others.
const (
	ReasonNotReady        = "not_ready"
	ReasonUnknownService  = "unknown_service"
	ReasonOrderInProgress = "order_in_progress"
)

const notReadyRetryMs clock.Millis = 1000

func (c *Core) startQuery(now clock.Millis, m QueryMsg) {
	cl := &call{query: m, rank: m.Rank, service: m.Service, arrivedAt: now}
	if reason := c.notReadyReason(m.Service); reason != "" {
		c.event(now, timeline.Event{Kind: timeline.Refused, Request: m.ID, Rank: m.Rank.String(), Detail: reason})
		c.answerQuery(now, m.CallID, cl, QueryAnswer{Outcome: Refused, Execution: attempt.NotExecuted, Reason: reason, RetryAfterMs: notReadyRetryMs})
		return
	}
	c.requestAdmission(now, m.CallID, cl, m.BudgetMs, c.services[m.Service].groups)
}

func (c *Core) startOrder(now clock.Millis, m OrderMsg) {
	cl := &call{order: m, isOrder: true, rank: m.Rank, service: m.Service, arrivedAt: now}
	if reason := c.notReadyReason(m.Service); reason != "" {
		c.event(now, timeline.Event{Kind: timeline.Refused, Request: m.ID, Rank: m.Rank.String(), Detail: reason})
		c.answerOrder(now, m.CallID, cl, OrderAnswer{Outcome: order.OutcomeRefused, Execution: attempt.NotExecuted, Reason: reason, RetryAfterMs: notReadyRetryMs})
		return
	}
	if _, open := c.openOrderCalls[m.ID]; open {
		c.answerOrder(now, m.CallID, cl, OrderAnswer{Outcome: order.OutcomeAlreadySubmitted, Reason: ReasonOrderInProgress})
		return
	}
	c.openOrderCalls[m.ID] = m.CallID
	c.requestAdmission(now, m.CallID, cl, 0, 1)
}

func (c *Core) notReadyReason(service string) string {
	switch {
	case c.services[service] == nil:
		return ReasonUnknownService
	case !c.stopping && !c.fleet.Ready():
		return ReasonNotReady
	}
	return ""
}

// requestAdmission submits the request to admission control, which decides on
// it once.
func (c *Core) requestAdmission(now clock.Millis, callID uint64, cl *call, budget clock.Millis, cost int) {
	maxDeadline := c.preset.Policy(cl.rank).DeadlineMs
	cl.budget = maxDeadline
	if budget > 0 {
		cl.budget = min(budget, maxDeadline)
	}
	cl.preset, cl.revision = c.preset.Name, c.revision
	c.calls[callID] = cl
	c.enqueue(admission.ArrivalMsg{ID: callKey(callID), Rank: cl.rank, Service: cl.service, Cost: cost, Deadline: now + cl.budget})
}

func (c *Core) handleAdmissionCmds(now clock.Millis, cmds []admission.Cmd) {
	for _, cmd := range cmds {
		switch m := cmd.(type) {
		case admission.AdmitCmd:
			c.startAdmitted(now, m)
		case admission.RefuseCmd:
			c.answerRefused(now, m)
		case admission.EventCmd:
			c.event(now, m.Event)
		}
	}
	c.updateOverload()
}

// updateOverload disables hedging for services that have queued requests and
// enables it again once their queues are empty.
func (c *Core) updateOverload() {
	for _, s := range c.serviceList {
		if overloaded := c.admission.QueuedTotal(s.name) > 0; overloaded != s.overloaded {
			s.overloaded = overloaded
			c.enqueue(query.OverloadMsg{Service: s.name, Overloaded: overloaded})
		}
	}
}

// startAdmitted starts an admitted request. It records an event only for a
// request that was queued; one event per request would fill the event ring.
func (c *Core) startAdmitted(now clock.Millis, m admission.AdmitCmd) {
	callID, cl := c.callByKey(m.ID)
	if cl == nil {
		return
	}
	cl.running = true
	if m.WaitedMs > 0 {
		c.event(now, timeline.Event{
			Kind: timeline.Admitted, Request: m.ID, Rank: cl.rank.String(), Detail: fmt.Sprintf("waited %d ms", m.WaitedMs),
		})
	}
	// A queued request runs under the preset in force now, not at its arrival.
	cl.preset, cl.revision = c.preset.Name, c.revision
	if cl.isOrder {
		c.enqueue(order.SubmitMsg{
			CallID: callID, ID: cl.order.ID, Rank: cl.rank, Service: cl.service, Group: cl.order.Group,
			Body: cl.order.Body, Customer: cl.order.Customer, Deadline: m.Deadline, Outage: c.preset.OrdersOnStoreOutage,
		})
		return
	}
	policy := c.preset.Policy(cl.rank)
	coverage := cl.query.MinCoverage
	if coverage < 0 {
		coverage = policy.MinCoveragePercent
	}
	c.enqueue(query.StartMsg{
		ID: m.ID, Rank: cl.rank, Service: cl.service, Body: cl.query.Body, Customer: cl.query.Customer, Deadline: m.Deadline,
		MinCoverage: coverage, Priority: c.rng.Uint32(), Policy: policy, Preset: c.preset.Name, Revision: c.revision,
	})
}

func (c *Core) answerRefused(now clock.Millis, m admission.RefuseCmd) {
	callID, cl := c.callByKey(m.ID)
	switch {
	case cl == nil:
	case cl.isOrder:
		c.answerOrder(now, callID, cl, OrderAnswer{
			Outcome: order.OutcomeRefused, Execution: attempt.NotExecuted, Reason: m.Reason.String(), RetryAfterMs: m.RetryAfterMs,
		})
	default:
		c.answerQuery(now, callID, cl, QueryAnswer{
			Outcome: Refused, Execution: attempt.NotExecuted, Reason: m.Reason.String(), RetryAfterMs: m.RetryAfterMs,
		})
	}
}

func (c *Core) callByKey(id string) (uint64, *call) {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return 0, nil
	}
	return n, c.calls[n]
}

// callerDisconnected stops the query of a caller that disconnected.
// An order continues, because its claim must reach a final state.
func (c *Core) callerDisconnected(callID uint64) {
	cl := c.calls[callID]
	if cl == nil || cl.isOrder || cl.disconnected {
		return
	}
	cl.disconnected = true
	if !cl.running {
		c.enqueue(admission.CancelMsg{ID: callKey(callID)})
		delete(c.calls, callID)
		return
	}
	c.enqueue(query.CallerDisconnectedMsg{ID: callKey(callID)})
	c.enqueue(admission.DoneMsg{ID: callKey(callID)})
	delete(c.calls, callID)
}

func (c *Core) queryAnswered(now clock.Millis, a query.Answer) {
	callID, cl := c.callByKey(a.ID)
	if cl == nil {
		return
	}
	c.enqueue(admission.DoneMsg{ID: a.ID, QueueMs: a.MeanQueueMs, ServiceMs: a.MeanServiceMs, ElapsedMs: a.TookMs, Overloaded: a.Overloaded})
	c.answerQuery(now, callID, cl, QueryAnswer{
		Outcome: Outcome(a.Outcome), Execution: a.Execution, Snapshot: a.Snapshot, Expected: a.Expected, Covered: a.Covered,
		Missing: a.Missing, Rows: a.Rows, Reason: a.Reason, Attempts: a.Attempts, AttemptsNeeded: a.AttemptsNeeded,
	})
}

func (c *Core) answerQuery(now clock.Millis, callID uint64, cl *call, a QueryAnswer) {
	a.ID, a.Rank, a.Service, a.TookMs = cl.query.ID, cl.rank, cl.service, now-cl.arrivedAt
	a.Preset, a.Revision = cl.preset, cl.revision
	delete(c.calls, callID)
	if a.Outcome == Partial || a.Outcome == Failed {
		c.event(now, timeline.Event{
			Kind: timeline.Answered, Request: a.ID, Rank: a.Rank.String(), Revision: a.Revision,
			Detail: string(a.Outcome) + " " + a.Reason,
		})
	}
	c.emit(AnswerQueryCmd{CallID: callID, Answer: a})
}

func (c *Core) orderAnswered(now clock.Millis, a order.Answer) {
	cl := c.calls[a.CallID]
	if cl == nil {
		return
	}
	c.enqueue(admission.DoneMsg{ID: callKey(a.CallID), ElapsedMs: now - cl.arrivedAt})
	c.answerOrder(now, a.CallID, cl, OrderAnswer{
		Outcome: a.Outcome, Execution: a.Execution, Reason: string(a.Reason), RetryAfterMs: a.RetryAfter, Body: a.Body,
	})
}

func (c *Core) answerOrder(now clock.Millis, callID uint64, cl *call, a OrderAnswer) {
	a.ID, a.Rank, a.Service, a.TookMs = cl.order.ID, cl.rank, cl.service, now-cl.arrivedAt
	a.Preset, a.Revision = cl.preset, cl.revision
	delete(c.calls, callID)
	if c.openOrderCalls[a.ID] == callID {
		delete(c.openOrderCalls, a.ID)
	}
	c.event(now, timeline.Event{
		Kind: timeline.Answered, Request: a.ID, Rank: a.Rank.String(), Revision: a.Revision,
		Detail: "order " + string(a.Outcome) + " " + a.Reason,
	})
	c.emit(AnswerOrderCmd{CallID: callID, Answer: a})
}
