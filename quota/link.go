package quota

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

const (
	// askTimeoutMs is the time in which a VM answers an Ask, unless it is lost or busy. The
	// round trip takes a few milliseconds, and a claim of a free group two calls of the store.
	askTimeoutMs clock.Millis = 25

	// Bounds of the time for which a VM that has not answered is asked for nothing.
	minAvoidMs clock.Millis = 200
	maxAvoidMs clock.Millis = 800

	// redialMs is how long a VM to which the connection is broken is asked for nothing. A
	// lost process is noticed at once, so that asking it costs little.
	redialMs clock.Millis = 50
)

// link is the state of the asks to one VM, of which at most one has no answer yet.
type link struct {
	id         uint64 // of the last Ask
	open       bool   // it has no answer yet
	late       bool   // its time has run out; the credit that it asked for still counts
	sentAt     clock.Millis
	asking     []*account // that the open Ask is about
	queued     []*account // for the next one
	avoidMs    clock.Millis
	avoidUntil clock.Millis
}

func (m *Model) link(vm string) *link {
	l := m.links[vm]
	if l == nil {
		l = &link{}
		m.links[vm] = l
	}
	return l
}

// ask asks a VM for credit, after its answer to the open Ask if there is one.
func (m *Model) ask(now clock.Millis, vm string, a *account) {
	l := m.link(vm)
	a.asked, a.want = vm, 0
	l.queued = append(l.queued, a)
	if !l.open {
		m.sendAsk(now, vm, l)
	}
}

// sendAsk sends an Ask for the queued accounts.
func (m *Model) sendAsk(now clock.Millis, vm string, l *link) {
	m.lastAsk++
	n := min(len(l.queued), MaxEntries)
	l.id, l.open, l.late, l.sentAt = m.lastAsk, true, false, now
	l.asking = append(l.asking[:0], l.queued[:n]...)
	l.queued = slices.Delete(l.queued, 0, n)
	out := Ask{ID: l.id, Entries: make([]AskEntry, 0, n)}
	for _, a := range l.asking {
		a.expire(now)
		a.want = min(len(a.waiting), MaxCredits)
		e := AskEntry{Limit: a.limit, Want: a.want}
		if vm != m.cfg.self && m.isOwner(vm, a.group) {
			e.Ahead, e.Returned, a.returned = a.ahead(now, m.cfg.bounds), a.returned, 0
		}
		out.Entries = append(out.Entries, e)
	}
	m.wake(jobLinks, now+askTimeoutMs)
	if vm == m.cfg.self {
		m.handleAsk(now, vm, out)
		return
	}
	m.emit(AskCmd{To: vm, Ask: out})
}

// handleGrant applies a Grant. One that comes late still counts, unless another Ask was sent.
func (m *Model) handleGrant(now clock.Millis, from string, g Grant) {
	m.heardFrom(from)
	m.noteDeclined(now, from, g)
	if m.handleForwarded(now, from, g) {
		return
	}
	l := m.links[from]
	if l == nil || g.ID != l.id || !l.open && !l.late {
		return
	}
	wasOpen := l.open
	l.open, l.late = false, false
	entries := make(map[string]GrantEntry, len(g.Entries))
	for _, e := range g.Entries {
		if e.Credits >= 0 && e.Credits <= MaxCredits && e.Source.Valid() {
			entries[e.Customer] = e
		}
	}
	asking, sentAt := l.asking, l.sentAt
	l.asking, l.open = nil, true // what is asked for again goes into one Ask
	for _, a := range asking {
		e := entries[a.limit.Customer]
		validUntil := sentAt + min(max(e.ValidMs, 0), m.cfg.bounds.validity(a.limit))
		if wasOpen && a.asked == from {
			m.settle(now, a, e, validUntil)
		} else {
			m.addCredit(now, a, e, validUntil)
		}
	}
	l.open = false
	if len(l.queued) > 0 {
		m.sendAsk(now, from, l)
	}
}

// giveUpOn stops waiting for a VM and asks other ones.
func (m *Model) giveUpOn(now clock.Millis, vm string, l *link) {
	m.avoid(now, l)
	l.late, l.open = l.open, false
	waiting := slices.Concat(l.asking, l.queued)
	l.queued = nil
	for _, a := range waiting {
		if a.asked == vm {
			a.asked, a.want = "", 0
			a.advance(now)
			m.pursue(now, a)
		}
	}
}

// avoid makes this VM ask others for a while, longer each time.
func (m *Model) avoid(now clock.Millis, l *link) {
	l.avoidMs = min(max(2*l.avoidMs, minAvoidMs), maxAvoidMs)
	l.avoidUntil = now + l.avoidMs
}

// heardFrom records that a VM is there.
func (m *Model) heardFrom(vm string) {
	if l := m.links[vm]; l != nil {
		l.avoidMs, l.avoidUntil = 0, 0
	}
}

// unreachable handles the loss of the connection to a VM.
func (m *Model) unreachable(now clock.Millis, vm string) {
	if l := m.links[vm]; l != nil && (l.open || len(l.queued) > 0) {
		m.giveUpOn(now, vm, l)
		l.late, l.avoidMs, l.avoidUntil = false, 0, now+redialMs
	}
	m.dropForwards(now, vm)
}

// returnCredit sends the credit that was not used back to the owners.
func (m *Model) returnCredit(now clock.Millis) {
	entries := make(map[string][]AskEntry)
	for _, name := range sortedKeys(m.accounts) {
		a := m.accounts[name]
		a.expire(now)
		switch {
		case a.returned == 0:
			continue
		case a.asked != "":
			m.wake(jobAccounts, now+askTimeoutMs)
			continue
		}
		owner := m.claims[a.group].VM
		if owner != "" {
			entries[owner] = append(entries[owner], AskEntry{Limit: a.limit, Returned: a.returned})
		}
		a.returned = 0 // without an owner nobody counts it
	}
	for _, owner := range sortedKeys(entries) {
		out := Ask{Entries: entries[owner]}
		if owner == m.cfg.self {
			m.handleAsk(now, owner, out)
		} else {
			m.emit(AskCmd{To: owner, Ask: out})
		}
	}
}
