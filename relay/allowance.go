package relay

import (
	"cmp"
	"slices"

	"lentillink.example/lentillink/budget"
	"lentillink.example/lentillink/clock"
)

// allowancePart returns the part of the fixed allowance of extra attempts of a service
// that this VM may use. It follows from the list of VMs alone, so that the sum over all
// VMs with the same list stays within the allowance.
func (m *Model) allowancePart(now clock.Millis, s *service) float64 {
	if s.allowancePart > 0 {
		return s.allowancePart
	}
	s.allowancePart = budget.EqualPart(m.vmCount)
	if dataCentres := m.dataCentres(now, s); s.isShard && m.inFleet && len(m.peers) > 1 && len(dataCentres) > 0 {
		s.allowancePart = budget.OtherPart(m.vmCount)
		if m.isListedCarrier(now, s, dataCentres) {
			s.allowancePart = budget.CarrierPart(len(dataCentres))
		}
	}
	return s.allowancePart
}

// isListedCarrier reports whether this VM is the carrier of a shard in its data centre
// while no VM is avoided.
func (m *Model) isListedCarrier(now clock.Millis, s *service, dataCentres []string) bool {
	if !slices.Contains(dataCentres, m.cfg.dataCentre) {
		return false
	}
	if m.listedCarriers == nil {
		m.listedCarriers = m.strongest(m.cfg.dataCentre, m.localShards(now), func(*peerVM) bool { return true })
	}
	carriers := m.listedCarriers
	return len(carriers) > 0 && carriers[carrierFor(s, carriers)].info.ID == m.cfg.self
}

// upstreamsChanged discards what follows from the upstreams of the service.
func (s *service) upstreamsChanged() { s.dataCentres, s.allowancePart = nil, 0 }

// carriersChanged discards what follows from the list of VMs and from which services are
// shards.
func (m *Model) carriersChanged() {
	m.listedCarriers = nil
	for _, s := range m.services {
		s.allowancePart = 0
	}
}

// strongest returns the VMs of a data centre that gather n shards of a request: those
// with the most CPU first, then by highest rendezvous hash, until their capacity suffices.
func (m *Model) strongest(dc string, n int, eligible func(*peerVM) bool) []*peerVM {
	var list []*peerVM
	for _, id := range m.vmIDs {
		if c := m.peers[id]; c.info.DataCentre == dc && eligible(c) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *peerVM) int {
		if a.info.CPUMilli != b.info.CPUMilli {
			return cmp.Compare(b.info.CPUMilli, a.info.CPUMilli)
		}
		return cmp.Compare(b.hash, a.hash)
	})
	for i, c := range list {
		if n -= c.info.shards(); n <= 0 {
			return list[:i+1]
		}
	}
	return list
}
