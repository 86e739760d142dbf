package relay

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

const (
	// unreachableVMs and unreachableAll are how many VMs, and how many VMs and upstreams, of
	// another data centre must be silent, with no sign of life from any other there since,
	// for the data centre to count as unreachable. One VM may be down, and several upstreams
	// may be slow, while a VM acknowledges at once.
	unreachableVMs = 2
	unreachableAll = 3

	// unreachableMs is how long a data centre counts as unreachable without a new sign that
	// it is. Probes of its VMs end that sooner.
	unreachableMs = 2 * clock.Second

	// maxReaches bounds the data centres whose paths are known.
	maxReaches = 64
)

// reach is what this VM knows of the path to another data centre.
type reach struct {
	heardAt          clock.Millis    // last message of a VM or reply of an upstream there
	silent           map[string]bool // VMs and upstreams without an answer since
	silentVMs        int
	silentAt         clock.Millis // when the last of them was found silent
	unreachableUntil clock.Millis
	probedAt         clock.Millis
}

// reachTo returns the state of the path to a data centre.
func (m *Model) reachTo(dataCentre string) *reach {
	r := m.reaches[dataCentre]
	if r == nil {
		if len(m.reaches) >= maxReaches {
			clear(m.reaches) // the state is of the last seconds only
		}
		r = &reach{silent: make(map[string]bool)}
		m.reaches[dataCentre] = r
	}
	return r
}

// isUnreachable reports whether a data centre seems to be cut off from this VM. That another
// one reaches it does not show here.
func (m *Model) isUnreachable(now clock.Millis, dataCentre string) bool {
	r := m.reaches[dataCentre]
	return r != nil && now < r.unreachableUntil
}

// isDoubtful reports whether a VM of a data centre was found silent just now, and nothing has
// been heard from there since.
func (m *Model) isDoubtful(now clock.Millis, dataCentre string) bool {
	r := m.reaches[dataCentre]
	return r != nil && r.silentVMs > 0 && now-r.silentAt < unreachableMs
}

// heardFrom records a sign of life from a data centre.
func (m *Model) heardFrom(now clock.Millis, dataCentre string) {
	if dataCentre == m.cfg.dataCentre {
		return
	}
	r := m.reachTo(dataCentre)
	r.heardAt = now
	r.forgetSilence()
	if now < r.unreachableUntil {
		m.emit(EventCmd{Event: Event{Kind: "data_centre_reachable", Detail: dataCentre}})
	}
	r.unreachableUntil = 0
}

func (r *reach) forgetSilence() {
	clear(r.silent)
	r.silentVMs = 0
}

// silentVM records that a VM has not acknowledged what was sent to it at a time.
func (m *Model) silentVM(now clock.Millis, c *peerVM, sentAt clock.Millis) {
	m.silentSince(now, c.info.DataCentre, c.info.ID, sentAt, true)
}

// silentUpstream records that the reply to an attempt is overdue.
func (m *Model) silentUpstream(now clock.Millis, a *attempt) {
	m.silentSince(now, a.upstream.info.DataCentre, a.upstream.info.ID, a.sentAt, false)
}

func (m *Model) silentSince(now clock.Millis, dataCentre, id string, sentAt clock.Millis, isVM bool) {
	if dataCentre == m.cfg.dataCentre {
		return
	}
	r := m.reachTo(dataCentre)
	if r.heardAt >= sentAt || r.silent[id] {
		return
	}
	if now-r.silentAt >= unreachableMs {
		r.forgetSilence()
	}
	r.silent[id], r.silentAt = true, now
	if isVM {
		r.silentVMs++
	}
	if r.silentVMs < unreachableVMs && len(r.silent) < unreachableAll {
		return
	}
	if now >= r.unreachableUntil {
		m.emit(EventCmd{Event: Event{Kind: "data_centre_unreachable", Detail: dataCentre, AgeMs: now - r.heardAt}})
	}
	r.forgetSilence() // later signs count anew
	r.unreachableUntil = now + unreachableMs
}

// noteSilentCarriers records the carriers of a request whose acknowledgement is overdue, before
// the first of them is replaced.
func (m *Model) noteSilentCarriers(now clock.Millis, r *request) {
	for _, d := range r.delegations {
		if !d.ended && !d.acked && now >= d.ackDeadline {
			m.silentVM(now, d.carrier, d.sentAt)
		}
	}
}

// probeUnreachable probes one VM of each unreachable data centre, in turn. While probes stay
// without an acknowledgement, it stays unreachable.
func (m *Model) probeUnreachable(now clock.Millis, r *request) {
	for _, dc := range sortedKeys(m.reaches) {
		path, peers := m.reaches[dc], m.peersIn[dc]
		if now >= path.unreachableUntil || now < path.probedAt+probeMs || len(peers) == 0 {
			continue
		}
		if path.heardAt < path.probedAt {
			path.unreachableUntil = now + unreachableMs
		}
		path.probedAt = now
		m.probe(now, r, peers[int(now/probeMs)%len(peers)])
	}
}

// reachableOf returns the data centres of a list that seem to be reachable, or all if none is.
func (m *Model) reachableOf(now clock.Millis, dataCentres []string) []string {
	if !slices.ContainsFunc(dataCentres, func(dc string) bool { return m.isUnreachable(now, dc) }) {
		return dataCentres
	}
	var out []string
	for _, dc := range dataCentres {
		if !m.isUnreachable(now, dc) {
			out = append(out, dc)
		}
	}
	if len(out) == 0 {
		return dataCentres
	}
	return out
}

// thirdDataCentre returns a data centre that may reach what this VM does not, by round robin.
func (m *Model) thirdDataCentre(now clock.Millis) (string, bool) {
	var list []string
	for _, dc := range sortedKeys(m.peersIn) {
		if dc != m.cfg.dataCentre && !m.isUnreachable(now, dc) {
			list = append(list, dc)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[m.rotation%len(list)], true
}
