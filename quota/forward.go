package quota

import "lentillink.example/lentillink/clock"

// forward is an Ask that this VM, a deputy, has passed on to the owner for a VM that does
// not reach it.
type forward struct {
	from  string
	owner string
	ask   Ask
	until clock.Millis
}

// forwardAsk passes an Ask on to the owner of its groups, if there is one that this VM
// probably reaches.
func (m *Model) forwardAsk(now clock.Millis, from string, ask Ask) bool {
	owner := m.commonOwner(now, ask)
	if from == m.cfg.self || ask.Forwarded || owner == "" || owner == m.cfg.self || owner == from ||
		len(m.forwards) >= maxHeld || now < m.link(owner).avoidUntil {
		return false
	}
	m.lastAsk++
	m.forwards[m.lastAsk] = forward{from: from, owner: owner, ask: ask, until: now + holdMs}
	m.wake(jobHeld, now+holdMs)
	m.emit(AskCmd{To: owner, Ask: Ask{ID: m.lastAsk, Entries: ask.Entries, Forwarded: true}})
	return true
}

// commonOwner returns the owner of all groups of an Ask, if it is the same one.
func (m *Model) commonOwner(now clock.Millis, ask Ask) string {
	common := ""
	for _, e := range ask.Entries {
		group := GroupOf(e.Limit.Customer)
		switch owner := m.claims[group].VM; {
		case m.isDeclined(now, group):
			return ""
		case common == "":
			common = owner
		case common != owner:
			return ""
		}
	}
	return common
}

// handleForwarded passes the owner's answer to the VM that asked. What the owner does not
// grant as such comes from the reserve.
func (m *Model) handleForwarded(now clock.Millis, from string, g Grant) bool {
	f, ok := m.forwards[g.ID]
	if !ok || f.owner != from {
		return false
	}
	delete(m.forwards, g.ID)
	for _, e := range g.Entries {
		if e.Source != SourceOwner {
			if !m.hold(now, heldAsk{from: f.from, ask: f.ask, until: f.until}) {
				m.answer(now, f.from, f.ask)
			}
			return true
		}
	}
	m.emit(GrantCmd{To: f.from, Grant: Grant{ID: f.ask.ID, Entries: g.Entries}})
	return true
}

// expireForwards answers what an owner has not answered in time.
func (m *Model) expireForwards(now clock.Millis) {
	for _, id := range sortedKeys(m.forwards) {
		f := m.forwards[id]
		if now < f.until {
			m.wake(jobHeld, f.until)
			continue
		}
		delete(m.forwards, id)
		m.avoid(now, m.link(f.owner))
		m.answer(now, f.from, f.ask)
	}
}

// dropForwards answers what a VM that is lost will not answer.
func (m *Model) dropForwards(now clock.Millis, vm string) {
	for _, id := range sortedKeys(m.forwards) {
		if f := m.forwards[id]; f.owner == vm {
			delete(m.forwards, id)
			m.avoid(now, m.link(vm))
			m.answer(now, f.from, f.ask)
		}
	}
}
