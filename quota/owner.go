package quota

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

const (
	// LeaseTTL is the time after which another VM can claim the groups of a lost owner. It is
	// the same in all releases. A claim outlasts most outages of the store.
	LeaseTTL = 12 * clock.Second

	// firstEra is the era of a store that has never come back from an older copy.
	firstEra = 1

	// claimStepMs is how much later each deputy claims a group than the one before it.
	claimStepMs clock.Millis = 400

	// claimRetryMs is the time until a group is claimed again after another VM was sooner.
	claimRetryMs = clock.Second

	// holdMs is how long an Ask waits for a claim of its group. It is less than
	// askTimeoutMs, so that the sender does not take this VM for lost.
	holdMs clock.Millis = 18

	// maxBuckets bounds the customers of which an owner or a deputy keeps an account.
	maxBuckets = 1 << 14
)

// earlierLease stands for a lease of an earlier era of the store, which may give the same
// number to another one.
const earlierLease = ^store.LeaseID(0)

// lease is the lease of this VM's claims.
type lease struct {
	id    store.LeaseID
	ttl   clock.Millis // that the store applies
	until clock.Millis // it ends no sooner: counted from before the last renewal was sent
}

// right is this VM's right to grant the main credit of a group. It runs out by itself.
type right struct {
	lease   store.LeaseID // under which it was claimed, 0 if it was not
	from    clock.Millis  // it does not begin before this time
	until   clock.Millis  // it ends with an earlier lease; the current lease decides otherwise
	emptyAt clock.Millis  // earlier owners may have granted everything until this time
}

// hasRight reports whether this VM may grant the main credit of a group.
func (m *Model) hasRight(now clock.Millis, group int) bool {
	r := &m.rights[group]
	return r.lease != 0 && !m.inactive() && now >= r.from && now < m.rightUntil(r)
}

func (m *Model) rightUntil(r *right) clock.Millis {
	if r.lease == m.lease.id {
		return m.lease.until
	}
	return r.until
}

// isOwner reports whether a VM holds the claim of a group, as far as this VM knows.
func (m *Model) isOwner(vm string, group int) bool { return m.claims[group].VM == vm }

// isFree reports whether no VM holds the claim of a group, as far as this VM knows.
func (m *Model) isFree(now clock.Millis, group int) bool {
	return (m.claims[group].VM == "" || m.isDeclined(now, group)) && m.rights[group].lease == 0
}

// setClaim applies a claim as the store holds it.
func (m *Model) setClaim(now clock.Millis, t ClaimMsg) {
	if t.Group < 0 || t.Group >= Groups {
		return
	}
	if m.overtaken[t.Group] && t.Claim.VM == "" {
		m.overtaken[t.Group] = false // the end of the claim before this VM's own
		return
	}
	old := m.claims[t.Group]
	m.claims[t.Group], m.revisions[t.Group] = t.Claim, t.Revision
	m.overtaken[t.Group], m.declined[t.Group] = false, 0
	m.targetCache[t.Group] = nil
	r := &m.rights[t.Group]
	switch c := t.Claim; {
	case c.VM == m.cfg.self && c.Lease == m.lease.id && c.Lease != 0:
		m.gain(now, t.Group) // by a call without a result
	case c.VM == m.cfg.self:
		// This VM has restarted and lost its memory; renewing the lease shows whether it holds.
	case c.VM != "":
		r.emptyAt = max(r.emptyAt, now)
		m.freeSince[t.Group] = 0
		if r.lease == 0 {
			delete(m.wanted, t.Group)
		}
		m.lose(now, t.Group, "claimed by "+c.VM)
	case old.VM != "" && old.VM != m.cfg.self:
		r.emptyAt = max(r.emptyAt, now)
	case old.VM == m.cfg.self && r.lease != 0 && r.lease == m.lease.id:
		m.lose(now, t.Group, "claim removed")
	}
}

// gain begins the right to a group that is claimed under the current lease.
func (m *Model) gain(now clock.Millis, group int) {
	r := &m.rights[group]
	delete(m.wanted, group)
	if r.lease == m.lease.id {
		return
	}
	if r.lease != 0 && now < r.until {
		r.lease = m.lease.id // held without a break
		return
	}
	if r.lease != 0 {
		r.emptyAt = now // what this VM granted under the earlier lease counts
	}
	*r = right{lease: m.lease.id, from: now, emptyAt: r.emptyAt}
	if c := m.claims[group]; !m.settled(now) && (c.VM != m.cfg.self || c.Era != m.era) {
		r.from = m.eraSince + LeaseTTL
		r.emptyAt = max(r.emptyAt, r.from)
	}
	m.forgetBuckets(group)
	m.targetCache[group] = nil
	m.emit(EventCmd{Event{Kind: "quota_owner_gained", Group: group}})
}

// settled reports whether no VM has a right left from an earlier era of the store, which may
// have lost its claim.
func (m *Model) settled(now clock.Millis) bool {
	return m.era <= firstEra || now >= m.eraSince+LeaseTTL
}

// lose ends the right to a group.
func (m *Model) lose(now clock.Millis, group int, detail string) {
	r := &m.rights[group]
	if r.lease == 0 {
		return
	}
	*r = right{emptyAt: max(r.emptyAt, now)}
	m.forgetBuckets(group)
	m.targetCache[group] = nil
	m.emit(EventCmd{Event{Kind: "quota_owner_lost", Group: group, Detail: detail}})
}

// setEra handles a store that came back from an older copy. Claims may have got lost, so
// they are written again; the rights that this VM has last as long as they did.
func (m *Model) setEra(now clock.Millis, era uint64) {
	if era <= m.era {
		return
	}
	first := m.era == 0
	m.era, m.eraSince = era, now
	if first {
		return
	}
	for g := range m.rights {
		r := &m.rights[g]
		if r.lease == 0 {
			r.emptyAt = max(r.emptyAt, now)
			continue
		}
		if r.lease == m.lease.id {
			r.until = m.lease.until
		}
		r.lease = earlierLease
		m.wanted[g] = now
	}
	for g := range m.claims {
		if m.claims[g].VM == m.cfg.self {
			m.claims[g].Lease = 0
		}
	}
	m.lease = lease{}
	m.calls.notBefore = now
}

// claimIfFree claims a group that has no owner, if it is this VM's turn.
func (m *Model) claimIfFree(now clock.Millis, group int) bool {
	if m.inactive() || !m.isFree(now, group) || now < m.claimAfter[group] {
		return false
	}
	if m.freeSince[group] == 0 {
		m.freeSince[group] = now
	}
	delay, ok := m.claimDelay(group)
	if !ok || now < m.freeSince[group]+delay {
		return false
	}
	if at, ok := m.wanted[group]; !ok || at > now {
		m.wanted[group] = now
	}
	return true
}

// claimDelay returns how long this VM leaves a free group to the deputies before it, or false
// if it is no deputy.
func (m *Model) claimDelay(group int) (clock.Millis, bool) {
	var delay clock.Millis
	for _, d := range m.deputies(group) {
		switch d.ID {
		case m.cfg.self:
			return delay, true
		case m.claims[group].VM: // it has just ended its claim
		default:
			delay += claimStepMs
		}
	}
	return 0, false
}

// resume ends all rights until the lease was renewed: the time that the process did not run
// may not have been counted.
func (m *Model) resume(now clock.Millis) {
	for g := range m.rights {
		m.rights[g].until = 0
	}
	m.lease.until = 0
	m.calls.renewAt, m.calls.notBefore = now, now
	for _, a := range m.accounts {
		a.lots = nil
	}
}
