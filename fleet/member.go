package fleet

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
)

// State is what a VM believes about a member.
type State uint8

// The states. At equal incarnation and refutation a later state wins.
const (
	Alive   State = iota
	Suspect       // probes failed; dead unless the member refutes in time
	Leaving       // announced a planned stop
	Dead
)

var stateNames = [...]string{"alive", "suspect", "leaving", "dead"}

// String returns the name of s.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// VM is one member, or one claim about a member.
type VM struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation"` // start time of the process, so that a restart supersedes earlier claims
	Refutation  uint32 `json:"refutation"`  // raised by the member itself to refute a claim
	State       State  `json:"state"`
}

// supersedes reports whether claim v replaces claim o about the same member.
func (v *VM) supersedes(o *VM) bool {
	if c := v.compareVersion(o); c != 0 {
		return c > 0
	}
	return v.State > o.State
}

func (v *VM) compareVersion(o *VM) int {
	return cmp.Or(cmp.Compare(v.Incarnation, o.Incarnation), cmp.Compare(v.Refutation, o.Refutation))
}

// digest summarises a claim for comparison between VMs. Suspicion is
// transient and dead members are forgotten at different times, so neither shows.
func (v *VM) digest(idHash uint64) uint32 {
	if v.State == Dead {
		return 0
	}
	h := mix(idHash ^ v.Incarnation*0x9e3779b97f4a7c15 ^ uint64(v.Refutation)<<32)
	if v.State == Leaving {
		h = mix(h + 1)
	}
	return uint32(h)
}

// member is a VM with what this VM keeps about it.
type member struct {
	VM
	hash          uint64 // of the identifier
	probeIndex    int    // position in Model.members
	eligibleIndex int    // position in the eligible list, -1 if not eligible
	stateSince    clock.Millis
	suspectUntil  clock.Millis
}

func newMember(v VM) *member {
	return &member{VM: v, hash: xxhash.Sum64String(v.ID), eligibleIndex: -1}
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
