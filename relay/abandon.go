package relay

import (
	"maps"
	"slices"

	"lentillink.example/lentillink/clock"
)

// Abandon ends the request that a message concerns, after Update has failed on the
// message. The request is answered as one that may have run, unless it was answered, and
// later messages about it are ignored.
func (m *Model) Abandon(now clock.Millis, msg Msg) []Cmd {
	clear(m.cmds)
	m.cmds = m.cmds[:0]
	r := m.requestOf(msg)
	if r == nil {
		switch t := msg.(type) {
		case ArrivalMsg:
			m.abandonUnopened(t.ID)
		case CreditMsg:
			m.abandonUnopened(t.Request)
		}
		return m.cmds
	}
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		if a := m.attempts[id]; a.subrequest.req == r {
			delete(m.attempts, id)
			a.upstream.removeAttempt(a)
			m.emit(CancelCmd{Attempt: id})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.delegations)) {
		if d := m.delegations[id]; d.req == r {
			delete(m.delegations, id)
			delete(d.carrier.delegations, id)
			m.emit(CancelDelegationCmd{To: d.carrier.info.ID, ID: id})
		}
	}
	delete(m.requests, r.id)
	if !r.answered {
		m.markAnswered(now, r) // its queued sub-requests are dropped
		m.emit(AnswerCmd{ID: r.id, Answer: Answer{Outcome: Failed, Reason: internalError, Route: r.route.Name, Version: r.version}})
	}
	return m.cmds
}

// abandonUnopened answers a request that was not opened yet.
func (m *Model) abandonUnopened(id uint64) {
	delete(m.parked, id)
	m.emit(AnswerCmd{ID: id, Answer: Answer{Outcome: Failed, Reason: internalError}})
}

// internalError is the reason of an answer after an unexpected error.
const internalError = "internal_error"

// requestOf returns the open request that a message concerns, or nil.
func (m *Model) requestOf(msg Msg) *request {
	switch t := msg.(type) {
	case ArrivalMsg:
		return m.requests[t.ID]
	case CallerDisconnectedMsg:
		return m.requests[t.ID]
	case CreditMsg:
		return m.requests[t.Request]
	case ReplyMsg:
		return m.requestOfAttempt(t.Attempt)
	case AttemptFailedMsg:
		return m.requestOfAttempt(t.Attempt)
	case DelegationAckMsg:
		return m.requestOfDelegation(t.ID)
	case DelegationResultMsg:
		return m.requestOfDelegation(t.Result.ID)
	case DelegationNotSentMsg:
		return m.requestOfDelegation(t.ID)
	}
	return nil
}

func (m *Model) requestOfAttempt(id uint64) *request {
	if a := m.attempts[id]; a != nil {
		return a.subrequest.req
	}
	return nil
}

func (m *Model) requestOfDelegation(id uint64) *request {
	if d := m.delegations[id]; d != nil {
		return d.req
	}
	return nil
}
