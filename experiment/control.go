package experiment

import (
	"fmt"
	"math"
	"runtime"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/preset"
)

// Bounds and rates of section 1.7 of the design page. The rates are those of
// the whole fleet in two years and are applied at every size.
const (
	maxControlBytes        = 3000.0
	maxControlCorePercent  = 3.9
	maxControlMB           = 64.0
	maxStoreReads          = 2000.0
	maxStoreWrites         = 300.0
	restartsPerDay         = 2700.0
	failuresPerDay         = 38.0
	presetChangesPerDay    = 2300.0
	leavingReportsPerDay   = 2 * 2700.0 // upstreams restart as often as VMs, with one report for leaving and one for returning
	minutesPerDay          = 1440.0
	controlMinutes         = 4
	settleMs               = 2 * clock.Minute // the figures exclude the cold start
	baselineHeartbeatBytes = 2 * (MessageOverheadBytes + 20)
)

// Control measures the cost of membership and dissemination per VM under the
// restarts, failures and preset changes of the two-year size. cpu returns the
// nanoseconds of a running clock; if it is nil, processor time is not measured.
// The baseline of bytes and messages is computed for a fleet in which every VM
// pings every other VM each second.
func Control(seed uint64, cpu func() int64, sizes ...int) Report {
	r := Report{Name: "control", Seed: seed}
	if len(sizes) == 0 {
		sizes = FleetSizes
	}
	costs := make([]controlCost, len(sizes))
	for i, n := range sizes {
		costs[i] = measureControl(seed, n, cpu)
		costs[i].report(&r, n, cpu != nil)
	}
	last := len(sizes) - 1
	if last > 0 {
		a, b := costs[0], costs[last]
		span := float64(sizes[last] - sizes[0])
		r.Notes = append(r.Notes,
			fmt.Sprintf("slope: %.3g bytes/s, %.3g messages/s, %.3g %% of a core, %.3g KB per further member",
				(b.bytes-a.bytes)/span, (b.messages-a.messages)/span, (b.corePercent-a.corePercent)/span, 1000*(b.megabytes-a.megabytes)/span),
			"the baseline of bytes and messages is computed for pings between all pairs, not run")
	}
	return r
}

// controlCost is the cost per VM; for the store, that of the whole fleet.
type controlCost struct {
	bytes, maxBytes, messages, corePercent, megabytes, reads, writes, openWatches float64
	converged                                                                     bool
}

func (c *controlCost) report(r *Report, n int, timed bool) {
	size := fmt.Sprintf(", %d VMs", n)
	otherVMs := float64(n - 1)
	r.AtMost("sent by a VM"+size, "bytes/s", otherVMs*baselineHeartbeatBytes, c.bytes, maxControlBytes)
	r.AtMost("sent by the busiest VM"+size, "bytes/s", otherVMs*baselineHeartbeatBytes, c.maxBytes, maxControlBytes)
	r.AddUnbounded("messages of a VM"+size, "1/s", 2*otherVMs, c.messages)
	if timed {
		r.AtMost("processor time of a VM"+size, "% core", 0, c.corePercent, maxControlCorePercent)
	}
	r.AtMost("memory of a VM"+size, "MB", 0, c.megabytes, maxControlMB)
	r.AtMost("store reads and watches of the fleet"+size, "1/s", otherVMs, c.reads, maxStoreReads)
	r.AtMost("store writes of the fleet"+size, "1/s", 0, c.writes, maxStoreWrites)
	r.AddUnbounded("watches waiting at the end"+size, "", 0, c.openWatches)
	converged := 0.0
	if c.converged {
		converged = 1
	}
	r.AtLeast("members agree at the end"+size, "", 0, converged, 1)
}

func measureControl(seed uint64, n int, cpu func() int64) controlCost {
	before := heapBytes()
	f := NewFleet(seed, n)
	f.startAndJoin()
	f.RunFor(settleMs)
	f.CPU = cpu
	for _, vm := range f.VMs {
		vm.SentMessages, vm.SentBytes, vm.BusyNs = 0, 0, 0
	}
	f.Store.Reads, f.Store.Writes, f.Store.Watches = 0, 0, 0
	span := controlMinutes * clock.Minute
	f.churn(span)
	f.RunFor(span)
	c := f.cost(span)
	c.megabytes = (heapBytes() - before) / float64(n) / 1e6
	_, c.converged = f.RunUntil(500, clock.Minute, f.Converged)
	return c
}

// heapBytes includes the fake network and its queues, so it overstates the memory of the models.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func (f *Fleet) cost(span clock.Millis) controlCost {
	var c controlCost
	seconds := float64(span) / float64(clock.Second)
	var bytes, sent, busy float64
	for _, n := range f.VMs {
		bytes += float64(n.SentBytes)
		sent += float64(n.SentMessages)
		busy += float64(n.BusyNs)
		c.maxBytes = max(c.maxBytes, float64(n.SentBytes)/seconds)
	}
	vms := float64(len(f.VMs))
	c.bytes, c.messages = bytes/vms/seconds, sent/vms/seconds
	c.corePercent = 100 * busy / vms / seconds / 1e9
	c.reads = float64(f.Store.Reads+f.Store.Watches) / seconds
	c.writes = float64(f.Store.Writes) / seconds
	c.openWatches = float64(f.Store.OpenWatches())
	return c
}

// churn schedules restarts, failures, preset changes and leaving reports at equal intervals over span.
func (f *Fleet) churn(span clock.Millis) {
	f.scheduleEvenly(span, restartsPerDay, func(int) { f.restartGracefully(f.randomReady()) })
	f.scheduleEvenly(span, failuresPerDay, func(int) {
		n := f.randomReady()
		f.Kill(n)
		f.Loop.After(30*clock.Second, func() { f.Start(n) })
	})
	f.scheduleEvenly(span, presetChangesPerDay, func(i int) {
		change := preset.Change{
			ID: fmt.Sprintf("control-%d", i), Author: "experiment", Reason: "load", SwitchTo: []string{"peak", "ordinary"}[i%2],
		}
		f.StartChange(f.randomReady(), change, 5*clock.Second, func(preset.Result) {})
	})
	f.scheduleEvenly(span, leavingReportsPerDay, func(i int) {
		f.Deliver(f.randomReady(), fleet.UpstreamLeavingMsg{Upstream: upstreamID(i / 2), Leaving: i%2 == 0})
	})
}

func (f *Fleet) scheduleEvenly(span clock.Millis, perDay float64, run func(i int)) {
	count := int(math.Ceil(perDay / minutesPerDay * float64(span/clock.Minute)))
	for i := range count {
		// The last tenth stays free, so that restarts complete within span.
		f.Loop.After(span*clock.Millis(9*i)/clock.Millis(10*count), func() { run(i) })
	}
}

func (f *Fleet) randomReady() *FleetVM {
	for {
		if n := f.VMs[f.rng.IntN(len(f.VMs))]; n.Running && n.Model.Ready() {
			return n
		}
	}
}

// restartGracefully stops a VM gracefully and starts it again.
func (f *Fleet) restartGracefully(n *FleetVM) {
	f.Deliver(n, fleet.StopMsg{})
	f.Loop.After(3*clock.Second, func() { f.Kill(n) })
	f.Loop.After(8*clock.Second, func() { f.Start(n) })
}
