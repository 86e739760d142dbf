package experiment

import (
	"encoding/json"
	"fmt"
	"math"

	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/vm"
)

// measureTables measures the cost of one membership change and the memory per upstream.
func (c *capacityCosts) measureTables(r *Report, m meter, seed uint64) {
	for _, n := range []int{1000, int(targetUpstreams)} {
		ups, _ := capacityUpstreams(n / 2)
		growth, _ := heapGrowth(func() *upstream.Balancer {
			return upstream.New(upstream.WithUpstreams(ups), upstream.WithSeed(seed))
		})
		c.balancerBytes = growth / float64(n)
		r.AddUnbounded(fmt.Sprintf("book memory of an upstream, %d upstreams", n), "bytes", 0, c.balancerBytes)
		for _, members := range []int{9, 100, 400, int(targetVMs)} {
			c.measureTable(r, m, ups, members)
		}
	}
}

func (c *capacityCosts) measureTable(r *Report, m meter, ups []upstream.Upstream, members int) {
	size := fmt.Sprintf(", %d VMs, %d upstreams", members, len(ups))
	ids := make([]string, len(ups))
	for i, u := range ups {
		ids[i] = string(u.ID)
	}
	all := capacityMembers(members)
	last := len(all) - 1
	growth, t := heapGrowth(func() *vm.CarrierTable {
		t := vm.NewCarrierTable(ids)
		t.SetMembers(all)
		return t
	})
	c.tableBytes = growth / float64(len(ids))
	r.AddUnbounded("carrier table memory of an upstream"+size, "bytes", 0, c.tableBytes)
	var moved, movedDC int
	c.leave = m.measure(1, func() { moved = len(t.SetMembers(all[:last])) })
	c.join = m.measure(1, func() { t.SetMembers(all) })
	m.report(r, c.leave, "one VM leaves the carrier table", size)
	m.report(r, c.join, "one VM joins the carrier table", size)
	r.AddUnbounded("upstreams that change carriers when one VM leaves"+size, "", 0, float64(moved))
	remaining := all[:members-int(math.Ceil(float64(members)/dataCentres))]
	c.leaveDC = m.measure(1, func() { movedDC = len(t.SetMembers(remaining)) })
	m.report(r, c.leaveDC, "one in nine VMs leave the carrier table", size)
	r.AddUnbounded("upstreams that change carriers when one in nine VMs leave"+size, "", 0, float64(movedDC))
	model := order.New(order.WithSelf(all[0], 1))
	c.vmListUpdate = m.measure(1, func() { model.Update(0, order.LiveVMsMsg{VMs: all}) })
	m.report(r, c.vmListUpdate, "order machine takes a new list of VMs", size)
}

func capacityMembers(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("vm-%04d", i)
	}
	return ids
}

// peerStreams returns the number of peer streams of one VM out of n: one to each
// VM that is a carrier of some upstream. With randomly placed carriers and about
// twelve upstreams per VM, the probability that a VM carries none is negligible.
func peerStreams(n float64) float64 {
	upstreamsPerVM := targetUpstreams * carriersPerUpstream / n
	return (n - 1) * (1 - math.Exp(-upstreamsPerVM))
}

// measureStatuses measures the status document that a VM sends to the VM that an
// operator queries. It contains no member list: the receiving VM has its own.
func (c *capacityCosts) measureStatuses(r *Report, m meter) {
	for _, n := range FleetSizes {
		st := vm.Status{VM: capacityMembers(n)[0], DataCentre: "dc-1", Preset: "ordinary"}
		var data []byte
		size := fmt.Sprintf(", %d VMs", n)
		c.status = m.measure(1, func() { data, _ = json.Marshal(st) })
		c.statusBytes = float64(len(data))
		m.report(r, c.status, "encoding the status of a VM", size)
		r.AddUnbounded("status of a VM"+size, "bytes", 0, c.statusBytes)
		r.AddUnbounded("status of the whole fleet"+size, "bytes", 0, c.statusBytes*float64(n))
	}
}
