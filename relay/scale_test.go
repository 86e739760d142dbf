package relay_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

// newTwoYearModel returns the model of a VM of the two-year size: 1,600 VMs, and 9,500
// upstreams of 98 shards, in 9 data centres.
func newTwoYearModel() (*relay.Model, []relay.VM) {
	m := relay.New(relay.WithSelf("vm0", "d0"))
	cfg := route.Config{Version: 1, Routes: []route.Route{{Name: "q", Host: "h", Prefix: "/", TimeoutMs: 400, TargetMs: 50, MaxAttempts: 2, MinShardRatio: 0.9}}}
	for i := range 98 {
		name := fmt.Sprint("s", i)
		cfg.Routes[0].Gather = append(cfg.Routes[0].Gather, name)
		cfg.Services = append(cfg.Services, route.Service{Name: name, WarmupPerSecond: 10, WarmupMs: 3000})
	}
	m.Update(1000, relay.TableMsg{Table: route.NewTable(cfg)})
	for i := range 9500 {
		m.Update(1000, relay.UpstreamMsg{Upstream: twoYearUpstream(i, 0)})
	}
	var vms []relay.VM
	for i := range 1600 {
		vms = append(vms, relay.VM{ID: fmt.Sprint("vm", i), Address: fmt.Sprint(i), DataCentre: fmt.Sprint("d", i%9), CPUMilli: 800})
	}
	m.Update(1000, relay.FleetMsg{VMs: vms})
	return m, vms
}

func twoYearUpstream(i int, coldMs clock.Millis) relay.Upstream {
	return relay.Upstream{ID: fmt.Sprint("u", i), Service: fmt.Sprint("s", i%98), Address: fmt.Sprint(i), DataCentre: fmt.Sprint("d", i%9), Slots: 2, ColdMs: coldMs}
}

// BenchmarkEvacuation measures the start and the end of an evacuation.
func BenchmarkEvacuation(b *testing.B) {
	m, _ := newTwoYearModel()
	for now := clock.Millis(2000); b.Loop(); now++ {
		m.Update(now, relay.EvacuationMsg{DataCentre: "d0", Active: true})
		m.Update(now, relay.EvacuationMsg{DataCentre: "d0", Active: false})
	}
}

// BenchmarkFleetChange measures a change of the list of VMs, while no upstream is cold and
// while all of one data centre are.
func BenchmarkFleetChange(b *testing.B) {
	for _, cold := range []bool{false, true} {
		b.Run(fmt.Sprint("cold=", cold), func(b *testing.B) {
			m, vms := newTwoYearModel()
			for i := 0; cold && i < 9500; i += 9 {
				u := twoYearUpstream(i, clock.Hour)
				u.Sequence = 1
				m.Update(1000, relay.UpstreamMsg{Upstream: u})
			}
			for now := clock.Millis(2000); b.Loop(); now++ {
				m.Update(now, relay.FleetMsg{VMs: vms[:len(vms)-int(now%2)]})
			}
		})
	}
}
