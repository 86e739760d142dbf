package budget

// A service whose work is delegated to carriers has one carrier in each data centre of its
// upstreams, which sends nearly all of its attempts. Other VMs send what they reclaim
// from a lost carrier. The rest is left for VMs that count as carriers at the same time
// because their lists of VMs differ.
const (
	carrierShare = 0.4
	otherShare   = 0.5
)

// EqualPart returns the part of a fixed allowance that each VM has if all send equally.
func EqualPart(vms int) float64 { return 1 / float64(max(vms, 1)) }

// CarrierPart returns the part that each of the carriers of a service has.
func CarrierPart(carriers int) float64 { return carrierShare / float64(max(carriers, 1)) }

// OtherPart returns the part that each VM has that is no carrier of the service.
func OtherPart(vms int) float64 { return otherShare / float64(max(vms, 1)) }
