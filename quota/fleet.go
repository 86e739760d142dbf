package quota

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

// setFleet applies the list of VMs.
func (m *Model) setFleet(now clock.Millis, vms []VM) {
	m.markKnown(now)
	m.members = m.members[:0]
	for _, v := range vms {
		m.members = append(m.members, newMember(v))
	}
	if m.limited {
		m.updateDeputies(now)
	}
	for _, vm := range sortedKeys(m.links) {
		if !slices.ContainsFunc(vms, func(v VM) bool { return v.ID == vm }) {
			m.unreachable(now, vm)
			delete(m.links, vm)
		}
	}
}

// markKnown records that what the store holds is known from now on. Earlier owners may have
// granted everything until then.
func (m *Model) markKnown(now clock.Millis) {
	if m.known {
		return
	}
	m.known = true
	for g := range m.rights {
		m.rights[g].emptyAt = max(m.rights[g].emptyAt, now)
	}
}

// updateDeputies works out of which groups this VM is a deputy.
func (m *Model) updateDeputies(now clock.Millis) {
	m.deputyCache = [Groups][]member{}
	m.targetCache = [Groups][]string{}
	for g := range Groups {
		switch {
		case !slices.ContainsFunc(m.deputies(g), func(d member) bool { return d.ID == m.cfg.self }):
			m.deputySince[g] = 0
		case m.deputySince[g] == 0:
			m.deputySince[g] = max(now, 1)
		}
	}
}

// isActiveDeputy reports whether this VM may grant from the reserve. A new deputy waits
// until what the one before it has granted is no longer in the window.
func (m *Model) isActiveDeputy(now clock.Millis, group int) bool {
	since := m.deputySince[group]
	return since != 0 && !m.inactive() && now >= since+m.cfg.bounds.WindowMs+maxValidityMs
}

// deputies returns the deputies of a group, the best one first. Until a VM is listed, this
// one is.
func (m *Model) deputies(group int) []member {
	if m.deputyCache[group] == nil {
		m.deputyCache[group] = rankDeputies(m.members, group)
		if len(m.members) == 0 {
			m.deputyCache[group] = []member{newMember(VM{ID: m.cfg.self, DataCentre: m.cfg.dataCentre})}
		}
	}
	return m.deputyCache[group]
}

// targets returns the VMs to ask for credit of a group, in order: the owner, or the VM that
// claims the group, then this VM if it is a deputy, then near deputies before far ones. Of
// these, a VM in the owner's data centre comes last: a cut that hides the owner hides it too.
func (m *Model) targets(now clock.Millis, group int) []string {
	if m.declined[group] > 0 && !m.isDeclined(now, group) {
		m.declined[group], m.targetCache[group] = 0, nil
	}
	if t := m.targetCache[group]; t != nil {
		return t
	}
	holder, deputies := m.claims[group].VM, m.deputies(group)
	t := make([]string, 0, deputyCount+1)
	add := func(vm string) {
		if !slices.Contains(t, vm) {
			t = append(t, vm)
		}
	}
	if holder != "" {
		add(holder)
	}
	if holder == "" || m.isDeclined(now, group) {
		if i := slices.IndexFunc(deputies, func(d member) bool { return d.ID != holder }); i >= 0 {
			add(deputies[i].ID)
		}
	}
	dataCentre := ""
	if len(t) > 0 {
		dataCentre = m.dataCentreOf(t[0])
	}
	for _, match := range []func(member) bool{
		func(d member) bool { return d.ID == m.cfg.self },
		func(d member) bool { return d.DataCentre == m.cfg.dataCentre },
		func(d member) bool { return d.DataCentre != dataCentre },
		func(member) bool { return true },
	} {
		for _, d := range deputies {
			if match(d) {
				add(d.ID)
			}
		}
	}
	m.targetCache[group] = t
	return t
}

// dataCentreOf returns the data centre of a VM, empty if the VM is not listed.
func (m *Model) dataCentreOf(vm string) string {
	for _, mb := range m.members {
		if mb.ID == vm {
			return mb.DataCentre
		}
	}
	return ""
}
