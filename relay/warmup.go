package relay

import (
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/warmup"
)

// restartReportMs is the time without a report after which a failed attempt suggests that
// the upstream has ended. When it is back it may be cold. Upstreams report about once a
// second.
const restartReportMs clock.Millis = 2500

// warming is what this VM may send to an upstream that is cold and bears only a bounded
// rate.
type warming struct {
	suspected  bool         // the upstream may have restarted since its last report
	since      clock.Millis // when the upstream became cold
	perSecond  float64      // that it bears
	schedule   warmup.Schedule
	allowed    bool // the VM has a schedule
	designated bool // it sends most of what the upstream bears
}

// isCold reports whether an upstream bears only a bounded rate now.
func (u *upstream) isCold(now clock.Millis) bool {
	return u.service.warmupPerSecond > 0 && (u.warming.suspected || now < u.coldUntil)
}

// coldEnd returns when a cold upstream is warm at the earliest.
func (u *upstream) coldEnd(now clock.Millis) clock.Millis {
	if u.warming.suspected {
		return now + max(u.service.warmupMs, 1)
	}
	return u.coldUntil
}

// setCold sets until when an upstream is cold, or that it is suspected to be, and what this
// VM may send it until then.
func (m *Model) setCold(now clock.Millis, u *upstream, until clock.Millis, suspected bool) {
	wasCold := u.isCold(now)
	u.coldUntil, u.warming.suspected = until, suspected
	if u.isCold(now) == wasCold {
		return
	}
	u.service.upstreamsChanged()
	if !wasCold {
		u.warming.since = now
		m.assignWarmup(now, u)
		m.emit(EventCmd{Event: Event{Kind: "upstream_cold", Upstream: u.info.ID, Detail: u.service.name, AgeMs: u.coldEnd(now) - now}})
	}
}

// suspectRestart treats an upstream as cold that may have ended, until its next report or
// for the time of a warm-up after its next reply. A VM without contact to the store does not
// learn otherwise that it is back.
func (m *Model) suspectRestart(now clock.Millis, u *upstream) {
	if u.service.warmupPerSecond > 0 && now-u.reportedAt >= restartReportMs {
		m.setCold(now, u, u.coldUntil, true)
	}
}

// endSuspicion records a reply of an upstream that was suspected to have ended.
func (m *Model) endSuspicion(now clock.Millis, u *upstream) {
	if u.warming.suspected {
		m.setCold(now, u, max(u.coldUntil, now+u.service.warmupMs), false)
	}
}

// assignWarmups recomputes this VM's schedules, after the list of VMs or the configuration
// has changed.
func (m *Model) assignWarmups(now clock.Millis) {
	for _, u := range m.upstreams {
		if u.isCold(now) {
			m.assignWarmup(now, u)
		}
	}
}

// assignWarmup derives this VM's schedule for a cold upstream from the list of VMs. The
// designated VM of a shard is the first by rendezvous hash in the upstream's data centre.
// Any VM sends to services that are not shards, so all have equal shares there, as they have
// if no VM is in the data centre. A VM that is not in the list sends nothing: the shares of
// the others add up to the whole.
func (m *Model) assignWarmup(now clock.Millis, u *upstream) {
	old := u.warming
	u.warming = warming{since: old.since, suspected: old.suspected, perSecond: u.service.warmupPerSecond}
	self := m.peers[m.cfg.self]
	if self == nil {
		return
	}
	vms := len(m.vmIDs)
	position, _ := slices.BinarySearch(m.vmIDs, m.cfg.self)
	index := int((uint64(position) + u.hash) % uint64(vms))
	w := &u.warming
	w.allowed = true
	switch designated := m.designatedVM(u); {
	case !u.service.isShard || designated == nil:
		w.schedule = warmup.Equal(w.since, w.perSecond, index, vms)
	case designated != self:
		w.schedule = warmup.Rest(w.since, w.perSecond, index, vms)
	case old.designated && old.perSecond == w.perSecond:
		w.schedule, w.designated = old.schedule, true
		return
	default:
		w.schedule, w.designated = warmup.Designated(now, w.perSecond), true
	}
	w.schedule = w.schedule.After(old.schedule)
}

// designatedVM returns the VM that sends a cold upstream most of what it bears: one of its
// data centre, nil if none is there.
func (m *Model) designatedVM(u *upstream) *peerVM {
	var first *peerVM
	for _, c := range m.peersIn[u.info.DataCentre] {
		if first == nil || mix(u.hash^c.hash) > mix(u.hash^first.hash) {
			first = c
		}
	}
	return first
}

// notBefore returns the time before which this VM sends an upstream nothing: the upstream
// asked for it, or it is cold and the VM's share is used up.
func (u *upstream) notBefore(now clock.Millis) clock.Millis {
	if !u.isCold(now) {
		return u.holdUntil
	}
	if !u.warming.allowed || !u.warming.designated && u.service.hasWarm(now) {
		return max(u.holdUntil, u.coldEnd(now))
	}
	return max(u.holdUntil, min(u.warming.schedule.NotBefore(now), u.coldEnd(now)))
}

// hasWarm reports whether some upstream of the service bears any rate.
func (s *service) hasWarm(now clock.Millis) bool {
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return u.usable() && !u.isCold(now) })
}

// coldWait estimates how long a request waits to be sent if all upstreams of
// the service are cold, 0 if it does not wait or one is warm.
func (s *service) coldWait(now clock.Millis, r *request) clock.Millis {
	if s.warmupPerSecond == 0 || s.hasWarm(now) {
		return 0
	}
	perSecond := 0.0
	for _, u := range s.upstreams {
		if u.usable() && u.warming.allowed {
			perSecond += u.warming.schedule.PerSecond()
		}
	}
	wait := max(s.heldUntil(now)-now, 0)
	if perSecond > 0 {
		wait += clock.Millis(float64(s.queuedAhead(r)) / perSecond * float64(clock.Second))
	}
	return wait
}

// coldCarrier returns the VM that gathers a shard in a data centre all of whose upstreams
// are cold: the designated one of the first, unless it has failed. Otherwise it returns nil.
func (m *Model) coldCarrier(now clock.Millis, s *service, dc string) *peerVM {
	if s.warmupPerSecond == 0 || s.hasWarm(now) {
		return nil
	}
	for _, u := range s.upstreams {
		if u.info.DataCentre != dc || !u.usable() {
			continue
		}
		if c := m.designatedVM(u); c != nil && now >= c.avoidUntil && !c.suspect {
			return c
		}
	}
	return nil
}
