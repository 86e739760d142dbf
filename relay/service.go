package relay

import (
	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/budget"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/route"
)

const (
	// maxAttemptWindow limits the attempts that one VM has open at one upstream.
	maxAttemptWindow = 16

	// Shares of the connections that an upstream accepts. Its carriers divide the
	// larger share. All other VMs divide the smaller one, which they need when a
	// carrier is lost. The rest is left for VMs that start or leave.
	carrierConnectionShare = 0.7
	otherConnectionShare   = 0.25

	// urgentExtraAttempts is how many attempts beyond its slots a carrier has open at
	// an upstream for the highest priority, so that the next one is there when a slot
	// becomes free. Other work stays in the local queue, where it is ordered by rank.
	urgentExtraAttempts = 1

	// remoteSlotsSpared is how many slots of an upstream in another data centre lower
	// priorities leave free while a healthy local upstream exists. The carrier there
	// fills the slots too, and urgent work would wait behind both in the upstream's
	// own queue.
	remoteSlotsSpared = 1

	// slotMultiple limits a VM's open attempts at an upstream that other VMs use too,
	// as a multiple of its slots.
	slotMultiple = 2
)

// service is the upstreams of one service and its queue.
type service struct {
	name      string
	hash      uint64 // of the name
	upstreams []*upstream
	departed  []*upstream // removed lately, see rankedMs
	queue     []*subrequest
	budget    budget.Window
	shares    shares // unless it is a shard

	waitingHedges []*subrequest // overdue, while no other upstream has a free place

	warmupPerSecond float64 // that an upstream bears while it is cold; 0 for no bound
	warmupMs        clock.Millis

	maxConns    int
	isShard     bool     // its work is delegated to carriers
	assigned    bool     // this VM is its carrier in its data centre, by the last list of VMs
	dataCentres []string // with usable upstreams, sorted; nil if not computed

	allowancePart    float64      // of the fixed allowance of extra attempts; 0 if not computed
	dataCentresUntil clock.Millis // when dataCentres must be computed again
}

// attemptLimit returns how many attempts of a priority this VM may have open at u. A
// carrier sends nearly all work of its shards, every other VM only what it reclaims.
// All VMs send work to services that are not shards.
func (m *Model) attemptLimit(now clock.Millis, u *upstream, priority int) int {
	limit, maxConns := int(u.attemptWindow), float64(u.service.maxConns)
	slots := u.info.Slots
	switch {
	case u.service.isShard && m.inFleet && m.selfIsCarrier:
		if slots > 0 {
			switch {
			case priority == 0:
				slots += urgentExtraAttempts
			case !m.isLocal(u) && m.hasHealthyLocal(now, u.service):
				slots = max(slots-remoteSlotsSpared, 1)
			}
			limit = min(limit, slots)
		}
		if maxConns > 0 {
			limit = min(limit, int(maxConns*carrierConnectionShare)/max(len(m.dataCentres(now, u.service)), 1))
		}
	case u.service.isShard && m.inFleet:
		if maxConns > 0 {
			limit = min(limit, int(maxConns*otherConnectionShare)/max(m.vmCount, 1))
		}
	default:
		if slots > 0 {
			limit = min(limit, slots*slotMultiple)
		}
		if maxConns > 0 {
			limit = min(limit, int(maxConns*(carrierConnectionShare+otherConnectionShare))/max(m.vmCount, 1))
		}
	}
	return max(limit, 1)
}

// hasHealthyLocal reports whether the service has an upstream in this VM's data
// centre that takes requests and is neither failing nor slow.
func (m *Model) hasHealthyLocal(now clock.Millis, s *service) bool {
	for _, u := range s.upstreams {
		if u.usable() && m.isLocal(u) && now >= u.notBefore(now) && u.failures == 0 && u.slowAvoidMs == 0 {
			return true
		}
	}
	return false
}

// service returns the service with the given name and creates it if necessary.
func (m *Model) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{name: name, hash: xxhash.Sum64String(name), budget: budget.New(budget.Limit(m.budgetLimit))}
		m.services[name] = s
		if m.table != nil {
			s.configure(m.table)
			s.isShard = m.table.IsShard(name)
		}
	}
	return s
}

// delegatedService returns the service with a name that another VM sent. One that this VM
// does not know has no upstreams and is not kept.
func (m *Model) delegatedService(name string) *service {
	if s := m.services[name]; s != nil {
		return s
	}
	return &service{name: name, budget: budget.New(budget.Limit(m.budgetLimit))}
}

func (s *service) configure(t *route.Table) {
	if cfg, ok := t.Service(s.name); ok {
		s.maxConns = cfg.MaxConnections
		s.warmupPerSecond, s.warmupMs = cfg.WarmupPerSecond, cfg.WarmupMs
	}
}

// next returns the queued sub-request to serve first, nil if there is none. It also
// drops resolved ones from the queue.
func (s *service) next(now clock.Millis) *subrequest {
	firstIndex := -1
	kept := s.queue[:0]
	for _, sub := range s.queue {
		if sub.req.answered || sub.resolved {
			sub.queued = false
			continue
		}
		kept = append(kept, sub)
		if i := len(kept) - 1; firstIndex < 0 || kept[i].precedes(now, kept[firstIndex]) {
			firstIndex = i
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	if firstIndex < 0 {
		return nil
	}
	return s.queue[firstIndex]
}

func (s *service) dequeue(sub *subrequest) {
	for i, w := range s.queue {
		if w == sub {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			sub.queued = false
			return
		}
	}
}

// usable reports whether the upstream may get new requests.
func (u *upstream) usable() bool { return u.unusable() == nothing }

// unusable returns why the upstream may not get new requests.
func (u *upstream) unusable() Exclusion {
	switch {
	case u.removed:
		return Removed
	case u.info.Leaving:
		return Leaving
	case u.evacuated:
		return Evacuated
	}
	return nothing
}
