package replay

import (
	"math"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

// Processor time of a VM with a whole core, in milliseconds: for one message, and for an
// attempt that it sends. Sending to a shard and reading its reply takes about 0.1 ms.
const (
	messageWorkMs = 0.05
	attemptWorkMs = 0.05
	requestWorkMs = 0.3 // to read a caller's request and to write its answer
)

// workOf returns the processor time of a message.
func workOf(msg relay.Msg) float64 {
	switch t := msg.(type) {
	case relay.TickMsg, relay.TableMsg, relay.UpstreamMsg, relay.FleetMsg:
		return 0
	case relay.ArrivalMsg:
		if t.Delegation == nil {
			return requestWorkMs
		}
	}
	return messageWorkMs
}

// occupy adds work to a VM's processor and returns when it is done.
func (w *Simulation) occupy(vm int, workMs float64) clock.Millis {
	const whole = 1000
	cores := float64(max(w.fleet[vm].CPUMilli, 1)) / whole / w.slowness[vm]
	w.busyUntil[vm] = max(w.busyUntil[vm], float64(w.now)) + workMs/cores
	return clock.Millis(math.Ceil(w.busyUntil[vm]))
}

// slowVMs makes some VMs slow for a limited time.
func (w *Simulation) slowVMs(factor float64, from, duration clock.Millis, vms ...int) {
	set := func(at clock.Millis, factor float64) {
		w.at(at, func() {
			for _, vm := range vms {
				w.slowness[vm] = factor
			}
		})
	}
	set(from, factor)
	set(from+duration, 1)
}
