package catalog

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

const (
	// leasedGraceMs is the time after the store's return during which the entry of a VM is
	// kept although it is missing. It is the time to live of its lease: so much later does
	// the list show a lost VM at other times too.
	leasedGraceMs = 15 * clock.Second

	// crossingWaitMs is how long a subscriber waits for its publisher to send what a new era
	// has changed, before it reads the store itself. A publisher notices the new era when its
	// watch ends and needs a list of all pages. crossingSpreadMs spreads the lists of
	// subscribers that wait in vain.
	crossingWaitMs   clock.Millis = 1500
	crossingSpreadMs clock.Millis = 1500
)

// enterEra records an era of the store. In a later one than known, all revisions start from
// those of an older copy. What is in force stays so until a fresh list, or the publisher,
// has shown the state in the new era.
func (m *Model) enterEra(now clock.Millis, era uint64, cmds []Cmd) []Cmd {
	if era <= m.era {
		return cmds
	}
	m.era, m.contactSince = era, now
	returned := m.pos.revision > 0 || len(m.items) > 0
	cmds = append(cmds, EraCmd{Era: era, Returned: returned})
	if !returned {
		m.pos.era, m.itemsEra = era, era
		return cmds
	}
	m.holdRemovalsUntil = max(m.holdRemovalsUntil, now+recoveryGraceMs)
	m.holdLeasedUntil = now + leasedGraceMs
	if m.pass != nil && m.pass.pages > 0 {
		cmds = m.leavePass(now, false, cmds) // its pages are of the earlier era
	}
	m.listAfresh(now)
	return cmds
}

// listAfresh schedules the list that shows the state in a new era.
func (m *Model) listAfresh(now clock.Millis) {
	m.needRelist, m.needFresh, m.nextCall = true, true, now
	if m.subscription.replacesWatch(now) {
		m.nextCall = now + crossingWaitMs + clock.Millis(m.rng.Int64N(int64(crossingSpreadMs)))
	}
}

// holdUntil returns the time until which the removal of a key is not believed.
func (m *Model) holdUntil(key string) clock.Millis {
	if m.leased(key) {
		return max(m.holdRemovalsUntil, m.holdLeasedUntil)
	}
	return m.holdRemovalsUntil
}

// handleWatched handles the changes of a watch, unless it began, or the reply is, in another
// era than the newest.
func (m *Model) handleWatched(now clock.Millis, b store.Batch, cmds []Cmd) []Cmd {
	if b.Era == 0 {
		b.Era = m.era
	}
	cmds = m.enterEra(now, b.Era, cmds)
	switch {
	case b.Era < m.era:
		return cmds
	case m.callPos.era < m.era:
		if m.pos.era < m.era {
			m.listAfresh(now)
		}
		return cmds
	}
	return m.handleWatch(now, b, cmds)
}

// goBackByList applies the state after a return that shows no new era, from a pass that is not
// stale, and publishes what differs from the state before.
func (m *Model) goBackByList(now clock.Millis, p *pass, cmds []Cmd) []Cmd {
	m.listedAt, m.current, m.confirmedAt = now, true, p.begunAt
	u := newUpdate(m.pos, position{m.era, p.revision}, nil)
	present, ahead := make(map[string]bool, len(p.items)), make(map[string]bool)
	for _, it := range m.ahead {
		ahead[it.Key] = true // subscribers may know another state of it
	}
	for _, it := range p.items {
		present[it.Key] = true
		k, ok := m.items[it.Key]
		_, pending := m.pendingRemovals[it.Key]
		if !ok || pending || ahead[it.Key] || k.hash != xxhash.Sum64(it.Value) {
			u.Items = append(u.Items, it)
		}
	}
	absent := make(map[string]bool)
	for key := range m.items {
		absent[key] = !present[key]
	}
	for key := range ahead {
		absent[key] = !present[key]
	}
	for _, key := range slices.Sorted(maps.Keys(absent)) {
		if !absent[key] {
			continue
		}
		u.Items = append(u.Items, store.Item{Key: key, Revision: p.revision, Removed: true})
	}
	return m.crossEra(now, u, cmds)
}

// crossEra applies the difference between a state and one of a new era, and publishes it.
// Keys that it does not name have the same value in both.
func (m *Model) crossEra(now clock.Millis, u Update, cmds []Cmd) []Cmd {
	m.needRelist, m.needFresh, m.historyLost, m.nextCall = false, false, false, now
	cmds = m.leavePass(now, false, cmds)
	m.pos = u.to()
	if u.crossesEras() {
		m.enterItemsEra(u.Era)
	}
	// A page of the new era may have shown a later state.
	news := slices.DeleteFunc(slices.Clone(u.Items), func(it store.Item) bool {
		return u.crossesEras() && it.Revision < m.items[it.Key].revision
	})
	// The revisions of the new era are at most u.To; a later change has a higher one.
	for key, k := range m.items {
		if u.crossesEras() {
			k.revision = max(k.revision, u.To)
		} else {
			k.revision = u.To
		}
		m.items[key] = k
	}
	for key, r := range m.pendingRemovals {
		m.pendingRemovals[key] = removal{revision: u.To, reportAt: r.reportAt}
	}
	for _, it := range news {
		if it.Removed {
			m.holdRemoval(now, it)
			continue
		}
		delete(m.pendingRemovals, it.Key)
		_, existed := m.items[it.Key]
		cmds = m.reportItem(it, !existed && it.Revision <= u.From, cmds)
	}
	m.ahead, m.republish = nil, make(map[string]bool)
	if !u.crossesEras() {
		// Subscribers cannot follow revisions that go back within an era.
		return m.publish(Update{FromEra: m.era, Era: m.era, StoreLost: true}, cmds)
	}
	return m.publish(u, cmds)
}
