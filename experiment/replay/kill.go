package replay

import (
	"maps"
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

// killCarriers kills the n VMs that gather the most, one after the other.
func (w *Simulation) killCarriers(n int, from, interval clock.Millis) {
	for i := range n {
		w.at(from+clock.Millis(i)*interval, func() { w.kill(w.busiest()) })
	}
}

// busiest returns the VM to which most work was delegated.
func (w *Simulation) busiest() int {
	best := 0
	for vm := range w.vms {
		if !w.dead[vm] && (w.dead[best] || w.gathered[vm] > w.gathered[best]) {
			best = vm
		}
	}
	return best
}

// kill stops a VM. The other VMs and its callers see their connections break.
func (w *Simulation) kill(vm int) {
	w.dead[vm] = true
	for other := range w.vms {
		w.at(w.now+oneWayMs, func() { w.update(other, relay.PeerDisconnectedMsg{VM: w.vmName(vm)}) })
	}
	for _, id := range slices.Sorted(maps.Keys(w.openRequests)) {
		if a := w.openRequests[id]; a.vm == vm {
			delete(w.openRequests, id)
			w.at(w.now+callerOneWayMs, func() { w.handleAnswer(a, w.requestNames[id], relay.Answer{Outcome: relay.Failed}) })
		}
	}
}
