package experiment

import (
	"fmt"
	"math"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
)

const (
	rackVMs                      = 40 // the design page does not specify the size of a rack
	splitDurationMs              = 3 * clock.Minute
	agreementStepMs clock.Millis = 500
	agreementLimit               = 15 * clock.Minute
	millisPerSecond              = 1e3
)

// Failures measures how long the VMs take to converge on the set of live VMs
// after the loss of a rack, of a data centre and of the links between regions.
// There is no baseline.
func Failures(seed uint64, sizes ...int) Report {
	r := Report{Name: "failures", Seed: seed}
	if len(sizes) == 0 {
		sizes = FleetSizes[1:3] // at 1,600 members the run takes more than four minutes
	}
	for _, n := range sizes {
		measureFailures(&r, seed, n)
	}
	return r
}

func measureFailures(r *Report, seed uint64, n int) {
	size := fmt.Sprintf(", %d VMs", n)
	f := NewFleet(seed, n)
	f.startAndJoin()
	f.RunFor(settleMs)
	f.killAndRestart(r, "rack of 40"+size, func(v *FleetVM) bool { return v.Index < rackVMs })
	f.killAndRestart(r, "data centre"+size, func(v *FleetVM) bool { return v.Index%int(dataCentres) == 0 })
	f.splitRegion(r, size)
	reverts := 0
	for _, v := range f.VMs {
		reverts += v.Reverts
	}
	r.AtMost("reverts on a VM"+size, "", 0, float64(reverts), 0)
}

// killAndRestart kills all matching VMs at the same time and restarts them once all
// other VMs see them as dead.
func (f *Fleet) killAndRestart(r *Report, what string, match func(*FleetVM) bool) {
	f.resetTraffic()
	for _, v := range f.VMs {
		if match(v) {
			f.Kill(v)
		}
	}
	took, busiest := f.measureUntil(f.Converged)
	r.AddUnbounded("seen as dead by all, "+what, "s", 0, took)
	r.AddUnbounded("sent by the busiest VM meanwhile, "+what, "bytes/s", 0, busiest)
	f.resetTraffic()
	for _, v := range f.VMs {
		if match(v) {
			f.Start(v)
		}
	}
	took, busiest = f.measureUntil(f.Converged)
	r.AddUnbounded("seen as back by all, "+what, "s", 0, took)
	r.AddUnbounded("sent by the busiest VM on return, "+what, "bytes/s", 0, busiest)
	f.RunFor(settleMs)
}

// splitRegion cuts the links of region 0 to the other regions and to the store,
// changes the preset on the other side, and restores the links.
func (f *Fleet) splitRegion(r *Report, size string) {
	f.LinkCut = func(a, b *FleetVM) bool { return (a.Region == 0) != (b.Region == 0) }
	f.Store.Unreachable = func(v *FleetVM) bool { return v.Region == 0 }
	// Open watches of region 0 end together with its links.
	f.Store.Fail()
	f.Store.Down = false
	begin := f.Loop.Now()
	took, _ := f.measureUntil(f.sidesAgree)
	r.AddUnbounded("each side sees only itself after a region split"+size, "s", 0, took)
	var revision uint64
	change := preset.Change{ID: "split", Author: "experiment", Reason: "region split", SwitchTo: "peak"}
	f.StartChange(f.VMs[1], change, 10*clock.Second, func(res preset.Result) { revision = res.Record.Revision })
	f.RunUntil(1, clock.Second, func() bool { return revision > 0 })
	inForce := func(v *FleetVM) bool { return v.Model.Record().Revision >= revision }
	inForceMs, _ := f.RunUntil(10, agreementLimit, func() bool {
		return f.All(func(v *FleetVM) bool { return v.Region == 0 || inForce(v) })
	})
	r.AtMost("change in force on the side of the store"+size, "ms", 0, float64(inForceMs), spreadBoundMs)
	f.RunFor(max(0, begin+splitDurationMs-f.Loop.Now()))
	f.LinkCut, f.Store.Unreachable = nil, nil
	f.resetTraffic()
	inForceAfterHealMs, _ := f.RunUntil(10, agreementLimit, func() bool { return f.All(inForce) })
	r.AddUnbounded("change in force everywhere after healing"+size, "ms", 0, float64(inForceAfterHealMs))
	took, busiest := f.measureUntil(f.Converged)
	r.AddUnbounded("all agree after healing"+size, "s", 0, took+float64(inForceAfterHealMs)/millisPerSecond)
	r.AddUnbounded("sent by the busiest VM after healing"+size, "bytes/s", 0, busiest)
}

// sidesAgree reports whether every VM sees exactly the VMs on its own side as live.
func (f *Fleet) sidesAgree() bool {
	return f.All(func(v *FleetVM) bool {
		for _, other := range f.VMs {
			if v.Model.IsLive(other.VM.ID) != ((v.Region == 0) == (other.Region == 0)) {
				return false
			}
		}
		return true
	})
}

// measureUntil runs the fleet until ok holds. It returns the elapsed seconds and
// the bytes per second sent by the busiest VM.
func (f *Fleet) measureUntil(ok func() bool) (seconds, busiest float64) {
	took, done := f.RunUntil(agreementStepMs, agreementLimit, ok)
	if !done {
		return math.Inf(1), math.Inf(1)
	}
	seconds = float64(took) / millisPerSecond
	for _, v := range f.VMs {
		busiest = max(busiest, float64(v.SentBytes)/max(seconds, 1))
	}
	return seconds, busiest
}

func (f *Fleet) resetTraffic() {
	for _, v := range f.VMs {
		v.SentBytes = 0
	}
}
