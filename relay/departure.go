package relay

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

const (
	// maxDepartures bounds the removed upstreams that are remembered.
	maxDepartures = 8192

	// departureMs is how long a removed upstream is remembered. The copies from which the
	// users' store comes back are some seconds old.
	departureMs = 2 * clock.Minute

	// returnedHoldMs is the time after which the entry of an older copy is believed if it is
	// still there. Upstreams that have left do not refresh theirs, so the store removes it
	// after three heartbeats, which are about a second each.
	returnedHoldMs = 15 * clock.Second
)

// departure is what was known of an upstream when it was removed.
type departure struct {
	info     Upstream
	era      uint64 // in which it was removed
	revision uint64 // of its last entry
	at       clock.Millis
	older    olderReports // since then
}

// departures records removed upstreams, so that a store that comes back from an older copy
// does not bring them back, and holds the entries of which this is suspected.
type departures struct {
	byID boundedMap[string, departure]
	held map[string]heldEntry

	newestIncarnation uint64 // of all upstreams so far: one that is newer has not left yet
}

// heldEntry is an entry that is believed at a later time unless it is removed or written
// again before.
type heldEntry struct {
	msg UpstreamMsg
	at  clock.Millis
}

func newDepartures() departures {
	return departures{byID: newBoundedMap[string, departure](maxDepartures), held: make(map[string]heldEntry)}
}

// record remembers an upstream that was removed. A store that states no era is not known to
// come back from a copy.
func (d *departures) record(now clock.Millis, u *upstream, era uint64) {
	if era == 0 {
		return
	}
	d.byID.set(u.info.ID, departure{info: u.info, era: era, revision: u.revision, at: now})
}

// isFromOlderCopy reports whether an entry may be of a copy from before the removal. The
// copy has the upstream's last entry or an earlier one. What the upstream writes after the
// store's return has a new sequence number, or at least a revision that follows those of
// the copy.
func (d *departure) isFromOlderCopy(msg *UpstreamMsg) bool {
	return msg.Era > d.era && (msg.Upstream.isOlderThan(d.info) || !d.info.isOlderThan(msg.Upstream) && msg.Revision <= d.revision)
}

// isLateWrite reports whether an entry of the same era was probably written before the
// removal, and carried out by the store after it. One that lives goes on with newer entries.
func (d *departure) isLateWrite(msg *UpstreamMsg) bool {
	return msg.Era == d.era && msg.Upstream.isOlderThan(d.info) && !d.older.outvote(msg.Upstream)
}

// holdReturned holds the entry of a removed upstream back if it may be of an older copy or a
// late write, and reports whether it did. An upstream that was leaving stays so for its
// incarnation.
func (m *Model) holdReturned(now clock.Millis, msg *UpstreamMsg) bool {
	id := msg.Upstream.ID
	delete(m.departures.held, id)
	d := m.departures.byID.get(id)
	if d.info.ID == "" || now >= d.at+departureMs {
		// This VM does not know when the upstream left, as it may have started later.
		return msg.Returned && msg.Upstream.Incarnation <= m.departures.newestIncarnation && m.holdEntry(now, msg)
	}
	if msg.Era < d.era {
		return false
	}
	if msg.Upstream.Incarnation == d.info.Incarnation && d.info.Leaving {
		msg.Upstream.Leaving = true
	}
	held := d.isFromOlderCopy(msg) || d.isLateWrite(msg)
	m.departures.byID.set(id, d)
	return held && m.holdEntry(now, msg)
}

func (m *Model) holdEntry(now clock.Millis, msg *UpstreamMsg) bool {
	m.departures.held[msg.Upstream.ID] = heldEntry{msg: *msg, at: now + returnedHoldMs}
	m.emit(EventCmd{Event: Event{Kind: "upstream_returned_held", Upstream: msg.Upstream.ID, Detail: msg.Upstream.Service}})
	return true
}

// acceptHeld applies the held entries whose hold has ended.
func (m *Model) acceptHeld(now clock.Millis) {
	var due []string
	for id, h := range m.departures.held {
		if now >= h.at {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		msg := m.departures.held[id].msg
		msg.Returned = false
		m.departures.byID.set(id, departure{})
		m.setUpstream(now, msg)
	}
}

// nextWake returns the time at which the next held entry is believed, if there is one.
func (d *departures) nextWake() (clock.Millis, bool) {
	at, ok := clock.Millis(0), false
	for _, h := range d.held {
		if !ok || h.at < at {
			at, ok = h.at, true
		}
	}
	return at, ok
}
