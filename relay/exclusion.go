package relay

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

// Exclusion is why an upstream gets no attempt now.
type Exclusion uint8

// The reasons why an upstream gets no attempt now.
const (
	nothing      Exclusion = iota
	Removed                // it is no longer there
	Leaving                // it leaves
	Evacuated              // its data centre is evacuated
	Tried                  // it was asked before
	Reserved               // another VM may ask it for this request, see mayUse
	HeldTooLong            // it asked for no requests, or is cold, beyond the time of the request
	Shed                   // it has refused this request for now
	Unreachable            // its data centre seems to be cut off; it is the last resort
	Held                   // it asked for no requests for a time
	Cold                   // it is cold, and the share of this VM is used up
	Full                   // no free place
	Yielded                // the customer is above its share and leaves the place to others
	Occupied               // the request waits in the order of this VM, rather than behind others there
	Avoided                // it has failed or refused requests; it is the second choice
	Unconsidered           // another upstream was taken as a probe first
)

var exclusionNames = [...]string{"", "removed", "leaving", "evacuated", "tried", "reserved", "held_too_long", "shed", "unreachable", "held", "cold", "full", "yielded", "occupied", "avoided", "unconsidered"}

// String returns the name of e, empty for an upstream that may be chosen.
func (e Exclusion) String() string {
	if int(e) < len(exclusionNames) {
		return exclusionNames[e]
	}
	return "invalid"
}

// exclusion returns why a sub-request does not go to u now.
func (m *Model) exclusion(now clock.Millis, sub *subrequest, u *upstream) Exclusion {
	if e := sub.barred(u); e != nothing {
		return e
	}
	notBefore := u.notBefore(now)
	switch {
	case sub.hasTried(u):
		return Tried
	case !m.mayUse(sub, u):
		return Reserved
	case notBefore > now && notBefore >= sub.waitLimit():
		return HeldTooLong
	case now < u.avoidUntil && sub.refusedBy(u):
		return Shed
	case m.isUnreachable(now, u.info.DataCentre):
		return Unreachable
	case now < notBefore && u.isCold(now) && now >= u.holdUntil:
		return Cold
	case now < notBefore:
		return Held
	case len(u.open) >= m.attemptLimit(now, u, sub.req.route.Priority):
		return Full
	case m.leavesPlace(now, sub, u):
		return Yielded
	case now < u.avoidUntil:
		return Avoided
	case m.waitsHere(now, u, sub):
		return Occupied
	}
	return nothing
}

// mayBecomeFree reports whether a sub-request may go to an upstream later that is excluded
// now.
func (sub *subrequest) mayBecomeFree(u *upstream, e Exclusion) bool {
	return e == Shed && u.avoidUntil < sub.req.deadline || slices.Contains(temporary, e)
}

// temporary are the exclusions that end by themselves.
var temporary = []Exclusion{Held, Cold, Full, Yielded, Occupied, Avoided}
