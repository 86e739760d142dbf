package experiment

import (
	"fmt"
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
)

const (
	historyMs       clock.Millis = 60 * clock.Second
	convergeLimit   clock.Millis = 2 * clock.Minute
	operatorWaits   clock.Millis = 8 * clock.Second
	racesPerHistory              = 4
	faultsPerRun                 = 10
)

// Presets runs random histories of operators that race while the store, the
// VMs and the links fail, and counts broken promises. The baseline writes
// without comparing, as an unconditional put does.
func Presets(seed uint64, histories int) Report {
	var got, base promises
	for i := range histories {
		got.add(runHistory(seed+uint64(i), false))
	}
	// A tenth is enough to show the baseline's fault.
	for i := range max(1, histories/10) {
		base.add(runHistory(seed+uint64(i), true))
	}
	r := Report{Name: "presets", Seed: seed}
	r.AtLeast("histories", "", float64(max(1, histories/10)), float64(histories), 1)
	r.AtMost("reverts on a VM", "", float64(base.reverts), float64(got.reverts), 0)
	r.AtMost("accepted changes lost", "", float64(base.lost), float64(got.lost), 0)
	r.AtMost("races with more than one winner", "", float64(base.manyWinners), float64(got.manyWinners), 0)
	r.AtMost("races decided without a winner", "", float64(base.noWinner), float64(got.noWinner), 0)
	r.AtMost("false reports to operators", "", float64(base.falseReports), float64(got.falseReports), 0)
	r.AtMost("histories that did not converge", "", float64(base.diverged), float64(got.diverged), 0)
	r.AddUnbounded("slowest convergence after healing", "ms", float64(base.slowest), float64(got.slowest))
	r.AddUnbounded("restarted VMs that got an older record first", "", float64(base.older), float64(got.older))
	r.AddUnbounded("races", "", float64(base.races), float64(got.races))
	r.AddUnbounded("changes reported accepted", "", float64(base.yes), float64(got.yes))
	r.AddUnbounded("changes reported not accepted", "", float64(base.no), float64(got.no))
	r.AddUnbounded("changes reported undecided", "", float64(base.unknown), float64(got.unknown))
	return r
}

// promises counts what the histories broke, and how often each case occurred.
type promises struct {
	reverts, lost, manyWinners, noWinner, falseReports, diverged int
	races, yes, no, unknown, older                               int
	slowest                                                      clock.Millis
}

func (p *promises) add(o promises) {
	p.reverts += o.reverts
	p.lost += o.lost
	p.manyWinners += o.manyWinners
	p.noWinner += o.noWinner
	p.falseReports += o.falseReports
	p.diverged += o.diverged
	p.races += o.races
	p.yes += o.yes
	p.no += o.no
	p.unknown += o.unknown
	p.older += o.older
	p.slowest = max(p.slowest, o.slowest)
}

// history is one random run.
type history struct {
	fleet    *Fleet
	rng      *rand.Rand
	accepted map[string]bool // change identifiers that the store took
	stored   preset.Record   // newest record in the store
	reported []reported
	races    []*race
}

type reported struct {
	change string
	truth  preset.Acceptance
}

// race is a set of changes from the same base revision.
type race struct {
	base     uint64
	changes  []string
	rejected int // operators who were told that another change came first
}

func runHistory(seed uint64, unconditional bool) promises {
	rng := rand.New(rand.NewPCG(seed, 4))
	h := &history{fleet: NewFleet(seed, 5+rng.IntN(5)), rng: rng, accepted: make(map[string]bool)}
	h.fleet.Store.Unconditional = unconditional
	h.fleet.Store.OnWrite = h.wrote
	h.fleet.StartAll(clock.Second)
	h.fleet.RunFor(8 * clock.Second)
	for i := range racesPerHistory {
		h.fleet.Loop.After(h.someTime(), func() { h.startRace(i) })
	}
	for range faultsPerRun {
		h.fleet.Loop.After(h.someTime(), h.fault)
	}
	h.fleet.RunFor(historyMs)
	h.heal()
	took, ok := h.fleet.RunUntil(50, convergeLimit, h.sameRecord)
	h.fleet.RunFor(operatorWaits) // operators who are still waiting get their answers
	_, members := h.fleet.RunUntil(500, convergeLimit, func() bool {
		return !h.somePaused() && h.sameRecord() && h.fleet.Converged()
	})
	ok = ok && members
	return h.judge(took, ok)
}

func (h *history) someTime() clock.Millis { return clock.Millis(h.rng.Int64N(int64(historyMs))) }

func (h *history) wrote(e store.Entry) {
	if rec, err := preset.Decode(e.Value); err == nil {
		h.accepted[rec.ChangeID] = true
		h.stored = rec
	}
}

// startRace has several operators change the record that one of them sees.
func (h *history) startRace(number int) {
	r := &race{}
	for i := range 2 + h.rng.IntN(3) {
		n := h.fleet.VMs[h.rng.IntN(len(h.fleet.VMs))]
		if !n.Running || !n.Model.Ready() {
			continue
		}
		if r.base == 0 {
			r.base = n.Model.Record().Revision
		}
		h.operate(r, n, fmt.Sprintf("race-%d-%d", number, i))
	}
	h.races = append(h.races, r)
}

func (h *history) operate(r *race, n *FleetVM, id string) {
	to := []string{"ordinary", "peak", "maintenance"}[h.rng.IntN(3)]
	change := preset.Change{ID: id, Author: "op " + id, Reason: "race", At: h.fleet.Loop.Now(), BaseRevision: r.base, SwitchTo: to}
	r.changes = append(r.changes, id)
	h.fleet.Loop.After(clock.Millis(h.rng.IntN(30)), func() {
		if !n.Running {
			return
		}
		h.fleet.StartChange(n, change, operatorWaits, func(res preset.Result) {
			h.reported = append(h.reported, reported{id, res.Accepted})
			if rec := res.Record; res.Accepted == preset.NotAccepted && rec.Revision == r.base+1 {
				r.rejected++
			}
		})
	})
}
