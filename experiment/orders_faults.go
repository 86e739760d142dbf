package experiment

import (
	"fmt"
	"slices"
	"strings"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
)

// orderFault is one kind of fault with the mean time between two of them.
type orderFault struct {
	name   string
	meanMs float64
	inject func(r *ordersRun)
}

// orderFaults are denser than any real fleet sees, so that short runs meet them at every step.
var orderFaults = []orderFault{
	{"store outage", 9000, func(r *ordersRun) { r.store.downUntil = r.loop.Now() + r.between(200, 2500) }},
	{"store slow", 6000, func(r *ordersRun) { r.store.slowUntil = r.loop.Now() + r.between(300, 2000) }},
	{"VM killed", 2500, func(r *ordersRun) { r.kill(r.anyVM()) }},
	{"VM stopped", 9000, (*ordersRun).drain},
	{"VM paused", 1200, func(r *ordersRun) { r.anyVM().pause(r.between(300, 5000)) }},
	{"link cut one way", 1500, (*ordersRun).cut},
	{"owner views differ", 800, (*ordersRun).skewView},
	{"upstream dead", 700, func(r *ordersRun) { r.upstreamFault(true) }},
	{"upstream leaving", 700, func(r *ordersRun) { r.upstreamFault(false) }},
}

func (r *ordersRun) scheduleFaults() {
	for i, f := range orderFaults {
		var next func()
		next = func() {
			r.loop.After(clock.Millis(r.rng.ExpFloat64()*f.meanMs)+1, func() {
				if !r.faulty() {
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

func (r *ordersRun) between(low, high int) clock.Millis {
	return clock.Millis(low + r.rng.IntN(high-low))
}

func (r *ordersRun) anyVM() *orderVM { return r.vms[r.names[r.rng.IntN(len(r.names))]] }

// kill ends a VM at once and starts its replacement later under the same name.
func (r *ordersRun) kill(vm *orderVM) {
	if vm.dead {
		return
	}
	vm.dead = true
	r.dead = append(r.dead, vm)
	r.spreadViews()
	r.loop.After(r.between(100, 2500), func() {
		next := r.startVM(vm.name, vm.incarnation+1)
		next.deliver(order.LiveVMsMsg{VMs: r.liveNames()})
		r.spreadViews()
	})
}

// drain stops a VM as planned and ends it once the drain had time.
func (r *ordersRun) drain() {
	vm := r.anyVM()
	if vm.dead || vm.stopping {
		return
	}
	vm.stopping = true
	vm.deliver(order.StopMsg{})
	r.spreadViews()
	r.loop.After(3000, func() { r.kill(vm) })
}

// liveNames returns the VMs that may own partitions.
func (r *ordersRun) liveNames() []string {
	var live []string
	for _, name := range r.names {
		if vm := r.vms[name]; !vm.dead && !vm.stopping {
			live = append(live, name)
		}
	}
	return live
}

// spreadViews tells each VM the live list after a delay of its own.
func (r *ordersRun) spreadViews() {
	for _, name := range r.names {
		r.loop.After(r.between(50, 2000), func() {
			r.vms[name].deliver(order.LiveVMsMsg{VMs: r.liveNames()})
		})
	}
}

// skewView lets one VM miss another one for a while.
func (r *ordersRun) skewView() {
	vm, missing := r.anyVM(), r.anyVM()
	live := slices.DeleteFunc(r.liveNames(), func(n string) bool { return n == missing.name })
	vm.deliver(order.LiveVMsMsg{VMs: live})
	r.loop.After(r.between(200, 2500), func() {
		r.vms[vm.name].deliver(order.LiveVMsMsg{VMs: r.liveNames()})
	})
}

func (r *ordersRun) cut() {
	r.cuts[[2]string{r.anyVM().name, r.anyVM().name}] = r.loop.Now() + r.between(300, 4000)
}

func (r *ordersRun) upstreamFault(dead bool) {
	group := orderGroup(r.rng.IntN(orderGroups))
	u := r.upstreams[string(orderUpstream(group, r.rng.IntN(orderReplicas)))]
	flag := &u.Leaving
	if dead {
		flag = &u.Dead
	}
	*flag = true
	r.loop.After(r.between(300, 4000), func() { *flag = false })
}

func (r *ordersRun) faultSummary() string {
	parts := make([]string, len(orderFaults))
	for i, f := range orderFaults {
		parts[i] = fmt.Sprintf("%s %d", f.name, r.faultCounts[i])
	}
	return strings.Join(parts, ", ")
}
