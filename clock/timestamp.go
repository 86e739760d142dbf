package clock

import "cmp"

// Timestamp is a hybrid logical timestamp. Stamps from one VM strictly increase,
// and a stamp taken after receiving a message exceeds the sender's stamp.
type Timestamp struct {
	WallMs  Millis `json:"wall_ms"`
	Logical uint32 `json:"logical"`
}

// Compare orders two stamps.
func (s Timestamp) Compare(o Timestamp) int {
	if c := cmp.Compare(s.WallMs, o.WallMs); c != 0 {
		return c
	}
	return cmp.Compare(s.Logical, o.Logical)
}

// MaxDriftMs bounds how far a remote stamp may move the local hybrid clock.
const MaxDriftMs Millis = 60 * Second

// Hybrid issues hybrid logical timestamps. It is not safe for concurrent use.
type Hybrid struct {
	last Timestamp
}

// Next returns a stamp for a local event at now.
func (h *Hybrid) Next(now Millis) Timestamp {
	if now > h.last.WallMs {
		h.last = Timestamp{WallMs: now}
		return h.last
	}
	h.last.Logical++
	return h.last
}

// Observe merges the stamp of a received message. A stamp further ahead of
// now than MaxDriftMs is ignored, so that one wrong clock cannot move the fleet.
func (h *Hybrid) Observe(now Millis, remote Timestamp) {
	if remote.WallMs > now+MaxDriftMs {
		return
	}
	if remote.Compare(h.last) > 0 {
		h.last = remote
	}
}

// Last returns the most recent stamp.
func (h *Hybrid) Last() Timestamp { return h.last }
