package quota_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/quota"
)

// BenchmarkFleet measures a change of the VM list at the size of two years.
func BenchmarkFleet(b *testing.B) {
	m := quota.New(quota.WithSelf("vm-0", "dc-0"))
	m.Update(1000, quota.LimitedMsg{Limited: true})
	var vms []quota.VM
	for i := range 1600 {
		vms = append(vms, quota.VM{ID: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%9), CPUMilli: 800})
	}
	b.ReportAllocs()
	for b.Loop() {
		m.Update(2000, quota.FleetMsg{VMs: vms})
	}
}
