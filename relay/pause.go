package relay

import "lentillink.example/lentillink/clock"

// pause schedules another attempt of a sub-request that none of its upstreams takes now.
func (m *Model) pause(sub *subrequest, until clock.Millis) {
	sub.pausedUntil = until
	m.wake(sub.req, until)
}

// resumePaused sends the sub-requests of a request whose pause is over, and sets the timer
// for the others.
func (m *Model) resumePaused(now clock.Millis, r *request) {
	for _, sub := range r.subrequests {
		switch {
		case sub.pausedUntil == 0:
		case now < sub.pausedUntil:
			m.wake(r, sub.pausedUntil)
		default:
			sub.pausedUntil = 0
			m.retry(now, sub)
		}
	}
}

// refusalsEnd returns when the first of the upstreams that have refused the sub-request
// may be asked again.
func (sub *subrequest) refusalsEnd(now clock.Millis) clock.Millis {
	end := now + shedAvoidMs
	for _, u := range sub.refusals {
		end = min(end, u.avoidUntil)
	}
	return max(end, now+1)
}
