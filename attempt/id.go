package attempt

import "fmt"

// ID identifies one attempt in the whole fleet. Incarnation changes each time
// the VM starts, so a replaced VM never reuses an identifier.
type ID struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	Seq         uint64 `json:"seq"`
}

// String formats the identifier as vm-incarnation-seq.
func (id ID) String() string { return fmt.Sprintf("%s-%d-%d", id.VM, id.Incarnation, id.Seq) }
