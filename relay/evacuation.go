package relay

import (
	"strconv"

	"lentillink.example/lentillink/clock"
)

// EvacuationMsg starts the evacuation of a data centre, or ends it. While it lasts,
// nothing new is sent to the upstreams of the data centre; open attempts finish. Its VMs
// keep serving their callers through upstreams elsewhere.
type EvacuationMsg struct {
	DataCentre string
	Active     bool
}

func (EvacuationMsg) relayMsg() {}

// maxEvacuations bounds the data centres that are evacuated at a time, including names
// that no upstream has.
const maxEvacuations = 256

// setEvacuation applies an EvacuationMsg. Messages that change nothing are ignored.
func (m *Model) setEvacuation(now clock.Millis, msg EvacuationMsg) {
	switch {
	case m.evacuated[msg.DataCentre] == msg.Active:
		return
	case !msg.Active:
		delete(m.evacuated, msg.DataCentre)
	case len(m.evacuated) >= maxEvacuations:
		m.emit(EventCmd{Event: Event{Kind: "evacuation_ignored", Detail: msg.DataCentre}})
		return
	default:
		m.evacuated[msg.DataCentre] = true
	}
	affected := m.updateEvacuated(msg)
	kind := "evacuation_started"
	if !msg.Active {
		kind = "evacuation_ended"
	}
	m.emit(EventCmd{Event: Event{Kind: kind, Version: m.Version(), Detail: msg.DataCentre + " upstreams=" + strconv.Itoa(affected)}})
	// Shards change their carriers, and queued work its upstreams.
	m.preconnectAssigned(now)
	m.connectCarriers(now)
	for _, name := range sortedKeys(m.services) {
		m.dispatchQueued(now, m.services[name])
	}
}

// updateEvacuated marks the upstreams of a data centre and returns their number.
func (m *Model) updateEvacuated(msg EvacuationMsg) int {
	affected := 0
	for _, u := range m.upstreams {
		if u.info.DataCentre == msg.DataCentre {
			u.evacuated = msg.Active
			u.service.upstreamsChanged()
			affected++
		}
	}
	return affected
}

// isEvacuated reports whether a service has upstreams that would accept work if their
// data centres were not evacuated, and no others.
func (s *service) isEvacuated() bool {
	found := false
	for _, u := range s.upstreams {
		if u.usable() {
			return false
		}
		found = found || u.evacuated && !u.info.Leaving
	}
	return found
}

// unavailableReason returns why too few sub-requests have an upstream that accepts work.
func unavailableReason(subrequests []*subrequest) string {
	for _, sub := range subrequests {
		if sub.service.isEvacuated() {
			return "evacuated"
		}
	}
	return "no_upstream"
}
