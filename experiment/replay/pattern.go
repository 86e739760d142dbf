package replay

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

const (
	// loadMs is the time for which callers send requests. drainMs is the time after
	// that within which every request must have ended.
	loadMs  = 20 * clock.Second
	drainMs = 5 * clock.Second

	// Requests per second of all callers on the users' installations.
	todayUrgent, todayOrdinary = 22, 67
	grownUrgent, grownOrdinary = 11, 34

	// The users' upstreams pause for 200 ms every 4.5 s.
	pauseMs         clock.Millis = 200
	pauseIntervalMs clock.Millis = 4500

	// slowFactor multiplies the service times of slow upstreams.
	slowFactor = 8
)

// Pattern is a load under which the decisions of a VM affect the result.
// MinUrgentCredit and MinOrdinaryCredit are the lowest credit that the users
// accept: for a pattern with faults or overload their floor for this kind of
// request, for other patterns the square of the lowest accepted ratio of shards.
type Pattern struct {
	Name                               string
	Size                               Size
	MinUrgentCredit, MinOrdinaryCredit float64
	MaxUrgentDeficit                   float64 // how far the urgent credit may be below the ordinary credit
	MaxUnserved                        int     // requests that end refused or failed

	prepare func(w *Simulation)
}

// Lowest credit that the users accept for a kind of request on days with faults or overload.
const (
	todayFloor = 0.46
	grownFloor = 0.33

	// spreadUnserved is 0.6 of the requests, the largest share that the users accept.
	spreadUnserved = 535
)

// underWay is about how many queries are open when a link is cut: those of 0.2 s.
const underWay = 10

// Patterns returns all patterns.
func Patterns() []Pattern {
	return []Pattern{
		{"pauses", Today, 0.75, 0.89, 0.15, 0, (*Simulation).addPauses},
		{"one in seven upstreams slow", Today, todayFloor, todayFloor, 0.15, 100, func(w *Simulation) {
			w.addPauses()
			w.slowDown(14, 3, 10)
		}},
		{"a whole shard gone", Today, todayFloor, todayFloor, 0.15, 0, func(w *Simulation) {
			w.upstreams["u3-0"].down, w.upstreams["u3-1"].down = true, true
		}},
		{"urgent requests at five times their rate", Today, todayFloor, todayFloor, 0.15, 200, func(w *Simulation) {
			w.Load("urgent", 4*todayUrgent, w.now+5000, w.now+10_000)
		}},
		{"twice what the upstreams can do", Today, todayFloor, 0, 1, 5000, func(w *Simulation) {
			w.Load("ordinary", 250, w.now+5000, w.now+10_000)
		}},
		{"grown, pauses", Grown, 0.85 * 0.85, 0.95 * 0.95, 0.15, 0, (*Simulation).addPauses},
		{"grown, one in six upstreams slow", Grown, grownFloor, grownFloor, 0.15, 100, func(w *Simulation) {
			w.addPauses()
			w.slowDown(6, 1)
		}},
		{"grown, one in six slow for 6 s, then others", Grown, grownFloor, grownFloor, 0.15, 100, func(w *Simulation) {
			w.addPauses()
			w.slowDownFor(6, 1, w.now+2000, 6000)
			w.slowDownFor(6, 2, w.now+10_000, 6000)
		}},
		{"grown, a data centre evacuated and taken back", Grown, 0.85 * 0.85, 0.95 * 0.95, 0.15, 0, func(w *Simulation) {
			w.addPauses()
			w.evacuate("a", w.now+5000, 8000, 2000)
		}},
		{"grown, most upstreams shed", Spread, grownFloor, grownFloor, 0.15, spreadUnserved, func(w *Simulation) {
			w.addPauses()
			w.disturb(5, 4, w.now+5000, 9000, func(u *upstream, on float64) { u.shedShare = 0.6 * on })
		}},
		{"grown, half lose replies, carriers killed", Spread, grownFloor, grownFloor, 0.15, spreadUnserved, func(w *Simulation) {
			w.addPauses()
			w.disturb(2, 1, w.now+5000, 9000, func(u *upstream, on float64) { u.loseShare = 0.4 * on })
			w.killCarriers(30, w.now+6000, 200)
		}},
		{"grown, half of the upstreams lose replies", Spread, grownFloor, grownFloor, 0.15, spreadUnserved, func(w *Simulation) {
			w.addPauses()
			w.disturb(2, 1, w.now+5000, 9000, func(u *upstream, on float64) { u.loseShare = 0.4 * on })
		}},
		{"two data centres parted", Today, todayFloor, todayFloor, 0.15, underWay, func(w *Simulation) {
			w.addPauses()
			w.part("a", "b", w.now+5000, 5500)
		}},
		{"77 VMs, two data centres parted", parted, grownFloor, grownFloor, 0.15, underWay, func(w *Simulation) {
			w.addPauses()
			w.part("a", "b", w.now+5000, 5500)
		}},
		{"77 VMs, two data centres parted, one evacuated", parted, grownFloor, grownFloor, 0.15, 100, func(w *Simulation) {
			w.addPauses()
			w.evacuate("a", w.now+2000, 12_000, 1000)
			w.part("a", "b", w.now+5000, 5500)
		}},
		{"77 VMs, a data centre cut off with its callers", parted, grownFloor, grownFloor, 0.15, 100, func(w *Simulation) {
			w.addPauses()
			w.isolate("a", w.now+5000, 5500)
		}},
		{"77 VMs, a data centre lost", parted, grownFloor, grownFloor, 0.15, underWay, func(w *Simulation) {
			w.addPauses()
			w.lose("a", w.now+5000)
		}},
		{"135 VMs, few of them strong", uneven, 0.85 * 0.85, 0.95 * 0.95, 0.15, 0, (*Simulation).addPauses},
		{"135 VMs, a strong one in each data centre slow", uneven, grownFloor, grownFloor, 0.15, 100, func(w *Simulation) {
			w.addPauses()
			w.slowVMs(6, w.now+5000, 6000, 0, 1, 2)
		}},
		{"9 VMs, a data centre comes back cold", sized(Grown, 9, 0), grownFloor, grownFloor, 0.15, 0, func(w *Simulation) {
			w.returnCold(w.now+5000, 2000, "a")
		}},
		{"77 VMs, a data centre comes back cold", sized(Grown, 77, 192), grownFloor, grownFloor, 0.15, 0, func(w *Simulation) {
			w.returnCold(w.now+5000, 4500, "a")
		}},
		{"135 VMs, a data centre comes back cold", sized(Grown, 135, 134), grownFloor, grownFloor, 0.15, 0, func(w *Simulation) {
			w.returnCold(w.now+5000, 4500, "a")
		}},
		{"77 VMs, all upstreams come back cold", sized(Grown, 77, 192), grownFloor, grownFloor, 0.15, 1000, func(w *Simulation) {
			w.returnCold(w.now+5000, 4500, "a", "b", "c")
		}},
	}
}

// Run replays the pattern. In the baseline, the VMs work independently.
func (p Pattern) Run(seed uint64, baseline bool) *Simulation {
	size := p.Size
	size.Independent = baseline
	w := New(seed, size)
	urgent, ordinary := float64(todayUrgent), float64(todayOrdinary)
	if size.Shards == Grown.Shards {
		urgent, ordinary = grownUrgent, grownOrdinary
	}
	w.Load("urgent", urgent, w.now, w.now+loadMs)
	w.Load("ordinary", ordinary, w.now, w.now+loadMs)
	p.prepare(w)
	w.runUntil(w.now + loadMs + drainMs)
	return w
}

// addPauses makes every upstream pause periodically, each with its own offset.
func (w *Simulation) addPauses() {
	for _, id := range w.sortedUpstreamIDs() {
		u := w.upstreams[id]
		u.pauseMs, u.pauseIntervalMs = pauseMs, pauseIntervalMs
		u.nextPause = w.now + clock.Millis(w.rng.Int64N(int64(pauseIntervalMs)))
	}
}

// slowDown makes the upstreams slow whose index modulo modulus is one of remainders.
func (w *Simulation) slowDown(modulus int, remainders ...int) {
	for i, id := range w.sortedUpstreamIDs() {
		for _, r := range remainders {
			if i%modulus == r {
				w.upstreams[id].factor = slowFactor
			}
		}
	}
}

// slowDownFor makes the upstreams with the given remainder slow for a limited time.
func (w *Simulation) slowDownFor(modulus, remainder int, from, duration clock.Millis) {
	for i, id := range w.sortedUpstreamIDs() {
		if u := w.upstreams[id]; i%modulus == remainder {
			w.at(from, func() { u.factor = slowFactor })
			w.at(from+duration, func() { u.factor = 1 })
		}
	}
}

// disturb applies a fault for a while to a random part of the upstreams: bad of each total.
func (w *Simulation) disturb(total, bad int, from, duration clock.Millis, set func(u *upstream, on float64)) {
	for _, id := range w.sortedUpstreamIDs() {
		if u := w.upstreams[id]; w.rng.IntN(total) < bad {
			w.at(from, func() { set(u, 1) })
			w.at(from+duration, func() { set(u, 0) })
		}
	}
}

// sized returns a size with other VMs whose upstreams bear only a low rate while cold.
func sized(s Size, vms, cpuMilli int) Size {
	s.VMs, s.CPUMilli, s.WarmupPerSecond = vms, cpuMilli, 4
	return s
}

// parted is a size where half of the shards that a VM gathers may be in one of two
// data centres that it does not reach.
var parted = Size{VMs: 77, Shards: 90, Replicas: 2, CPUMilli: 192, Budget: relay.BudgetMsg{Ratio: 0.2, Extra: 194, WindowMs: 10 * clock.Second}}

// uneven is a size with a few strong VMs in each data centre beside many weak ones.
var uneven = Size{
	VMs: 135, Shards: 90, Replicas: 3, CPUMilli: 134, StrongVMs: 9, Processors: true,
	Budget: relay.BudgetMsg{Ratio: 0.2, Extra: 334, WindowMs: 10 * clock.Second},
}
