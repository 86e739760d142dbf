package relay

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/route"
)

const (
	// maxWindow bounds the attempts that one VM has open at one upstream.
	maxWindow = 16

	// connectionShare leaves a part of the connections that an upstream accepts
	// to VMs that start or leave.
	connectionShare = 0.95

	// slotShare bounds a VM's open attempts at an upstream as a multiple of its
	// slots, so that work waits here, where it is ordered by rank, and not there.
	slotShare = 2
)

// service holds the upstreams of one service and what waits for them.
type service struct {
	name      string
	upstreams []*upstream
	waiting   []*part
	budget    budget
	maxConns  int
}

// lanes returns how many attempts this VM may have open at u.
func (m *Model) lanes(u *upstream) int {
	n := int(u.window)
	if most := u.service.maxConns; most > 0 {
		n = min(n, int(float64(most)*connectionShare)/max(m.vms, 1))
	}
	if u.info.Slots > 0 {
		n = min(n, u.info.Slots*slotShare)
	}
	return max(n, 1)
}

// service returns the service with the given name, which it creates.
func (m *Model) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{name: name, budget: newBudget(m.bound)}
		m.services[name] = s
		if m.table != nil {
			s.configure(m.table)
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
func (s *service) next() *part {
	best := -1
	kept := s.waiting[:0]
	for _, p := range s.waiting {
		if p.req.answered || p.resolved {
			p.queued = false
			continue
		}
		kept = append(kept, p)
		if i := len(kept) - 1; best < 0 || kept[i].before(kept[best]) {
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

// openLanes returns the lanes of all upstreams that can take work.
func (m *Model) openLanes(now clock.Millis, s *service) int {
	n := 0
	for _, u := range s.upstreams {
		if u.usable() && now >= u.avoidUntil {
			n += m.lanes(u)
		}
	}
	return n
}

func (u *upstream) usable() bool { return !u.removed && !u.info.Leaving }
