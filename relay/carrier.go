package relay

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
)

// shardsPerCore is the number of shards per core that one VM gathers for a request.
// Sending to one shard takes about 0.1 ms of a core, and all sub-requests should be
// sent within 8 ms. More shards are divided among several VMs of the data centre.
const shardsPerCore = 80

// VM is an entry VM of the fleet.
type VM struct {
	ID         string `json:"id"`
	Address    string `json:"address"` // for connections from other VMs
	DataCentre string `json:"data_centre"`
	CPUMilli   int    `json:"cpu_milli"` // thousandths of a core

	// ConfigVersion is the version of the configuration that was in force when the VM wrote
	// its entry; 0 if it is of an earlier release.
	ConfigVersion uint64 `json:"config_version,omitempty"`

	// PresetRevision is the revision of the preset record that was in force then.
	PresetRevision uint64 `json:"preset_revision,omitempty"`
}

// IsSameProcess reports whether an entry may come from the process that wrote another one.
// A VM with another address has been restarted.
func (v VM) IsSameProcess(o VM) bool {
	v.ConfigVersion, v.PresetRevision = o.ConfigVersion, o.PresetRevision
	return v == o
}

// shards returns how many shards the VM should gather for one request.
func (v VM) shards() int {
	if v.CPUMilli <= 0 {
		return shardsPerCore
	}
	return max(v.CPUMilli*shardsPerCore/1000, 1)
}

// peerVM is the state that this VM keeps of another one.
type peerVM struct {
	info          VM
	delegations   map[uint64]*delegation // open delegations from this VM
	hash          uint64                 // for rendezvous hashing in its data centre
	failures      int                    // in a row
	avoidUntil    clock.Millis
	suspect       bool         // has failed and sent no acknowledgement since
	probeAt       clock.Millis // earliest time of the next probe while suspect
	resultLagMs   float64      // moving average of how late its partial results arrive, in milliseconds; 0 if not measured
	lastMessageAt clock.Millis
	probedAt      clock.Millis // when it was last probed
	probeOpen     bool         // it has sent no message since
	estimates     boundedMap[workClass, estimate]
	throttled     []Throttled  // as it stated last
	throttledAt   clock.Millis // when it did
}

// recordMessage records a sign of life.
func (c *peerVM) recordMessage(now clock.Millis) {
	c.lastMessageAt, c.probeOpen = now, false
}

func (c *peerVM) recordFailure(now clock.Millis) {
	if now < c.avoidUntil {
		return // failures of requests that were open at the same time count once
	}
	c.failures++
	c.suspect = true
	c.avoidUntil = now + min(firstCarrierAvoidMs<<min(c.failures-1, 8), maxCarrierAvoidMs)
}

// sortedDelegations returns the open delegations in a fixed order, so that runs are
// reproducible.
func (c *peerVM) sortedDelegations() []*delegation {
	out := make([]*delegation, 0, len(c.delegations))
	for _, d := range c.delegations {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b *delegation) int { return cmp.Compare(a.id, b.id) })
	return out
}

// setFleet replaces the list of VMs.
func (m *Model) setFleet(now clock.Millis, vms []VM) {
	newPeers := make(map[string]*peerVM, len(vms))
	m.vmIDs = m.vmIDs[:0]
	inFleet := false
	for _, v := range vms {
		inFleet = inFleet || v.ID == m.cfg.self
		c := m.peers[v.ID]
		if c != nil && c.info.IsSameProcess(v) {
			c.info = v
		} else {
			c = &peerVM{
				info: v, delegations: make(map[uint64]*delegation), estimates: newBoundedMap[workClass, estimate](maxEstimates), hash: xxhash.Sum64String(v.DataCentre + "\x00" + v.ID),
			}
		}
		newPeers[v.ID] = c
		m.vmIDs = append(m.vmIDs, v.ID)
	}
	slices.Sort(m.vmIDs)
	old := m.peers
	m.peers = newPeers
	m.peersIn = make(map[string][]*peerVM)
	for _, id := range m.vmIDs {
		c := newPeers[id]
		m.peersIn[c.info.DataCentre] = append(m.peersIn[c.info.DataCentre], c)
	}
	m.inFleet = inFleet
	m.vmCount = max(len(vms), 1)
	m.carriersChanged()
	m.assignWarmups(now)
	m.preconnectAssigned(now)
	m.connectCarriers(now)
	m.releasePeers(now, old)
}

// releasePeers handles the VMs of the old list that are not in the new one. A VM that
// left still finishes what was delegated to it. One with another address was restarted.
func (m *Model) releasePeers(now clock.Millis, old map[string]*peerVM) {
	maps.DeleteFunc(m.leftPeers, func(_ string, c *peerVM) bool { return len(c.delegations) == 0 })
	for _, id := range sortedKeys(old) {
		c := old[id]
		switch current := m.peers[id]; {
		case current == c:
		case current == nil && len(c.delegations) > 0:
			m.leftPeers[id] = c
		default:
			for _, d := range c.sortedDelegations() {
				m.reclaim(now, d, true)
			}
		}
	}
}

// preconnectAssigned opens connections to the upstreams of the shards for which this VM
// has just become the carrier. An unused connection stays open for less than a second, so
// it is not opened again each time the list of VMs changes, and not by VMs that will
// hardly use it.
func (m *Model) preconnectAssigned(now clock.Millis) {
	var carriers []*peerVM
	if m.inFleet {
		carriers = m.carriers(now, m.cfg.dataCentre, m.localShards(now))
	}
	for _, name := range sortedKeys(m.services) {
		s := m.services[name]
		before := s.assigned
		s.assigned = s.isShard && len(carriers) > 0 && slices.Contains(m.dataCentres(now, s), m.cfg.dataCentre) &&
			carriers[carrierFor(s, carriers)].info.ID == m.cfg.self
		if !s.assigned || before {
			continue
		}
		for _, u := range s.upstreams {
			m.preconnect(u)
		}
	}
}

// preconnect opens a connection to an upstream before it is needed.
func (m *Model) preconnect(u *upstream) {
	if u.usable() {
		m.emit(ConnectUpstreamCmd{Upstream: u.info.ID, Address: u.info.Address})
	}
}

// localShards returns the number of shards with an upstream in this VM's data centre.
func (m *Model) localShards(now clock.Millis) int {
	n := 0
	for _, s := range m.services {
		if s.isShard && slices.Contains(m.dataCentres(now, s), m.cfg.dataCentre) {
			n++
		}
	}
	return n
}

// connectCarriers opens streams to the carriers that gather for this VM, so that the
// first request does not wait for a stream and a broken stream reveals a lost
// carrier.
func (m *Model) connectCarriers(now clock.Millis) {
	shards := make(map[string]int)
	for _, s := range m.services {
		if !s.isShard {
			continue
		}
		dataCentres := m.dataCentres(now, s)
		if slices.Contains(dataCentres, m.cfg.dataCentre) {
			dataCentres = []string{m.cfg.dataCentre}
		}
		for _, dc := range dataCentres {
			shards[dc]++
		}
	}
	for _, dc := range sortedKeys(shards) {
		for _, c := range m.carriers(now, dc, shards[dc]) {
			if c.info.ID != m.cfg.self {
				m.emit(ConnectPeerCmd{VM: c.info.ID, Address: c.info.Address})
			}
		}
	}
}

func sortedKeys[T any](table map[string]T) []string {
	keys := make([]string, 0, len(table))
	for k := range table {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// assignment is a set of sub-requests that one VM gathers; carrier is nil for this
// VM.
type assignment struct {
	carrier     *peerVM
	subrequests []*subrequest
}

// distribute divides the sub-requests among the carriers of data centres that have
// an upstream of their service. The carriers of a data centre are the VMs with the
// most CPU that are not avoided after a failure. Ties are broken by rendezvous hash,
// so that all VMs agree on the carriers without exchanging messages.
func (m *Model) distribute(now clock.Millis, r *request) []assignment {
	if !m.inFleet || len(m.peers) < 2 {
		return []assignment{{subrequests: r.subrequests}}
	}
	m.selfIsCarrier = false
	m.rotation++
	byDataCentre := make(map[string][]*subrequest)
	var local assignment
	for _, sub := range r.subrequests {
		if dc, ok := m.carrierDataCentre(now, sub.service); ok {
			byDataCentre[dc] = append(byDataCentre[dc], sub)
			continue
		}
		local.subrequests = append(local.subrequests, sub)
	}
	var assignments []assignment
	for _, dc := range sortedKeys(byDataCentre) {
		for _, a := range m.divideInDataCentre(now, dc, byDataCentre[dc]) {
			if a.carrier == nil {
				local.subrequests = append(local.subrequests, a.subrequests...)
			} else if len(a.subrequests) > 0 {
				assignments = append(assignments, a)
			}
		}
	}
	return append(assignments, local)
}

// divideInDataCentre divides sub-requests among the carriers of one data centre.
func (m *Model) divideInDataCentre(now clock.Millis, dc string, subrequests []*subrequest) []assignment {
	carriers := m.carriers(now, dc, len(subrequests))
	if len(carriers) == 0 {
		return []assignment{{subrequests: subrequests}}
	}
	assignments := make([]assignment, len(carriers))
	for i, c := range carriers {
		assignments[i].carrier = c
		if c.info.ID == m.cfg.self {
			assignments[i].carrier = nil
			m.selfIsCarrier = true
		}
	}
	for _, sub := range subrequests {
		sub.dataCentre = dc
		i := carrierFor(sub.service, carriers)
		if c := m.coldCarrier(now, sub.service, dc); c != nil {
			assignments, i = m.assignmentOf(assignments, c)
		}
		assignments[i].subrequests = append(assignments[i].subrequests, sub)
	}
	return assignments
}

// assignmentOf returns the index of a VM's assignment, which it adds if there is none.
func (m *Model) assignmentOf(assignments []assignment, c *peerVM) ([]assignment, int) {
	if c.info.ID == m.cfg.self {
		c = nil
		m.selfIsCarrier = true
	}
	if i := slices.IndexFunc(assignments, func(a assignment) bool { return a.carrier == c }); i >= 0 {
		return assignments, i
	}
	return append(assignments, assignment{carrier: c}), len(assignments)
}

// carrierFor selects the carrier of a shard by weighted rendezvous hashing: if the
// set of carriers changes, only the shards of the changed carriers move.
func carrierFor(s *service, carriers []*peerVM) int {
	if len(carriers) == 1 {
		return 0
	}
	bestIndex, bestScore := 0, 0.0
	for i, c := range carriers {
		// A uniform number in (0, 1) for each pair of shard and carrier.
		const bits = 53
		x := (float64(mix(s.hash^c.hash)>>(64-bits)) + 0.5) / (1 << bits)
		if score := -float64(c.info.shards()) / math.Log(x); score > bestScore {
			bestIndex, bestScore = i, score
		}
	}
	return bestIndex
}

// mix distributes the bits of a combined hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// carrierDataCentre returns the data centre whose carrier gathers a shard: the local
// one if it has an upstream of the shard, otherwise a data centre that has one, by
// round robin. If those that have one seem unreachable, it is another that may reach them.
// All shards of a request use the same rotation, so that few messages cross
// data centres.
func (m *Model) carrierDataCentre(now clock.Millis, s *service) (string, bool) {
	dataCentres := m.dataCentres(now, s)
	if len(dataCentres) == 0 {
		return "", false
	}
	if slices.Contains(dataCentres, m.cfg.dataCentre) {
		return m.cfg.dataCentre, true
	}
	dataCentres = m.reachableOf(now, dataCentres)
	if m.isUnreachable(now, dataCentres[0]) {
		if dc, ok := m.thirdDataCentre(now); ok {
			return dc, true
		}
	}
	return dataCentres[m.rotation%len(dataCentres)], true
}

// dataCentres returns the data centres with upstreams of a service, sorted. Those with
// nothing but cold upstreams are left out while others have warm ones.
func (m *Model) dataCentres(now clock.Millis, s *service) []string {
	if s.dataCentres != nil && now < s.dataCentresUntil {
		return s.dataCentres
	}
	list, until := s.findDataCentres(now)
	if !m.readOnly {
		s.dataCentres, s.dataCentresUntil = list, until
	}
	return list
}

// findDataCentres returns what dataCentres does, and until when it holds.
func (s *service) findDataCentres(now clock.Millis) ([]string, clock.Millis) {
	seen := make(map[string]bool)
	until := clock.Millis(math.MaxInt64)
	hasWarm := s.hasWarm(now)
	for _, u := range s.upstreams {
		if !u.usable() {
			continue
		}
		cold := u.isCold(now)
		if cold {
			until = min(until, u.coldEnd(now))
		}
		if !cold || !hasWarm {
			seen[u.info.DataCentre] = true
		}
	}
	return sortedKeys(seen), until
}

// carriers returns the VMs of a data centre that gather n shards of a request and are not
// avoided after a failure.
func (m *Model) carriers(now clock.Millis, dc string, n int) []*peerVM {
	return m.strongest(dc, n, func(c *peerVM) bool { return now >= c.avoidUntil && !c.suspect })
}
