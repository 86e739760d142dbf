package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
)

// VM is an entry VM of the fleet.
type VM struct {
	ID         string `json:"id"`
	Address    string `json:"address"` // for other VMs
	DataCentre string `json:"data_centre"`
}

// peerVM is what this VM knows of another one.
type peerVM struct {
	info       VM
	open       map[uint64]*group // that it works on for this VM
	failures   int               // in a row
	avoidUntil clock.Millis
	heardAt    clock.Millis
}

func (c *peerVM) failed(now clock.Millis) {
	if now < c.avoidUntil {
		return // requests that were open together fail together
	}
	c.failures++
	c.avoidUntil = now + min(firstCarrierAvoidMs<<min(c.failures-1, 8), maxCarrierAvoidMs)
}

// sorted returns the open groups in a fixed order, so that runs repeat.
func (c *peerVM) sorted() []*group {
	out := make([]*group, 0, len(c.open))
	for _, g := range c.open {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *group) int { return cmp.Compare(a.id, b.id) })
	return out
}

// setFleet takes over the list of VMs.
func (m *Model) setFleet(now clock.Millis, vms []VM) {
	known := make(map[string]*peerVM, len(vms))
	m.vmIDs = m.vmIDs[:0]
	listed := false
	for _, v := range vms {
		listed = listed || v.ID == m.cfg.self
		c := m.peers[v.ID]
		if c == nil || c.info != v {
			c = &peerVM{info: v, open: make(map[uint64]*group)}
		}
		known[v.ID] = c
		m.vmIDs = append(m.vmIDs, v.ID)
	}
	slices.Sort(m.vmIDs)
	old := m.peers
	m.peers = known
	m.listed = listed
	m.vms = max(len(vms), 1)
	for _, id := range sortedKeys(old) {
		if c := old[id]; known[id] != c {
			for _, g := range c.sorted() {
				// The VM left the list, or has another address: it may still answer,
				// but nobody would know if it does not.
				m.takeBack(now, g, true)
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

// distribute gives each part of a request to the carrier of a data centre that
// holds an upstream of its service, and returns the parts that stay here. The
// carrier of a data centre is its VM with the highest rendezvous hash that is
// not avoided, so that all VMs agree on it without a message.
func (m *Model) distribute(now clock.Millis, r *request) []*part {
	if !m.listed || len(m.peers) < 2 {
		return r.parts
	}
	m.carries = false
	m.turn++
	byCentre := make(map[string][]*part)
	var kept []*part
	for _, p := range r.parts {
		if dc, ok := m.centreOf(p.service); ok {
			byCentre[dc] = append(byCentre[dc], p)
			continue
		}
		kept = append(kept, p)
	}
	r.parts = nil
	for _, dc := range sortedKeys(byCentre) {
		parts := byCentre[dc]
		c := m.bestIn(now, dc)
		if c == nil || c.info.ID == m.cfg.self {
			m.carries = m.carries || c != nil
			kept = append(kept, parts...)
			continue
		}
		m.hand(now, r, c, parts)
	}
	return kept
}

// centreOf returns the data centre whose carrier gathers a shard: this one if
// it holds an upstream of it, otherwise those that do in turns. All shards of a
// request take the same turn, so that few messages cross data centres.
func (m *Model) centreOf(s *service) (string, bool) {
	centres := m.centres(s)
	if len(centres) == 0 {
		return "", false
	}
	if slices.Contains(centres, m.cfg.dataCentre) {
		return m.cfg.dataCentre, true
	}
	return centres[m.turn%len(centres)], true
}

// centres returns the data centres that hold upstreams of a service, sorted.
func (m *Model) centres(s *service) []string {
	if s.centres != nil {
		return s.centres
	}
	seen := make(map[string]bool)
	for _, u := range s.upstreams {
		if u.usable() {
			seen[u.info.DataCentre] = true
		}
	}
	s.centres = sortedKeys(seen)
	return s.centres
}

func (m *Model) bestIn(now clock.Millis, dc string) *peerVM {
	var best *peerVM
	var bestScore uint64
	for _, id := range m.vmIDs {
		c := m.peers[id]
		if c.info.DataCentre != dc || now < c.avoidUntil {
			continue
		}
		if score := xxhash.Sum64String(dc + "\x00" + id); best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}
