package experiment

import (
	"encoding/json"
	"fmt"
	"math"

	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/vm"
)

// tables measures what one change of the members costs, and the memory per upstream.
func (c *capacityCosts) tables(r *Report, m meter, seed uint64) {
	for _, n := range []int{1000, int(targetUpstreams)} {
		ups, _ := capacityUpstreams(n / 2)
		grew, _ := grown(func() *upstream.Balancer {
			return upstream.New(upstream.WithUpstreams(ups), upstream.WithSeed(seed))
		})
		c.bookBytes = grew / float64(n)
		r.AddUnbounded(fmt.Sprintf("book memory of an upstream, %d upstreams", n), "bytes", 0, c.bookBytes)
		for _, members := range []int{9, 100, 400, int(targetVMs)} {
			c.table(r, m, ups, members)
		}
	}
}

func (c *capacityCosts) table(r *Report, m meter, ups []upstream.Upstream, members int) {
	size := fmt.Sprintf(", %d VMs, %d upstreams", members, len(ups))
	ids := make([]string, len(ups))
	for i, u := range ups {
		ids[i] = string(u.ID)
	}
	all := capacityMembers(members)
	last := len(all) - 1
	grew, t := grown(func() *vm.CarrierTable {
		t := vm.NewCarrierTable(ids)
		t.SetMembers(all)
		return t
	})
	c.tableBytes = grew / float64(len(ids))
	r.AddUnbounded("carrier table memory of an upstream"+size, "bytes", 0, c.tableBytes)
	var moved, movedDC int
	c.leave = m.measure(1, func() { moved = len(t.SetMembers(all[:last])) })
	c.join = m.measure(1, func() { t.SetMembers(all) })
	m.report(r, c.leave, "one VM leaves the carrier table", size)
	m.report(r, c.join, "one VM joins the carrier table", size)
	r.AddUnbounded("upstreams that change carriers when one VM leaves"+size, "", 0, float64(moved))
	kept := all[:members-int(math.Ceil(float64(members)/dataCentres))]
	c.leaveDC = m.measure(1, func() { movedDC = len(t.SetMembers(kept)) })
	m.report(r, c.leaveDC, "one in nine VMs leave the carrier table", size)
	r.AddUnbounded("upstreams that change carriers when one in nine VMs leave"+size, "", 0, float64(movedDC))
	model := order.New(order.WithSelf(all[0], 1))
	c.owners = m.measure(1, func() { model.Update(0, order.LiveVMsMsg{VMs: all}) })
	m.report(r, c.owners, "order machine takes a new list of VMs", size)
}

func capacityMembers(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("vm-%04d", i)
	}
	return ids
}

// streams returns the streams of one of n VMs: one with each VM that carries an
// upstream. With carriers placed at random, the chance that a VM carries none
// is negligible when each carries about twelve.
func streams(n float64) float64 {
	carry := targetUpstreams * carriersEach / n
	return (n - 1) * (1 - math.Exp(-carry))
}

// statuses measures the status document that a VM sends to an operator's VM.
// It holds no member list: the VM that asks has its own.
func (c *capacityCosts) statuses(r *Report, m meter) {
	for _, n := range FleetSizes {
		st := vm.Status{VM: capacityMembers(n)[0], DataCentre: "dc-1", Preset: "ordinary"}
		var data []byte
		size := fmt.Sprintf(", %d VMs", n)
		c.statusCost = m.measure(1, func() { data, _ = json.Marshal(st) })
		c.statusBytes = float64(len(data))
		m.report(r, c.statusCost, "encoding the status of a VM", size)
		r.AddUnbounded("status of a VM"+size, "bytes", 0, c.statusBytes)
		r.AddUnbounded("status of the whole fleet"+size, "bytes", 0, c.statusBytes*float64(n))
	}
}
