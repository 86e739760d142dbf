package quota

import "lentillink.example/lentillink/clock"

// reserveSlots is the number of slots into which a window is divided for counting.
const reserveSlots = 8

// reserve counts what a deputy has granted to one customer in a sliding window.
type reserve struct {
	limit  Limit
	counts [reserveSlots + 1]slotCount
}

type slotCount struct {
	slot    clock.Millis // time divided by the length of a slot
	granted int
}

// slotMs returns the length of a slot. Credit may be used later than it was granted, so the
// slots cover that time too.
func (b Bounds) slotMs() clock.Millis {
	return (b.WindowMs + maxValidityMs + reserveSlots - 1) / reserveSlots
}

func (r *reserve) used(slot clock.Millis) int {
	n := 0
	for _, c := range r.counts {
		if c.slot >= slot-reserveSlots {
			n += c.granted
		}
	}
	return n
}

// grant grants what is left of the window.
func (r *reserve) grant(now clock.Millis, e AskEntry, bounds Bounds) GrantEntry {
	if e.Limit.Version > r.limit.Version {
		r.limit = e.Limit
	}
	slot := now / bounds.slotMs()
	n := max(min(e.Want, bounds.reserve(r.limit)-r.used(slot)), 0)
	c := &r.counts[slot%(reserveSlots+1)]
	if c.slot != slot {
		*c = slotCount{slot: slot}
	}
	c.granted += n
	return GrantEntry{Customer: r.limit.Customer, Source: SourceReserve, Credits: n, ValidMs: bounds.validity(r.limit)}
}

// idle reports whether nothing was granted for a whole window.
func (r *reserve) idle(now clock.Millis, bounds Bounds) bool { return r.used(now/bounds.slotMs()) == 0 }
