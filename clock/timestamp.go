package clock

import "cmp"

// Timestamp is a hybrid logical timestamp. Timestamps of one VM strictly increase,
// and a timestamp taken after receiving a message is greater than the sender's.
type Timestamp struct {
	WallMs  Millis `json:"wall_ms"`
	Logical uint32 `json:"logical"`
}

// Compare orders two timestamps.
func (s Timestamp) Compare(o Timestamp) int {
	if c := cmp.Compare(s.WallMs, o.WallMs); c != 0 {
		return c
	}
	return cmp.Compare(s.Logical, o.Logical)
}

// MaxDriftMs limits how far a remote timestamp may move the local hybrid clock.
const MaxDriftMs Millis = 60 * Second

// Hybrid issues hybrid logical timestamps. It is not safe for concurrent use.
type Hybrid struct {
	last Timestamp
}

// Next returns a timestamp for a local event at now.
func (h *Hybrid) Next(now Millis) Timestamp {
	if now > h.last.WallMs {
		h.last = Timestamp{WallMs: now}
		return h.last
	}
	h.last.Logical++
	return h.last
}

// Observe merges the timestamp of a received message. It ignores a timestamp more
// than MaxDriftMs ahead of now, so that one wrong clock cannot move the fleet.
func (h *Hybrid) Observe(now Millis, remote Timestamp) {
	if remote.WallMs > now+MaxDriftMs {
		return
	}
	if remote.Compare(h.last) > 0 {
		h.last = remote
	}
}

// Last returns the most recent timestamp.
func (h *Hybrid) Last() Timestamp { return h.last }
