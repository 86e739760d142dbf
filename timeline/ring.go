package timeline

import "lentillink.example/lentillink/clock"

// DefaultCapacity is the default number of events in a Ring.
const DefaultCapacity = 16384

// Ring is a ring buffer of the most recent events of one VM. It is not safe for
// concurrent use.
type Ring struct {
	vm      string
	clock   clock.Hybrid
	events  []Event
	next    int
	full    bool
	dropped uint64
}

// NewRing returns a ring for the given VM with room for n events.
func NewRing(vm string, n int) *Ring {
	if n <= 0 {
		n = DefaultCapacity
	}
	return &Ring{vm: vm, events: make([]Event, n)}
}

// Add sets the timestamp and the VM of ev and stores it, overwriting the oldest
// event of a full ring. It returns the stored event.
func (r *Ring) Add(now clock.Millis, ev Event) Event {
	ev.Timestamp = r.clock.Next(now)
	ev.VM = r.vm
	if r.full {
		r.dropped++
	}
	r.events[r.next] = ev
	r.next++
	if r.next == len(r.events) {
		r.next, r.full = 0, true
	}
	return ev
}

// Observe advances the clock past the timestamp of a message from another VM,
// so that events caused by the message sort after the events that preceded it.
func (r *Ring) Observe(now clock.Millis, timestamp clock.Timestamp) { r.clock.Observe(now, timestamp) }

// NextTimestamp returns the timestamp for a message that is sent now.
func (r *Ring) NextTimestamp(now clock.Millis) clock.Timestamp { return r.clock.Next(now) }
