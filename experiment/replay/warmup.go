package replay

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

const (
	// warmupMs is how long an upstream is cold after its start.
	warmupMs = 3 * clock.Second

	// reportLagMs is the longest time until a VM that reaches the store has a report.
	reportLagMs = 1500

	// lapseMs is the time without a report after which an upstream is removed.
	lapseMs = 3600
)

// returnCold ends the upstreams of some data centres and starts them again, cold. Each
// VM learns of it with a lag of its own; one in ten does not reach the store, so it
// keeps what it knew before. Two VMs leave the list while the upstreams are cold.
func (w *Simulation) returnCold(from, duration clock.Millis, dataCentres ...string) {
	for _, id := range w.sortedUpstreamIDs() {
		u := w.upstreams[id]
		for _, dc := range dataCentres {
			if u.info.DataCentre == dc {
				w.restartCold(u, from, duration)
			}
		}
	}
	for vm := range w.vms {
		w.at(from+duration+w.lag(2*clock.Second), func() { w.update(vm, relay.FleetMsg{VMs: w.fleet[:len(w.fleet)-2]}) })
	}
}

func (w *Simulation) lag(most clock.Millis) clock.Millis {
	return clock.Millis(w.rng.Int64N(int64(most)))
}

func (w *Simulation) restartCold(u *upstream, from, duration clock.Millis) {
	w.at(from, func() {
		u.down = true
		u.queue = nil
	})
	w.at(from+duration, func() {
		u.down, u.info.Incarnation, u.coldUntil = false, u.info.Incarnation+1, w.now+warmupMs
	})
	for vm := range w.vms {
		if vm%10 == 1 {
			continue
		}
		if duration > lapseMs {
			w.at(from+lapseMs+w.lag(reportLagMs), func() { w.update(vm, relay.UpstreamRemovedMsg{ID: u.info.ID}) })
		}
		for report := clock.Millis(0); report <= warmupMs+clock.Second; report += clock.Second {
			w.at(from+duration+report+w.lag(reportLagMs), func() {
				info := u.info
				info.ColdMs, info.Sequence = max(warmupMs-report, 0), uint64(report)
				w.update(vm, relay.UpstreamMsg{Upstream: info})
			})
		}
	}
}

// countCold counts what a cold upstream gets, and checks each second.
func (w *Simulation) countCold(u *upstream) {
	if w.now >= u.coldUntil || w.size.WarmupPerSecond == 0 {
		return
	}
	for len(u.coldArrivals) > 0 && w.now-u.coldArrivals[0] >= clock.Second {
		u.coldArrivals = u.coldArrivals[1:]
	}
	u.coldArrivals = append(u.coldArrivals, w.now)
	const overshoot, slack = 1.5, 5
	if limit := overshoot*w.size.WarmupPerSecond + slack; float64(len(u.coldArrivals)) > limit {
		w.violations = append(w.violations, fmt.Sprintf("%s got %d requests in a second while cold, want at most %.1f", u.info.ID, len(u.coldArrivals), limit))
	}
}
