package quota

import "lentillink.example/lentillink/clock"

// maxHeld bounds the asks that wait for a claim.
const maxHeld = 1024

// heldAsk waits for the claim of a group.
type heldAsk struct {
	from  string
	ask   Ask
	until clock.Millis
}

// handleAsk answers an Ask, at once or after the claim of a group that it needs.
func (m *Model) handleAsk(now clock.Millis, from string, ask Ask) {
	if len(ask.Entries) > MaxEntries {
		return
	}
	m.heardFrom(from)
	wants := false
	for _, e := range ask.Entries {
		if !e.Limit.Valid() {
			continue
		}
		if e.Returned > 0 {
			m.takeBack(now, GroupOf(e.Limit.Customer), e)
		}
		wants = wants || e.Want > 0
	}
	if wants && !m.hold(now, heldAsk{from: from, ask: ask, until: now + holdMs}) && !m.forwardAsk(now, from, ask) {
		m.answer(now, from, ask)
	}
}

// hold keeps an Ask if this VM claims a group that it needs.
func (m *Model) hold(now clock.Millis, h heldAsk) bool {
	claims := false
	for _, e := range h.ask.Entries {
		if group := GroupOf(e.Limit.Customer); e.Limit.Valid() && e.Want > 0 {
			claims = m.claimIfFree(now, group) || m.isClaiming(now, group) || claims
		}
	}
	if !claims || len(m.held) >= maxHeld {
		return false
	}
	m.held = append(m.held, h)
	m.wake(jobHeld, h.until)
	return true
}

// isClaiming reports whether this VM claims a group to which it has no right yet.
func (m *Model) isClaiming(now clock.Millis, group int) bool {
	at, ok := m.wanted[group]
	return ok && at <= now+holdMs && !m.hasRight(now, group)
}

// answerHeld answers the held asks that wait for no claim any more, or have waited long
// enough.
func (m *Model) answerHeld(now clock.Millis) {
	held := m.held
	m.held = nil
	for _, h := range held {
		if now < h.until && m.needsClaim(now, h.ask) {
			m.held = append(m.held, h)
			m.wake(jobHeld, h.until)
			continue
		}
		m.answer(now, h.from, h.ask)
	}
}

func (m *Model) needsClaim(now clock.Millis, ask Ask) bool {
	for _, e := range ask.Entries {
		if m.isClaiming(now, GroupOf(e.Limit.Customer)) {
			return true
		}
	}
	return false
}

func (m *Model) answer(now clock.Millis, from string, ask Ask) {
	g := Grant{ID: ask.ID, Entries: make([]GrantEntry, 0, len(ask.Entries))}
	for _, e := range ask.Entries {
		if e.Limit.Valid() && e.Want > 0 {
			e.Want = min(e.Want, MaxCredits)
			e.Ahead = min(max(e.Ahead, 0), MaxCredits-e.Want)
			g.Entries = append(g.Entries, m.grant(now, e))
		}
	}
	if from == m.cfg.self {
		m.handleGrant(now, from, g)
		return
	}
	m.emit(GrantCmd{To: from, Grant: g})
}

// grant grants main credit as the owner, or credit of the reserve as a deputy.
func (m *Model) grant(now clock.Millis, e AskEntry) GrantEntry {
	group := GroupOf(e.Limit.Customer)
	switch {
	case m.hasRight(now, group):
		if b := m.bucket(now, group, e.Limit); b != nil {
			return b.grant(now, e, m.cfg.bounds)
		}
	case m.isActiveDeputy(now, group):
		if r := m.reserve(now, e.Limit); r != nil {
			return r.grant(now, e, m.cfg.bounds)
		}
	}
	return GrantEntry{Customer: e.Limit.Customer}
}

// takeBack returns credit that was not used to its bucket.
func (m *Model) takeBack(now clock.Millis, group int, e AskEntry) {
	if !m.hasRight(now, group) {
		return
	}
	if b := m.buckets[e.Limit.Customer]; b != nil {
		b.refill(now)
		b.add(min(e.Returned, MaxCredits))
	}
}

// bucket returns the bucket of a customer with the newest limit that is known, or nil if
// there are too many.
func (m *Model) bucket(now clock.Millis, group int, l Limit) *bucket {
	b := m.buckets[l.Customer]
	if b == nil {
		if len(m.buckets) >= maxBuckets {
			return nil
		}
		b = m.newBucket(now, group, l)
		m.buckets[l.Customer] = b
		m.wake(jobAccounts, now+idleCheckMs)
	}
	b.setLimit(now, l)
	return b
}

func (m *Model) newBucket(now clock.Millis, group int, l Limit) *bucket {
	return newBucket(now, l, m.rights[group].emptyAt)
}

// forgetBuckets removes the buckets of a group.
func (m *Model) forgetBuckets(group int) {
	for name := range m.buckets {
		if GroupOf(name) == group {
			delete(m.buckets, name)
		}
	}
}

func (m *Model) reserve(now clock.Millis, l Limit) *reserve {
	r := m.reserves[l.Customer]
	if r == nil {
		if len(m.reserves) >= maxBuckets {
			return nil
		}
		r = &reserve{limit: l}
		m.reserves[l.Customer] = r
		m.wake(jobAccounts, now+idleCheckMs)
	}
	return r
}
