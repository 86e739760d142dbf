package quota

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

const (
	// renewIntervalMs is the time between renewals of the lease of an owner.
	renewIntervalMs clock.Millis = 3500

	// renewalsInTTL is how often a lease is renewed at least within its time to live, so that
	// one renewal may fail.
	renewalsInTTL = 3

	// minTTLMs is the shortest time to live of a lease under which claims are made: a call of
	// the store may take a second. leaseRetryMs is the time until another lease is asked for.
	minTTLMs     clock.Millis = 3000
	leaseRetryMs              = 10 * clock.Second

	// Bounds of the backoff after failed calls of the store.
	minBackoffMs clock.Millis = 250
	maxBackoffMs clock.Millis = 2000
)

// call is a call of the store that has no result yet.
type call uint8

const (
	callNone call = iota
	callLease
	callClaim
	callRenew
	callRelease
)

// storeCalls is the state of the calls of the store, of which at most one has no result.
type storeCalls struct {
	open      call
	sentAt    clock.Millis
	group     int           // of callClaim
	claim     Claim         // of callClaim
	lease     store.LeaseID // of callRenew, which adopts it if it is another one
	renewAt   clock.Millis
	notBefore clock.Millis
	backoff   clock.Millis
}

// callStore starts the call of the store that is due, if there is none open.
func (m *Model) callStore(now clock.Millis) {
	c := &m.calls
	if c.open != callNone {
		return
	}
	if now < c.notBefore {
		m.wake(jobStore, c.notBefore)
		return
	}
	if m.inactive() {
		if m.lease.id != 0 {
			c.open, c.sentAt = callRelease, now
			m.emit(ReleaseCmd{Lease: m.lease.id})
		}
		return
	}
	adopt := m.adoptable()
	switch {
	case m.lease.id == 0 && adopt != 0:
		c.open, c.sentAt, c.lease = callRenew, now, adopt
		m.emit(RenewCmd{Lease: adopt})
	case m.lease.id == 0 && m.claimsSoon(now):
		c.open, c.sentAt = callLease, now
		m.emit(LeaseCmd{TTL: LeaseTTL})
	case m.lease.id != 0 && now >= c.renewAt && m.holdsGroups():
		c.open, c.sentAt, c.lease = callRenew, now, m.lease.id
		m.emit(RenewCmd{Lease: m.lease.id})
	case m.lease.id != 0 && now >= m.lease.until:
		m.lease = lease{} // has ended, with no group under it
		m.callStore(now)
	case m.lease.id != 0:
		if group, ok := m.dueClaim(now); ok {
			m.claim(now, group)
		} else if m.holdsGroups() {
			m.wake(jobStore, c.renewAt)
		}
	}
}

// claimsSoon reports whether this VM needs a lease.
func (m *Model) claimsSoon(now clock.Millis) bool {
	soon := false
	for _, at := range m.wanted {
		if at <= now+releaseMs {
			soon = true
		} else {
			m.wake(jobStore, at-releaseMs)
		}
	}
	return soon
}

// dueClaim returns a group that is to be claimed now.
func (m *Model) dueClaim(now clock.Millis) (int, bool) {
	for _, group := range sortedKeys(m.wanted) {
		if at := m.wanted[group]; at > now {
			m.wake(jobStore, at)
			continue
		}
		return group, true
	}
	return 0, false
}

func (m *Model) claim(now clock.Millis, group int) {
	revision := uint64(0)
	if m.claims[group].VM == m.cfg.self {
		revision = m.revisions[group] // of the claim under an earlier lease
	}
	m.calls.open, m.calls.sentAt, m.calls.claim = callClaim, now, Claim{VM: m.cfg.self, Lease: m.lease.id}
	m.calls.group = group
	if m.settled(now) || now < m.rights[group].until {
		m.calls.claim.Era = m.era // a later process of this VM need not wait
	}
	m.emit(ClaimCmd{Group: group, Revision: revision, Claim: m.calls.claim})
}

// adoptable returns the lease of a claim that this VM has written before it restarted.
func (m *Model) adoptable() store.LeaseID {
	for g, c := range m.claims {
		if c.VM == m.cfg.self && m.rights[g].lease == 0 && c.Lease != 0 && c.Lease != m.refusedLease {
			return c.Lease
		}
	}
	return 0
}

func (m *Model) holdsGroups() bool {
	for g := range m.rights {
		if m.rights[g].lease != 0 && m.rights[g].lease == m.lease.id {
			return true
		}
	}
	return false
}

// leased begins to use a lease, unless it is too short to be renewed in time.
func (m *Model) leased(now clock.Millis, id store.LeaseID, ttl clock.Millis) {
	if m.calls.open != callLease {
		return
	}
	m.callDone()
	if ttl < minTTLMs {
		m.calls.notBefore = now + leaseRetryMs
		m.emit(EventCmd{Event{Kind: "quota_lease_refused", Detail: fmt.Sprintf("counts for %d ms, want at least %d", ttl, minTTLMs)}})
		return
	}
	m.lease = lease{id: id, ttl: ttl}
	m.extendLease()
}

// extendLease records that the last call has granted or renewed the lease.
func (m *Model) extendLease() {
	m.lease.until = m.calls.sentAt + m.lease.ttl
	m.calls.renewAt = m.calls.sentAt + min(renewIntervalMs, m.lease.ttl/renewalsInTTL)
}

func (m *Model) claimed(now clock.Millis) {
	if m.calls.open != callClaim {
		return
	}
	m.callDone()
	g := m.calls.group
	if m.calls.claim.Lease != m.lease.id {
		return // given up since, with the era of the store
	}
	if old := m.claims[g].VM; old != "" && old != m.cfg.self {
		m.overtaken[g] = true
		m.rights[g].emptyAt = max(m.rights[g].emptyAt, now)
	}
	m.claims[g], m.declined[g] = m.calls.claim, 0
	m.gain(now, g)
	m.targetCache[g] = nil
	m.answerHeld(now)
}

func (m *Model) renewed(now clock.Millis, ttl clock.Millis) {
	open := m.calls.open
	m.callDone()
	switch open {
	case callRelease:
		m.lease = lease{}
	case callRenew:
		if m.lease.id == 0 && m.calls.lease == m.adoptable() {
			if ttl < minTTLMs {
				m.refusedLease = m.calls.lease
				return
			}
			m.lease.id = m.calls.lease
		}
		if m.lease.id != m.calls.lease {
			return // given up since, with the era of the store
		}
		if ttl > 0 {
			m.lease.ttl = ttl
		}
		m.extendLease()
		for g, c := range m.claims {
			if c.VM == m.cfg.self && c.Lease == m.lease.id {
				m.gain(now, g)
			}
		}
		m.answerHeld(now)
	}
}

func (m *Model) callDone() {
	m.calls.open, m.calls.backoff, m.calls.notBefore = callNone, 0, 0
}

// callFailed handles a call without success. A conflict means that the lease has ended or
// that another VM was sooner.
func (m *Model) callFailed(now clock.Millis, kind store.Kind) {
	c := &m.calls
	open := c.open
	c.open = callNone
	c.backoff = min(max(2*c.backoff, minBackoffMs), maxBackoffMs)
	c.notBefore = now + c.backoff/2 + clock.Millis(m.rng.Int64N(int64(c.backoff/2)+1))
	if kind != store.KindConflict {
		return
	}
	switch open {
	case callClaim:
		m.claimConflict(now, c.group)
		c.renewAt = 0 // shows whether the lease holds
		m.answerHeld(now)
	case callRenew:
		m.refusedLease = c.lease
		if c.lease == m.lease.id {
			m.leaseEnded(now)
		}
	case callRelease:
		m.lease = lease{}
	}
}

// claimConflict handles a claim that another VM's claim or a newer revision prevented.
func (m *Model) claimConflict(now clock.Millis, group int) {
	delete(m.wanted, group)
	m.claimAfter[group], m.declined[group] = now+claimRetryMs, 0
	m.targetCache[group] = nil
	r := &m.rights[group]
	switch {
	case r.lease == 0 || r.lease == m.lease.id:
	case now < r.until:
		m.wanted[group] = now + claimRetryMs
	default:
		m.lose(now, group, "claim not renewed")
	}
}

// leaseEnded ends the ownership of all groups of the lease.
func (m *Model) leaseEnded(now clock.Millis) {
	for g := range m.rights {
		if m.rights[g].lease == m.lease.id && m.lease.id != 0 {
			m.lose(now, g, "lease ended")
		}
	}
	m.lease = lease{}
}
