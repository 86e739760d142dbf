package fleet

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
)

// mergeAll merges the claims of a message and returns members about which this VM knows better.
func (m *Model) mergeAll(now clock.Millis, msg *message) []VM {
	// A bulk answer repairs this VM alone; the senders of each claim spread it already.
	m.gossip.muted = msg.kind == kindState && len(msg.updates) >= bulkUpdates
	defer func() { m.gossip.muted = false }()
	var newer []VM
	for _, v := range msg.updates {
		m.merge(now, v)
		if msg.kind != kindState {
			continue
		}
		if mem := m.byID[v.ID]; mem != nil && mem.supersedes(&v) && mem.State != Dead {
			newer = append(newer, mem.VM)
		}
	}
	return newer
}

// merge applies one claim. A claim of death about a member that this VM
// believes alive is not taken over: after a partition heals, each side
// believes the other dead. The member is asked instead, so that it refutes.
func (m *Model) merge(now clock.Millis, v VM) {
	if v.ID == m.self.ID {
		m.refute(now, v)
		return
	}
	mem := m.byID[v.ID]
	if mem == nil {
		m.add(now, v)
		return
	}
	if !v.supersedes(&mem.VM) {
		return
	}
	if v.State == Dead && v.compareAge(&mem.VM) == 0 && mem.State != Leaving {
		if mem.State == Alive {
			m.challenge(mem, v)
		}
		return
	}
	m.apply(now, mem, v)
}

// refute raises this VM's refutation above a claim that contradicts it.
func (m *Model) refute(now clock.Millis, claim VM) {
	own := m.self.VM
	if c := claim.compareAge(&own); c < 0 || c == 0 && claim.State <= own.State {
		return
	}
	own.Incarnation = max(own.Incarnation, claim.Incarnation)
	own.Refutation = claim.Refutation + 1
	m.apply(now, m.self, own)
}

func (m *Model) add(now clock.Millis, v VM) {
	if v.State == Dead || len(m.members) >= maxMembers {
		return
	}
	mem := newMember(v)
	mem.State = Dead // the state before it was known, so that apply sees a change
	// A random position keeps the probe order shuffled.
	mem.slot = len(m.members)
	m.members = append(m.members, mem)
	m.swap(mem.slot, m.rng.IntN(len(m.members)))
	m.byID[v.ID] = mem
	m.apply(now, mem, v)
}

// apply replaces what is known of a member and spreads it.
func (m *Model) apply(now clock.Millis, mem *member, v VM) {
	before := mem.VM
	m.unindex(mem)
	if v.Address == "" {
		v.Address, v.DataCentre = before.Address, before.DataCentre
	}
	mem.VM = v
	m.index(mem)
	if !m.gossip.muted {
		m.gossip.members.push(mem.ID)
	}
	if before.State != v.State || before.Incarnation != v.Incarnation {
		mem.since = now
		m.entered(now, mem, before)
	}
}

// entered handles a change of state or of process.
func (m *Model) entered(now clock.Millis, mem *member, before VM) {
	v := &mem.VM
	switch v.State {
	case Alive:
		if before.State != Suspect || before.Incarnation != v.Incarnation {
			m.event(timeline.Event{Kind: timeline.VMJoined, Detail: v.ID})
		}
		m.takeAddress(now, mem)
	case Suspect:
		mem.suspectUntil = now + m.suspicionMs()
		m.suspects = append(m.suspects, mem)
		m.event(timeline.Event{Kind: timeline.VMSuspected, Detail: v.ID})
	case Leaving:
		m.event(timeline.Event{Kind: timeline.VMLeft, Detail: v.ID})
		m.burst(now)
	case Dead:
		if before.State != Leaving {
			m.event(timeline.Event{Kind: timeline.VMFailed, Detail: v.ID})
		}
	}
}

// takeAddress marks the member that had the address of mem before as dead: an
// address serves one process, and the later incarnation is that process.
func (m *Model) takeAddress(now clock.Millis, mem *member) {
	old := m.byAddr[mem.Address]
	m.byAddr[mem.Address] = mem
	if old == nil || old == mem || old == m.self || old.State == Dead || old.Address != mem.Address {
		return
	}
	if old.Incarnation > mem.Incarnation {
		m.byAddr[mem.Address] = old
		return
	}
	gone := old.VM
	gone.State = Dead
	m.apply(now, old, gone)
}

// index adds mem to the digest and, if eligible, to the list for rendezvous hashing.
func (m *Model) index(mem *member) {
	m.byID[mem.ID] = mem
	m.digest[mem.hash%buckets] ^= mem.digest(mem.hash)
	if mem.State == Alive {
		mem.place = len(m.eligible)
		m.eligible = append(m.eligible, mem)
		m.hashes = append(m.hashes, mem.hash)
		m.generation++
	}
}

func (m *Model) unindex(mem *member) {
	m.digest[mem.hash%buckets] ^= mem.digest(mem.hash)
	if mem.place < 0 {
		return
	}
	last := len(m.eligible) - 1
	moved := m.eligible[last]
	m.eligible[mem.place], m.hashes[mem.place] = moved, moved.hash
	moved.place = mem.place
	m.eligible, m.hashes = m.eligible[:last], m.hashes[:last]
	mem.place = -1
	m.generation++
}

func (m *Model) swap(i, j int) {
	m.members[i], m.members[j] = m.members[j], m.members[i]
	m.members[i].slot, m.members[j].slot = i, j
}

// prune forgets members that have been dead for long.
func (m *Model) prune(now clock.Millis) {
	for i := len(m.members) - 1; i >= 0; i-- {
		mem := m.members[i]
		if mem.State != Dead || now < mem.since+forgetMs {
			continue
		}
		last := len(m.members) - 1
		m.swap(i, last)
		m.members = m.members[:last]
		delete(m.byID, mem.ID)
		if m.byAddr[mem.Address] == mem {
			delete(m.byAddr, mem.Address)
		}
	}
}
