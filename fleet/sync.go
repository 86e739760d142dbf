package fleet

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

const (
	syncEvery clock.Millis = 10 * clock.Second
	joinEvery clock.Millis = clock.Second
	// A VM that reaches no peer serves alone after this time. Before, it does
	// not know which upstreams leave and who carries them.
	joinWithin     clock.Millis = 3 * clock.Second
	contactEvery   clock.Millis = 5 * clock.Second
	joinContacts                = 3
	maxStatePages               = 8
	bulkUpdates                 = 64 // fewer than this in an answer means that the tables agree but for recent changes
	hintTries                   = 8
	maxHintIndexed              = maxMembers
)

// syncing is the state of joining and of repair. Each VM compares digests of
// its member table with a random member, and from time to time contacts a VM
// that it believes dead or knows only from the VM list, so that a partition heals.
type syncing struct {
	hints     []VM
	addresses map[string]string // of hints that were contacted and senders that are not members
	joined    bool              // a peer's table was received
	settled   bool              // joined, or there is nobody to join
	roster    bool              // the VM list was received
	next      clock.Millis
	contact   clock.Millis
}

func (m *Model) syncDue(now clock.Millis) {
	s := &m.sync
	s.settled = s.settled || s.joined || s.roster && m.alone() || now >= m.store.began+joinWithin
	if now >= s.next {
		if s.joined {
			s.next = now + syncEvery/2 + m.jitter(syncEvery)
		} else {
			s.next = now + joinEvery
		}
		m.beginSync()
	}
	if now >= s.contact {
		s.contact = now + contactEvery/2 + m.jitter(contactEvery)
		m.contactLost()
	}
}

// alone reports whether neither the VM list nor any message names another VM.
func (m *Model) alone() bool {
	others := slices.ContainsFunc(m.sync.hints, func(v VM) bool { return v.ID != m.self.ID })
	return !others && len(m.members) == 0
}

func (m *Model) beginSync() {
	if !m.sync.joined {
		for range joinContacts {
			m.contactHint()
		}
	}
	for _, mem := range m.sample(1, nil) {
		m.sendDigest(mem.ID)
	}
}

// contactLost tries a dead member or a hint that is not a live member.
func (m *Model) contactLost() {
	for range hintTries {
		if len(m.members) == 0 {
			break
		}
		if mem := m.members[m.rng.IntN(len(m.members))]; mem.State == Dead {
			m.sendDigest(mem.ID)
			return
		}
	}
	m.contactHint()
}

func (m *Model) contactHint() {
	for range hintTries {
		if len(m.sync.hints) == 0 {
			return
		}
		v := m.sync.hints[m.rng.IntN(len(m.sync.hints))]
		mem := m.byID[v.ID]
		if v.ID == m.self.ID || v.State == Leaving || mem != nil && mem.State != Dead {
			continue
		}
		m.remember(v)
		m.sendDigest(v.ID)
		return
	}
}

func (m *Model) remember(v VM) {
	if m.sync.addresses == nil || len(m.sync.addresses) >= maxHintIndexed {
		m.sync.addresses = make(map[string]string)
	}
	m.sync.addresses[v.ID] = v.Address
}

func (m *Model) sendDigest(to string) {
	msg := &message{kind: kindDigest, self: m.self.VM, digest: append(m.digest[:], m.reports.digest)}
	if mem := m.byID[to]; mem != nil && mem.State != Alive {
		msg.updates = []VM{mem.VM}
	}
	m.send(to, msg)
}

// answerDigest sends the members in the buckets that differ, in pages.
func (m *Model) answerDigest(from string, msg *message) {
	if len(msg.digest) != buckets+1 {
		return
	}
	page := &message{kind: kindState, self: m.self.VM}
	if msg.digest[buckets] != m.reports.digest {
		page.reports = m.someReports()
	}
	if mem := m.byID[from]; mem != nil && mem.State != Alive {
		page.updates = append(page.updates, mem.VM)
	}
	pages, start := 0, 0
	if len(m.members) > 0 {
		start = m.rng.IntN(len(m.members))
	}
	for i := range m.members {
		mem := m.members[(start+i)%len(m.members)]
		b := mem.hash % buckets
		if msg.digest[b] == m.digest[b] || mem.ID == from {
			continue
		}
		page.updates = append(page.updates, mem.VM)
		if len(page.updates) < maxUpdates {
			continue
		}
		m.send(from, page)
		page = &message{kind: kindState, self: m.self.VM}
		if pages++; pages == maxStatePages {
			return
		}
	}
	if pages == 0 || len(page.updates) > 0 {
		m.send(from, page)
	}
}

// synced handles the answer to a digest; what this VM knows better goes back.
func (m *Model) synced(now clock.Millis, from string, msg *message, newer []VM) {
	if len(msg.updates) < bulkUpdates && len(m.members) > 0 {
		m.sync.joined = true
	} else {
		m.sync.next = min(m.sync.next, now+joinEvery)
	}
	if len(newer) > 0 {
		m.send(from, &message{kind: kindRumour, self: m.self.VM, updates: newer})
	}
}
