package fleet

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

const (
	syncInterval clock.Millis = 10 * clock.Second
	joinInterval clock.Millis = clock.Second
	// Time after which a VM that reaches no peer becomes ready on its own. Until then
	// it has no reports of leaving upstreams and cannot determine their carriers.
	joinTimeout      clock.Millis = 3 * clock.Second
	contactInterval  clock.Millis = 5 * clock.Second
	joinFanout                    = 3
	maxStatePages                 = 8
	bulkThreshold                 = 64 // a state message with fewer updates means that the tables agree except for recent changes
	hintAttempts                  = 8
	maxHintAddresses              = maxMembers
)

// syncState is the state of joining and anti-entropy. Each VM periodically compares
// digests of its member table with a random member. It also periodically contacts a
// VM that is dead here or known only from the VM list, so that partitions heal.
type syncState struct {
	hints          []VM
	addresses      map[string]string // addresses of contacted hints that may not be members
	joined         bool              // the member table of a peer was received
	joinDone       bool              // joined, no other VM exists, or joinTimeout has passed
	vmListReceived bool              // the VM list was received
	nextSync       clock.Millis
	nextContact    clock.Millis
}

func (m *Model) runSync(now clock.Millis) {
	s := &m.sync
	s.joinDone = s.joinDone || s.joined || s.vmListReceived && m.alone() || now >= m.store.startedAt+joinTimeout
	if now >= s.nextSync {
		if s.joined {
			s.nextSync = now + syncInterval/2 + m.jitter(syncInterval)
		} else {
			s.nextSync = now + joinInterval
		}
		m.startSync()
	}
	if now >= s.nextContact {
		s.nextContact = now + contactInterval/2 + m.jitter(contactInterval)
		m.contactUnreachable()
	}
}

// alone reports whether neither the VM list nor the member table contains another VM.
func (m *Model) alone() bool {
	others := slices.ContainsFunc(m.sync.hints, func(v VM) bool { return v.ID != m.self.ID })
	return !others && len(m.members) == 0
}

func (m *Model) startSync() {
	targets := m.sample(1, nil)
	for _, mem := range targets {
		m.sendDigest(mem.ID)
	}
	if m.sync.joined {
		return
	}
	// Only one VM sends its table. The others are pinged: they learn of this VM and reply with their record revision.
	if len(targets) == 0 {
		m.contactHint((*Model).sendDigest)
	}
	for range joinFanout - 1 {
		m.contactHint(func(m *Model, to string) { m.sendPing(m.lastUpdate, to, ping{purpose: purposeProbe}) })
	}
}

// contactUnreachable sends a digest to a dead member, or to a hint that is not a live member.
func (m *Model) contactUnreachable() {
	for range hintAttempts {
		if len(m.members) == 0 {
			break
		}
		if mem := m.members[m.rng.IntN(len(m.members))]; mem.State == Dead {
			m.sendDigest(mem.ID)
			return
		}
	}
	m.contactHint((*Model).sendDigest)
}

// contactHint sends to a random VM of the VM list that is dead here or not a member.
func (m *Model) contactHint(send func(m *Model, to string)) {
	for range hintAttempts {
		if len(m.sync.hints) == 0 {
			return
		}
		v := m.sync.hints[m.rng.IntN(len(m.sync.hints))]
		mem := m.byID[v.ID]
		if v.ID == m.self.ID || v.State == Leaving || mem != nil && mem.State != Dead {
			continue
		}
		m.rememberAddress(v)
		send(m, v.ID)
		return
	}
}

func (m *Model) rememberAddress(v VM) {
	if m.sync.addresses == nil || len(m.sync.addresses) >= maxHintAddresses {
		m.sync.addresses = make(map[string]string)
	}
	m.sync.addresses[v.ID] = v.Address
}

func (m *Model) sendDigest(to string) {
	msg := &message{kind: kindDigest, sender: m.self.VM, digest: append(m.digest[:], m.reports.digest)}
	if mem := m.byID[to]; mem != nil && mem.State != Alive {
		msg.updates = []VM{mem.VM}
	}
	m.send(to, msg)
}

// handleDigest sends the members in the buckets that differ, in at most maxStatePages messages.
func (m *Model) handleDigest(from string, msg *message) {
	if len(msg.digest) != buckets+1 {
		return
	}
	page := &message{kind: kindState, sender: m.self.VM}
	if msg.digest[buckets] != m.reports.digest {
		page.reports = m.sampleReports()
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
		bucket := mem.hash % buckets
		if msg.digest[bucket] == m.digest[bucket] || mem.ID == from {
			continue
		}
		page.updates = append(page.updates, mem.VM)
		if len(page.updates) < maxUpdates {
			continue
		}
		m.send(from, page)
		page = &message{kind: kindState, sender: m.self.VM}
		if pages++; pages == maxStatePages {
			return
		}
	}
	if pages == 0 || len(page.updates) > 0 {
		m.send(from, page)
	}
}

// handleState handles the reply to a digest and sends back the members for which this VM has newer state.
func (m *Model) handleState(now clock.Millis, from string, msg *message, newer []VM) {
	if len(msg.updates) < bulkThreshold && len(m.members) > 0 {
		m.sync.joined = true
	} else {
		m.sync.nextSync = min(m.sync.nextSync, now+joinInterval)
	}
	if len(newer) > 0 {
		m.send(from, &message{kind: kindGossip, sender: m.self.VM, updates: newer})
	}
}
