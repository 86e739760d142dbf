package experiment

import (
	"fmt"
	"slices"
	"strings"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
)

// orderFault is one kind of fault with the mean time between injections.
type orderFault struct {
	name   string
	meanMs float64
	inject func(r *ordersRun)
}

// orderFaults are more frequent than in any real fleet, so that short runs see faults at every step.
var orderFaults = []orderFault{
	{"store outage", 9000, func(r *ordersRun) { r.store.downUntil = r.loop.Now() + r.randomMs(200, 2500) }},
	{"store slow", 6000, func(r *ordersRun) { r.store.slowUntil = r.loop.Now() + r.randomMs(300, 2000) }},
	{"VM killed", 2500, func(r *ordersRun) { r.kill(r.randomVM()) }},
	{"VM stopped", 9000, (*ordersRun).drain},
	{"VM paused", 1200, func(r *ordersRun) { r.randomVM().pause(r.randomMs(300, 5000)) }},
	{"link cut one way", 1500, (*ordersRun).cutLink},
	{"owner views differ", 800, (*ordersRun).sendPartialVMList},
	{"upstream dead", 700, func(r *ordersRun) { r.failUpstream(true) }},
	{"upstream leaving", 700, func(r *ordersRun) { r.failUpstream(false) }},
}

func (r *ordersRun) scheduleFaults() {
	for i, f := range orderFaults {
		var next func()
		next = func() {
			r.loop.After(clock.Millis(r.rng.ExpFloat64()*f.meanMs)+1, func() {
				if !r.faultsActive() {
					return
				}
				r.faultCounts[i]++
				f.inject(r)
				next()
			})
		}
		next()
	}
}

func (r *ordersRun) randomMs(low, high int) clock.Millis {
	return clock.Millis(low + r.rng.IntN(high-low))
}

func (r *ordersRun) randomVM() *orderVM { return r.vms[r.vmNames[r.rng.IntN(len(r.vmNames))]] }

// kill ends the process of a VM immediately and later starts a replacement with the same name.
func (r *ordersRun) kill(vm *orderVM) {
	if vm.dead {
		return
	}
	vm.dead = true
	r.deadVMs = append(r.deadVMs, vm)
	r.sendVMLists()
	r.loop.After(r.randomMs(100, 2500), func() {
		next := r.startVM(vm.name, vm.incarnation+1)
		next.deliver(order.LiveVMsMsg{VMs: r.liveNames()})
		r.sendVMLists()
	})
}

// drain gracefully stops a VM and ends its process after the drain.
func (r *ordersRun) drain() {
	vm := r.randomVM()
	if vm.dead || vm.stopping {
		return
	}
	vm.stopping = true
	vm.deliver(order.StopMsg{})
	r.sendVMLists()
	r.loop.After(3000, func() { r.kill(vm) })
}

// liveNames returns the VMs that may own partitions.
func (r *ordersRun) liveNames() []string {
	var live []string
	for _, name := range r.vmNames {
		if vm := r.vms[name]; !vm.dead && !vm.stopping {
			live = append(live, name)
		}
	}
	return live
}

// sendVMLists sends each VM the current list of live VMs after a random delay.
func (r *ordersRun) sendVMLists() {
	for _, name := range r.vmNames {
		r.loop.After(r.randomMs(50, 2000), func() {
			r.vms[name].deliver(order.LiveVMsMsg{VMs: r.liveNames()})
		})
	}
}

// sendPartialVMList sends one VM a list that lacks another VM, and corrects it later.
func (r *ordersRun) sendPartialVMList() {
	vm, missing := r.randomVM(), r.randomVM()
	live := slices.DeleteFunc(r.liveNames(), func(n string) bool { return n == missing.name })
	vm.deliver(order.LiveVMsMsg{VMs: live})
	r.loop.After(r.randomMs(200, 2500), func() {
		r.vms[vm.name].deliver(order.LiveVMsMsg{VMs: r.liveNames()})
	})
}

func (r *ordersRun) cutLink() {
	r.cutUntil[[2]string{r.randomVM().name, r.randomVM().name}] = r.loop.Now() + r.randomMs(300, 4000)
}

func (r *ordersRun) failUpstream(dead bool) {
	group := orderGroup(r.rng.IntN(orderGroups))
	u := r.upstreams[string(orderUpstream(group, r.rng.IntN(orderReplicas)))]
	flag := &u.Leaving
	if dead {
		flag = &u.Dead
	}
	*flag = true
	r.loop.After(r.randomMs(300, 4000), func() { *flag = false })
}

func (r *ordersRun) faultSummary() string {
	parts := make([]string, len(orderFaults))
	for i, f := range orderFaults {
		parts[i] = fmt.Sprintf("%s %d", f.name, r.faultCounts[i])
	}
	return strings.Join(parts, ", ")
}
