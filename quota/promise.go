package quota

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

// maxPatienceMs bounds how long a request waits for credit that will be there soon.
const maxPatienceMs clock.Millis = 500

// promise is credit that a request may use from a time on. It comes from the refill of the
// owner's bucket, so that runs at that time keep to the limit.
type promise struct {
	request uint64
	account *account
	at      clock.Millis
}

// answerMs is the time that the answer to an Ask takes, also if a deputy passes it on. Credit
// that is promised for later than the requests can wait has to go back.
const answerMs clock.Millis = 10

// patience returns how long after its answer to an Ask the most patient of the requests that
// wait can go on waiting.
func (a *account) patience(now clock.Millis) clock.Millis {
	patience := clock.Millis(0)
	for _, w := range a.waiting {
		patience = max(patience, w.until-now-answerMs)
	}
	return patience
}

// promise gives later credit to the requests that can wait for it, the first ones first.
func (m *Model) promise(now clock.Millis, a *account, e GrantEntry) {
	for k := range e.Later {
		at := now + e.LaterMs + a.limit.fillMs(float64(k))
		i := slices.IndexFunc(a.waiting, func(w waiter) bool { return at <= w.until })
		if i < 0 {
			m.returnUnused(now, a, e.Later-k)
			return
		}
		p := promise{request: a.waiting[i].request, account: a, at: at}
		a.waiting = slices.Delete(a.waiting, i, i+1)
		j, _ := slices.BinarySearchFunc(m.promises, at+1, func(o promise, t clock.Millis) int { return int(o.at - t) })
		m.promises = slices.Insert(m.promises, j, p)
		m.wake(jobPromises, at)
	}
}

// keepPromises lets the requests run whose time has come.
func (m *Model) keepPromises(now clock.Millis) {
	for len(m.promises) > 0 && m.promises[0].at <= now {
		p := m.promises[0]
		m.promises = slices.Delete(m.promises, 0, 1)
		delete(m.waits, p.request)
		if now < p.at+m.cfg.bounds.validity(p.account.limit) {
			m.emit(GrantedCmd{Request: p.request})
			continue
		}
		m.breakPromise(now, p)
	}
	if len(m.promises) > 0 {
		m.wake(jobPromises, m.promises[0].at)
	}
}

// breakPromise refuses a request whose credit has run out before it was used.
func (m *Model) breakPromise(now clock.Millis, p promise) {
	delete(m.waits, p.request)
	m.returnUnused(now, p.account, 1)
	m.emit(RefusedCmd{Request: p.request, RetryAfterMs: m.noCreditRetry()})
}
