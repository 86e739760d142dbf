package replay

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

// evacuate evacuates a data centre for a while. Each VM learns of the start and of the end
// up to lag later than the others. An attempt that a VM sends there in between is a violation.
func (w *Simulation) evacuate(dataCentre string, from, duration, lag clock.Millis) {
	for vm := range w.vms {
		set := func(at clock.Millis, active bool) {
			w.at(at+clock.Millis(w.rng.Int64N(int64(lag))), func() {
				w.evacuated[vm] = ""
				w.update(vm, relay.EvacuationMsg{DataCentre: dataCentre, Active: active})
				if active {
					w.evacuated[vm] = dataCentre
				}
			})
		}
		set(from, true)
		set(from+duration, false)
	}
}

// checkEvacuated records an attempt that breaks an evacuation.
func (w *Simulation) checkEvacuated(vm int, c relay.SendCmd) {
	if dc := w.evacuated[vm]; dc != "" && w.upstreams[c.Upstream].info.DataCentre == dc {
		w.violations = append(w.violations, fmt.Sprintf("%s sent an attempt to %s in the evacuated data centre %s", w.vmName(vm), c.Upstream, dc))
	}
}
