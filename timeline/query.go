package timeline

import (
	"slices"
	"strings"

	"lentillink.example/lentillink/clock"
)

// Events returns the stored events that match f, oldest first.
func (r *Ring) Events(f Filter) []Event {
	var out []Event
	add := func(events []Event) {
		for _, ev := range events {
			if f.Matches(ev) {
				out = append(out, ev)
			}
		}
	}
	if r.full {
		add(r.events[r.next:])
	}
	add(r.events[:r.next])
	return out
}

// Dropped returns how many events were overwritten by newer ones.
func (r *Ring) Dropped() uint64 { return r.dropped }

// LastTimestamp returns the most recent timestamp.
func (r *Ring) LastTimestamp() clock.Timestamp { return r.clock.Last() }

// Filter selects events. Empty fields match everything.
type Filter struct {
	Request  string
	Upstream string // an upstream identifier or a prefix of it, such as a service
	Revision uint64
	Kind     Kind
	SinceMs  clock.Millis
	After    clock.Timestamp // matches events with a greater timestamp; used to follow new events
}

// Matches reports whether ev passes the filter.
func (f Filter) Matches(ev Event) bool {
	switch {
	case f.Request != "" && ev.Request != f.Request:
		return false
	case f.Upstream != "" && !strings.HasPrefix(ev.Upstream, f.Upstream):
		return false
	case f.Revision != 0 && ev.Revision != f.Revision:
		return false
	case f.Kind != "" && ev.Kind != f.Kind:
		return false
	case ev.Timestamp.WallMs < f.SinceMs:
		return false
	}
	return f.After == (clock.Timestamp{}) || ev.Timestamp.Compare(f.After) > 0
}

// Merge returns the events of several VMs sorted by timestamp. Equal timestamps
// sort by VM, so that the result does not depend on the input order.
func Merge(lists ...[]Event) []Event {
	out := slices.Concat(lists...)
	slices.SortStableFunc(out, func(a, b Event) int {
		if c := a.Timestamp.Compare(b.Timestamp); c != 0 {
			return c
		}
		return strings.Compare(a.VM, b.VM)
	})
	return out
}
