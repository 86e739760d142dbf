package relay

import (
	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/route"
)

const (
	// maxWindow bounds the attempts that one VM has open at one upstream.
	maxWindow = 16

	// Shares of the connections that an upstream accepts. Its carriers divide
	// the larger one, all other VMs the smaller one, which they need when a
	// carrier is lost. The rest is left for VMs that start or leave.
	carrierConnections = 0.7
	otherConnections   = 0.25

	// urgentQueued is how many attempts beyond its slots a carrier has open at an
	// upstream for the most urgent work, so that one is there when a slot becomes
	// free. Other work waits here, where it is ordered by rank.
	urgentQueued = 1

	// farSpared is how many slots of an upstream in another data centre less urgent
	// work leaves free, while one near by answers as usual: the carrier there fills
	// them too, and urgent work would wait behind both in the upstream's own queue.
	farSpared = 1

	// slotShare bounds a VM's open attempts at an upstream that other VMs use
	// too, as a multiple of its slots.
	slotShare = 2
)

// service holds the upstreams of one service and what waits for them.
type service struct {
	name      string
	hash      uint64 // of the name
	upstreams []*upstream
	waiting   []*part
	budget    budget
	maxConns  int
	carried   bool     // it is a shard, whose work carriers do
	centres   []string // data centres that hold upstreams; nil if not known
}

// lanes returns how many attempts this VM may have open at u when it sends work
// of a priority. A carrier sends nearly all work of its shards, every other VM
// only what it takes back, and plain services get work from all VMs alike.
func (m *Model) lanes(u *upstream, priority int) int {
	n, most := int(u.window), float64(u.service.maxConns)
	slots := u.info.Slots
	switch {
	case u.service.carried && m.listed && m.carries:
		if slots > 0 {
			switch {
			case priority == 0:
				slots += urgentQueued
			case !m.near(u) && m.nearSound(u.service):
				slots = max(slots-farSpared, 1)
			}
			n = min(n, slots)
		}
		if most > 0 {
			n = min(n, int(most*carrierConnections)/max(len(m.centres(u.service)), 1))
		}
	case u.service.carried && m.listed:
		if most > 0 {
			n = min(n, int(most*otherConnections)/max(m.vms, 1))
		}
	default:
		if slots > 0 {
			n = min(n, slots*slotShare)
		}
		if most > 0 {
			n = min(n, int(most*(carrierConnections+otherConnections))/max(m.vms, 1))
		}
	}
	return max(n, 1)
}

// nearSound reports whether an upstream of this VM's data centre answers as usual.
func (m *Model) nearSound(s *service) bool {
	for _, u := range s.upstreams {
		if u.usable() && m.near(u) && u.failures == 0 && u.hold == 0 {
			return true
		}
	}
	return false
}

// service returns the service with the given name, which it creates.
func (m *Model) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{name: name, hash: xxhash.Sum64String(name), budget: newBudget(m.bound)}
		m.services[name] = s
		if m.table != nil {
			s.configure(m.table)
			s.carried = m.table.IsShard(name)
		}
	}
	return s
}

func (s *service) configure(t *route.Table) {
	if cfg, ok := t.Service(s.name); ok {
		s.maxConns = cfg.MaxConnections
	}
}

// ahead returns how many waiting parts are served before one of a priority.
func (s *service) ahead(priority int) int {
	n := 0
	for _, p := range s.waiting {
		if p.req.answered {
			continue
		}
		if p.req.route.Priority <= priority {
			n++
		}
	}
	return n
}

// next removes and returns the part that is served first, nil if none waits.
func (s *service) next(now clock.Millis) *part {
	best := -1
	kept := s.waiting[:0]
	for _, p := range s.waiting {
		if p.req.answered || p.resolved {
			p.queued = false
			continue
		}
		kept = append(kept, p)
		if i := len(kept) - 1; best < 0 || kept[i].before(now, kept[best]) {
			best = i
		}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	if best < 0 {
		return nil
	}
	return s.waiting[best]
}

func (s *service) unqueue(p *part) {
	for i, w := range s.waiting {
		if w == p {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			p.queued = false
			return
		}
	}
}

func (u *upstream) usable() bool { return !u.removed && !u.info.Leaving }
