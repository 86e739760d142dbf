package quota

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

const (
	// demandMs is the length of the two windows over which demand is measured.
	demandMs = clock.Second

	// idleMs is how long an account is kept after its last request, whose credit may still
	// come back.
	idleMs = 20 * clock.Second

	// aheadShare is the part of the validity of credit for which it is asked ahead of need.
	aheadShare = 0.5

	// maxEmptyMs bounds the time for which a VM refuses requests without asking. Credit that
	// another VM returns can be had after it.
	maxEmptyMs clock.Millis = 100

	// maxTriesMs is how long other VMs are tried if the first one does not grant. A caller
	// that is refused early can still come back in time.
	maxTriesMs clock.Millis = 40

	// shutMs is how long requests are refused without asking after all VMs that may grant
	// credit were asked in vain. A flood would else cost ten messages a request.
	shutMs clock.Millis = 50

	// noCreditRetryMs is the retry delay if no VM that may grant credit was reached.
	noCreditRetryMs clock.Millis = 200
)

// lot is credit that was granted together.
type lot struct {
	credits int
	until   clock.Millis
}

// account is this VM's side of one customer's credit.
type account struct {
	limit      Limit
	group      int
	lots       []lot
	waiting    []uint64     // requests without credit yet
	asked      string       // VM that is asked now, empty if none
	want       int          // requests that it was asked for
	stage      int          // index into the VMs that may grant
	failedAt   clock.Millis // when the first of them did not grant
	returned   int          // credit to return with the next Ask to the owner
	emptyUntil clock.Millis // the owner has nothing before this time
	shutUntil  clock.Millis // no VM that may grant was reached, and none is asked before this time
	retryAt    clock.Millis // time to give to the next refused request

	// reserveUntil is when no request that runs on credit of the reserve is open any more.
	// Until then credit is not returned: the owner would take it for its own.
	reserveUntil clock.Millis

	usedAt   clock.Millis // last request
	window   clock.Millis // of count, time divided by demandMs
	count    int
	previous int // count of the window before
}

// countDemand counts one request.
func (a *account) countDemand(now clock.Millis) {
	a.roll(now)
	a.count++
	a.usedAt = now
}

func (a *account) roll(now clock.Millis) {
	w := now / demandMs
	if w == a.window {
		return
	}
	a.previous = 0
	if w == a.window+1 {
		a.previous = a.count
	}
	a.window, a.count = w, 0
}

// demand returns the requests a second of the last second.
func (a *account) demand(now clock.Millis) float64 {
	a.roll(now)
	elapsed := float64(now%demandMs) / float64(demandMs)
	return float64(a.previous)*(1-elapsed) + float64(a.count)
}

// ahead returns how much credit to ask for ahead of need.
func (a *account) ahead(now clock.Millis, bounds Bounds) int {
	expected := a.demand(now) * bounds.validity(a.limit).Duration().Seconds() * aheadShare
	if expected < 1 {
		return 0
	}
	return int(min(expected, a.limit.capacity()))
}

// take uses one credit that is still valid, the oldest first.
func (a *account) take(now clock.Millis) bool {
	l := a.firstLot(now)
	if l == nil {
		return false
	}
	l.credits--
	return true
}

// firstLot returns the oldest lot with credit that is still valid, or nil.
func (a *account) firstLot(now clock.Millis) *lot {
	for i := range a.lots {
		if l := &a.lots[i]; l.credits > 0 && now < l.until {
			return l
		}
	}
	return nil
}

// next returns what becomes of another request.
func (a *account) next(now clock.Millis) State {
	switch {
	case len(a.waiting) == 0 && a.firstLot(now) != nil:
		return StateGranted
	case now < a.emptyUntil:
		return StateOverLimit
	case now < a.shutUntil:
		return StateNoCredit
	}
	return StateAsked
}

// expire removes the lots that have run out and returns their credit.
func (a *account) expire(now clock.Millis) {
	a.lots = slices.DeleteFunc(a.lots, func(l lot) bool {
		if now < l.until && l.credits > 0 {
			return false
		}
		a.giveBack(now, l.credits)
		return true
	})
}

// giveBack keeps unused credit for the next Ask to the owner.
func (a *account) giveBack(now clock.Millis, n int) {
	if now >= a.reserveUntil {
		a.returned = min(a.returned+n, MaxCredits)
	}
}

// idle reports whether the account can be forgotten.
func (a *account) idle(now clock.Millis) bool {
	return len(a.waiting) == 0 && len(a.lots) == 0 && a.returned == 0 && a.asked == "" &&
		now >= max(a.usedAt+idleMs, a.reserveUntil, a.retryAt)
}

// account returns the account of a limit's customer, with the newest limit that is known.
func (m *Model) account(now clock.Millis, l Limit) *account {
	a := m.accounts[l.Customer]
	if a == nil {
		a = &account{limit: l, group: GroupOf(l.Customer), usedAt: now}
		m.accounts[l.Customer] = a
		m.wake(jobAccounts, now+idleCheckMs)
	}
	a.setLimit(l)
	return a
}

// setLimit applies the limit of a newer version.
func (a *account) setLimit(l Limit) {
	if l.Version <= a.limit.Version {
		return
	}
	if l.Rate > a.limit.Rate || l.Burst > a.limit.Burst {
		a.emptyUntil, a.retryAt = 0, 0
	}
	a.limit = l
}

// acquire gives a request credit, or asks for some.
func (m *Model) acquire(now clock.Millis, t AcquireMsg) {
	if !t.Limit.Valid() {
		m.emit(RefusedCmd{Request: t.Request, RetryAfterMs: m.noCreditRetry()})
		return
	}
	a := m.account(now, t.Limit)
	a.countDemand(now)
	switch a.next(now) {
	case StateGranted:
		a.take(now)
		m.emit(GrantedCmd{Request: t.Request})
	case StateOverLimit:
		m.refuseOverLimit(now, a, t.Request)
	case StateNoCredit:
		m.emit(RefusedCmd{Request: t.Request, RetryAfterMs: m.noCreditRetry()})
	default:
		a.waiting = append(a.waiting, t.Request)
		m.waits[t.Request] = a
		m.pursue(now, a)
	}
}

func (m *Model) cancel(id uint64) {
	if a := m.waits[id]; a != nil {
		delete(m.waits, id)
		a.waiting = slices.DeleteFunc(a.waiting, func(w uint64) bool { return w == id })
	}
}

// pursue asks the next VM that may grant credit to the requests that wait.
func (m *Model) pursue(now clock.Millis, a *account) {
	if a.asked != "" {
		return
	}
	if len(a.waiting) == 0 {
		a.stage = 0
		return
	}
	if to := m.nextTarget(now, a); to != "" {
		m.ask(now, to, a)
		return
	}
	for _, id := range m.takeWaiting(a, len(a.waiting)) {
		m.emit(RefusedCmd{Request: id, RetryAfterMs: m.noCreditRetry()})
	}
	a.stage, a.shutUntil = 0, now+shutMs
	m.report(now, "quota_no_credit", a)
}

// nextTarget turns to the next VM to ask that is not avoided, and returns it. It is empty if
// there is none.
func (m *Model) nextTarget(now clock.Millis, a *account) string {
	targets := m.targets(now, a.group)
	for a.stage < len(targets) && !a.triedLong(now) {
		to := targets[a.stage]
		declined := m.isOwner(to, a.group) && m.isDeclined(now, a.group)
		if l := m.links[to]; !declined && (l == nil || now >= l.avoidUntil) {
			return to
		}
		a.advance(now)
	}
	return ""
}

// takeWaiting removes and returns the first n requests that wait.
func (m *Model) takeWaiting(a *account, n int) []uint64 {
	out := slices.Clone(a.waiting[:n])
	a.waiting = slices.Delete(a.waiting, 0, n)
	for _, id := range out {
		delete(m.waits, id)
	}
	return out
}

// settle applies what a VM has granted to an account that asked it.
func (m *Model) settle(now clock.Millis, a *account, e GrantEntry, validUntil clock.Millis) {
	refused := min(max(a.want-e.Credits, 0), len(a.waiting))
	a.asked, a.want = "", 0
	m.addCredit(now, a, e, validUntil)
	refused = min(refused, len(a.waiting))
	if e.Source == SourceOwner && refused > 0 {
		a.emptyUntil = now + min(e.EmptyMs, maxEmptyMs)
		a.retryAt = max(a.retryAt, now+e.RetryAfterMs)
		if now < a.emptyUntil {
			refused = len(a.waiting)
		}
		for _, id := range m.takeWaiting(a, refused) {
			m.refuseOverLimit(now, a, id)
		}
	}
	if e.Source == SourceOwner {
		a.stage = 0
	} else {
		a.advance(now)
	}
	m.pursue(now, a)
}

// advance turns to the next VM that may grant credit.
func (a *account) advance(now clock.Millis) {
	if a.stage == 0 {
		a.failedAt = now
	}
	a.stage++
}

// triedLong reports whether the requests that wait are better refused than kept waiting.
func (a *account) triedLong(now clock.Millis) bool {
	return a.stage > 0 && now-a.failedAt >= maxTriesMs
}

// addCredit adds credit and lets the requests that wait use it.
func (m *Model) addCredit(now clock.Millis, a *account, e GrantEntry, validUntil clock.Millis) {
	if e.Credits > 0 && e.Source == SourceReserve {
		a.reserveUntil = now + m.cfg.bounds.WindowMs
		m.report(now, "quota_reserve_used", a)
	}
	if e.Credits > 0 {
		a.expire(now)
		a.lots = append(a.lots, lot{credits: e.Credits, until: validUntil})
	}
	n := 0
	for n < len(a.waiting) && a.take(now) {
		n++
	}
	a.expire(now)
	if len(a.lots) > 0 || a.returned > 0 {
		m.wake(jobAccounts, max(validUntil, now))
	}
	for _, id := range m.takeWaiting(a, n) {
		m.emit(GrantedCmd{Request: id})
	}
}

// refuseOverLimit refuses a request and names the time when there will be credit for it,
// after that of the requests that were refused before it.
func (m *Model) refuseOverLimit(now clock.Millis, a *account, id uint64) {
	m.report(now, "quota_over_limit", a)
	at := a.nextRetryAt(now)
	a.retryAt = at + a.limit.fillMs(1)
	m.emit(RefusedCmd{Request: id, OverLimit: true, RetryAfterMs: max(at-now, 1)})
}

// nextRetryAt returns the time to give to the next refused request.
func (a *account) nextRetryAt(now clock.Millis) clock.Millis {
	return min(max(a.retryAt, a.emptyUntil, now), now+maxRetryAfterMs)
}

func (m *Model) noCreditRetry() clock.Millis {
	return noCreditRetryMs + clock.Millis(m.rng.Int64N(int64(noCreditRetryMs)))
}
