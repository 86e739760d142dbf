package fleet

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
)

// State is the state of a member as seen by one VM.
type State uint8

// The member states. At equal incarnation and refutation number the higher state wins.
const (
	Alive   State = iota
	Suspect       // probes failed; becomes dead unless the member refutes before suspectUntil
	Leaving       // the member announced a planned stop
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

// VM is the record of one member, or an update about one received from a peer.
type VM struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation"` // start time of the process, so that a restart supersedes earlier updates
	Refutation  uint32 `json:"refutation"`  // incremented by the member itself to refute an update
	State       State  `json:"state"`
}

// supersedes reports whether update v replaces update o about the same member.
func (v *VM) supersedes(o *VM) bool {
	if c := v.compareVersion(o); c != 0 {
		return c > 0
	}
	return v.State > o.State
}

func (v *VM) compareVersion(o *VM) int {
	return cmp.Or(cmp.Compare(v.Incarnation, o.Incarnation), cmp.Compare(v.Refutation, o.Refutation))
}

// digest returns a checksum of v for comparison between VMs. It excludes
// suspicion, which is transient, and dead members, which VMs delete at different times.
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

// member is a VM with the local state that the Model keeps for it.
type member struct {
	VM
	hash          uint64 // hash of the identifier
	probeIndex    int    // index in Model.members
	eligibleIndex int    // index in Model.eligible, -1 if not eligible
	stateSince    clock.Millis
	suspectUntil  clock.Millis
}

func newMember(v VM) *member {
	return &member{VM: v, hash: xxhash.Sum64String(v.ID), eligibleIndex: -1}
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
