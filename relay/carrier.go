package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
)

// shardsPerCarrier bounds the shards that one VM gathers for a request. More are
// divided among several VMs of the data centre, because small VMs take long to
// send that many at once.
const shardsPerCarrier = 64

// VM is an entry VM of the fleet.
type VM struct {
	ID         string `json:"id"`
	Address    string `json:"address"` // for other VMs
	DataCentre string `json:"data_centre"`
	CPUMilli   int    `json:"cpu_milli"` // thousandths of a core
}

// peerVM is what this VM knows of another one.
type peerVM struct {
	info       VM
	open       map[uint64]*group // that it works on for this VM
	hash       uint64            // rendezvous hash in its data centre
	failures   int               // in a row
	avoidUntil clock.Millis
	lag        float64 // of its reports at the target, in milliseconds; 0 if not known
	heardAt    clock.Millis
	expected   map[string]expectation // by route
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
			c = &peerVM{
				info: v, open: make(map[uint64]*group), expected: make(map[string]expectation), hash: xxhash.Sum64String(v.DataCentre + "\x00" + v.ID),
			}
		}
		known[v.ID] = c
		m.vmIDs = append(m.vmIDs, v.ID)
	}
	slices.Sort(m.vmIDs)
	old := m.peers
	m.peers = known
	m.listed = listed
	m.vms = max(len(vms), 1)
	for _, id := range sortedKeys(m.upstreams) {
		if u := m.upstreams[id]; u.usable() {
			m.warm(now, u)
		}
	}
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

// warm opens a connection to an upstream before it is needed. Only carriers do
// so for shards: an upstream accepts fewer connections than there may be VMs.
func (m *Model) warm(now clock.Millis, u *upstream) {
	if u.service.carried {
		if !m.listed || !m.isCarrier(now) {
			return
		}
	} else if int(float64(u.service.maxConns)*(carrierConnections+otherConnections)) < m.vms {
		return
	}
	m.emit(ConnectCmd{Upstream: u.info.ID, Address: u.info.Address})
}

// isCarrier reports whether this VM is among the carriers of its data centre.
func (m *Model) isCarrier(now clock.Millis) bool {
	near := 0
	for _, s := range m.services {
		if s.carried && slices.Contains(m.centres(s), m.cfg.dataCentre) {
			near++
		}
	}
	for _, c := range m.bestIn(now, m.cfg.dataCentre, (near+shardsPerCarrier-1)/shardsPerCarrier) {
		if c.info.ID == m.cfg.self {
			return true
		}
	}
	return false
}

func sortedKeys[T any](table map[string]T) []string {
	keys := make([]string, 0, len(table))
	for k := range table {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// share is the parts of a request that one VM gathers; carrier is nil for this VM.
type share struct {
	carrier *peerVM
	parts   []*part
}

// distribute divides the parts of a request among the carriers of data centres
// that hold an upstream of their service. The carriers of a data centre are its
// strongest VMs that are not avoided, ordered by rendezvous hash, so that all
// VMs agree on them without a message.
func (m *Model) distribute(now clock.Millis, r *request) []share {
	if !m.listed || len(m.peers) < 2 {
		return []share{{parts: r.parts}}
	}
	m.carries = false
	m.turn++
	byCentre := make(map[string][]*part)
	var here share
	for _, p := range r.parts {
		if dc, ok := m.centreOf(p.service); ok {
			byCentre[dc] = append(byCentre[dc], p)
			continue
		}
		here.parts = append(here.parts, p)
	}
	var shares []share
	for _, dc := range sortedKeys(byCentre) {
		for _, s := range m.divide(now, dc, byCentre[dc]) {
			if s.carrier == nil {
				here.parts = append(here.parts, s.parts...)
			} else if len(s.parts) > 0 {
				shares = append(shares, s)
			}
		}
	}
	return append(shares, here)
}

// divide divides parts among the carriers of one data centre.
func (m *Model) divide(now clock.Millis, dc string, parts []*part) []share {
	carriers := m.bestIn(now, dc, (len(parts)+shardsPerCarrier-1)/shardsPerCarrier)
	if len(carriers) == 0 {
		return []share{{parts: parts}}
	}
	shares := make([]share, len(carriers))
	for i, c := range carriers {
		shares[i].carrier = c
		if c.info.ID == m.cfg.self {
			shares[i].carrier = nil
			m.carries = true
		}
	}
	for _, p := range parts {
		p.centre = dc
		i := 0
		if len(carriers) > 1 {
			i = int(xxhash.Sum64String(p.service.name) % uint64(len(carriers)))
		}
		shares[i].parts = append(shares[i].parts, p)
	}
	return shares
}

// candidates returns the upstreams to which one request may go for a shard, in
// an order on which all VMs agree: at most as many as may run it. A VM that
// takes a part back from a lost carrier must not add another one.
func (m *Model) candidates(p *part) []*upstream {
	list := make([]*upstream, 0, len(p.service.upstreams))
	for _, u := range p.service.upstreams {
		if u.usable() {
			list = append(list, u)
		}
	}
	if p.centre == "" || len(list) <= max(p.req.route.MaxAttempts, 1) {
		return list
	}
	slices.SortFunc(list, func(a, b *upstream) int {
		if near := a.info.DataCentre == p.centre; near != (b.info.DataCentre == p.centre) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Compare(xxhash.Sum64String(p.req.name+a.info.ID), xxhash.Sum64String(p.req.name+b.info.ID))
	})
	return list[:max(p.req.route.MaxAttempts, 1)]
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

// bestIn returns up to n VMs of a data centre: the strongest, then those with
// the highest rendezvous hash.
func (m *Model) bestIn(now clock.Millis, dc string, n int) []*peerVM {
	var list []*peerVM
	for _, id := range m.vmIDs {
		if c := m.peers[id]; c.info.DataCentre == dc && now >= c.avoidUntil {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *peerVM) int {
		if a.info.CPUMilli != b.info.CPUMilli {
			return cmp.Compare(b.info.CPUMilli, a.info.CPUMilli)
		}
		return cmp.Compare(b.hash, a.hash)
	})
	return list[:min(n, len(list))]
}
