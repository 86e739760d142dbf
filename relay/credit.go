package relay

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/customer"
	"lentillink.example/lentillink/quota"
)

// parkedRequest waits for the credit of its customer. Nothing of it has run.
type parkedRequest struct {
	msg ArrivalMsg
	req *request
}

// acquireCredit asks for the credit of a request whose customer has a limit, and parks it.
// It returns false if the request needs none.
func (m *Model) acquireCredit(msg ArrivalMsg, r *request, c *customer.Customer) bool {
	limit, ok := creditLimit(r, c)
	if !ok {
		return false
	}
	m.parked[msg.ID] = parkedRequest{msg: msg, req: r}
	m.emit(CreditCmd{Request: msg.ID, Limit: limit})
	return true
}

// creditLimit returns the limit of a request's customer, if it has one.
func creditLimit(r *request, c *customer.Customer) (quota.Limit, bool) {
	if c == nil || c.RatePerS <= 0 {
		return quota.Limit{}, false
	}
	return quota.Limit{Customer: c.Name, Rate: c.RatePerS, Burst: c.Burst, Version: r.version}, true
}

// handleCredit resumes or refuses a parked request.
func (m *Model) handleCredit(now clock.Millis, t CreditMsg) {
	p, ok := m.parked[t.Request]
	if !ok {
		return
	}
	delete(m.parked, t.Request)
	r := p.req
	switch {
	case t.Granted:
		r.hasCredit = true
		if m.stillInTime(now, p.msg, r) {
			m.admitInTime(now, p.msg, r)
		}
	case t.OverLimit:
		m.reject(p.msg, Answer{Outcome: OverLimit, Reason: "over_limit", Route: r.route.Name, Version: r.version, RetryAfterMs: t.RetryAfterMs})
	default:
		m.refuse(p.msg, r, "no_credit", m.retryAfter(t.RetryAfterMs, r.deadline-now))
	}
}

// cancelParked deletes a parked request whose caller has gone.
func (m *Model) cancelParked(now clock.Millis, id uint64) {
	p, ok := m.parked[id]
	if !ok {
		return
	}
	delete(m.parked, id)
	m.event("caller_gone", p.req, nil, "", now-p.req.arrived)
	m.emit(CancelCreditCmd{Request: id})
}

// returnCredit returns the credit of a request that has ended and did not run.
func (m *Model) returnCredit(r *request) {
	if r.hasCredit && r.openAttempts == 0 && !r.mayHaveRun() {
		r.hasCredit = false
		m.emit(ReturnCreditCmd{Customer: r.customer})
	}
}
