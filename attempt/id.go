package attempt

import "fmt"

// ID identifies an attempt uniquely among all VMs. Incarnation differs for each
// start of the VM, so a restarted or replaced VM never reuses an ID.
type ID struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	Seq         uint64 `json:"seq"`
}

// String formats the ID as vm-incarnation-seq.
func (id ID) String() string { return fmt.Sprintf("%s-%d-%d", id.VM, id.Incarnation, id.Seq) }
