package experiment

import (
	"fmt"
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
)

const (
	historyMs         clock.Millis = 60 * clock.Second
	convergeLimitMs   clock.Millis = 2 * clock.Minute
	operatorTimeoutMs clock.Millis = 8 * clock.Second
	racesPerHistory                = 4
	faultsPerRun                   = 10
)

// Presets runs random histories of concurrent preset changes while the store, the
// VMs and the links fail, and counts violations. The baseline writes without
// comparing the revision, like an unconditional put.
func Presets(seed uint64, histories int) Report {
	var got, base historyCounts
	for i := range histories {
		got.add(runHistory(seed+uint64(i), false))
	}
	// A tenth of the histories is enough to show the violations of the baseline.
	for i := range max(1, histories/10) {
		base.add(runHistory(seed+uint64(i), true))
	}
	r := Report{Name: "presets", Seed: seed}
	r.AtLeast("histories", "", float64(max(1, histories/10)), float64(histories), 1)
	r.AtMost("reverts on a VM", "", float64(base.reverts), float64(got.reverts), 0)
	r.AtMost("accepted changes lost", "", float64(base.lostChanges), float64(got.lostChanges), 0)
	r.AtMost("races with more than one winner", "", float64(base.manyWinners), float64(got.manyWinners), 0)
	r.AtMost("races decided without a winner", "", float64(base.noWinner), float64(got.noWinner), 0)
	r.AtMost("false reports to operators", "", float64(base.falseReports), float64(got.falseReports), 0)
	r.AtMost("histories that did not converge", "", float64(base.diverged), float64(got.diverged), 0)
	r.AddUnbounded("slowest convergence after healing", "ms", float64(base.slowestMs), float64(got.slowestMs))
	r.AddUnbounded("restarted VMs that got an older record first", "", float64(base.olderRecords), float64(got.olderRecords))
	r.AddUnbounded("races", "", float64(base.races), float64(got.races))
	r.AddUnbounded("changes reported accepted", "", float64(base.accepted), float64(got.accepted))
	r.AddUnbounded("changes reported not accepted", "", float64(base.notAccepted), float64(got.notAccepted))
	r.AddUnbounded("changes reported undecided", "", float64(base.unknown), float64(got.unknown))
	return r
}

// historyCounts counts the violations in histories, and how often each case occurred.
type historyCounts struct {
	reverts, lostChanges, manyWinners, noWinner, falseReports, diverged int
	races, accepted, notAccepted, unknown, olderRecords                 int
	slowestMs                                                           clock.Millis
}

func (p *historyCounts) add(o historyCounts) {
	p.reverts += o.reverts
	p.lostChanges += o.lostChanges
	p.manyWinners += o.manyWinners
	p.noWinner += o.noWinner
	p.falseReports += o.falseReports
	p.diverged += o.diverged
	p.races += o.races
	p.accepted += o.accepted
	p.notAccepted += o.notAccepted
	p.unknown += o.unknown
	p.olderRecords += o.olderRecords
	p.slowestMs = max(p.slowestMs, o.slowestMs)
}

// history is one random run.
type history struct {
	fleet     *Fleet
	rng       *rand.Rand
	committed map[string]bool // identifiers of the changes that the store accepted
	stored    preset.Record   // newest record in the store
	reports   []changeReport
	races     []*race
}

type changeReport struct {
	change     string
	acceptance preset.Acceptance
}

// race is a set of changes from the same base revision.
type race struct {
	base     uint64
	changes  []string
	rejected int // operators whose result says that another change came first
}

func runHistory(seed uint64, unconditional bool) historyCounts {
	rng := rand.New(rand.NewPCG(seed, 4))
	h := &history{fleet: NewFleet(seed, 5+rng.IntN(5)), rng: rng, committed: make(map[string]bool)}
	h.fleet.Store.Unconditional = unconditional
	h.fleet.Store.OnWrite = h.recordWrite
	h.fleet.StartAll(clock.Second)
	h.fleet.RunFor(8 * clock.Second)
	for i := range racesPerHistory {
		h.fleet.Loop.After(h.randomTime(), func() { h.startRace(i) })
	}
	for range faultsPerRun {
		h.fleet.Loop.After(h.randomTime(), h.injectFault)
	}
	h.fleet.RunFor(historyMs)
	h.heal()
	elapsed, converged := h.fleet.RunUntil(50, convergeLimitMs, h.sameRecord)
	h.fleet.RunFor(operatorTimeoutMs) // until the last operators get their results
	_, membersConverged := h.fleet.RunUntil(500, convergeLimitMs, func() bool {
		return !h.anyPaused() && h.sameRecord() && h.fleet.Converged()
	})
	converged = converged && membersConverged
	return h.evaluate(elapsed, converged)
}

func (h *history) randomTime() clock.Millis { return clock.Millis(h.rng.Int64N(int64(historyMs))) }

func (h *history) recordWrite(e store.Entry) {
	if rec, err := preset.Decode(e.Value); err == nil {
		h.committed[rec.ChangeID] = true
		h.stored = rec
	}
}

// startRace starts changes of several operators with the same base revision.
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
		h.startChange(r, n, fmt.Sprintf("race-%d-%d", number, i))
	}
	h.races = append(h.races, r)
}

func (h *history) startChange(r *race, n *FleetVM, id string) {
	presetName := []string{"ordinary", "peak", "maintenance"}[h.rng.IntN(3)]
	change := preset.Change{ID: id, Author: "op " + id, Reason: "race", At: h.fleet.Loop.Now(), BaseRevision: r.base, SwitchTo: presetName}
	r.changes = append(r.changes, id)
	h.fleet.Loop.After(clock.Millis(h.rng.IntN(30)), func() {
		if !n.Running {
			return
		}
		h.fleet.StartChange(n, change, operatorTimeoutMs, func(res preset.Result) {
			h.reports = append(h.reports, changeReport{id, res.Accepted})
			if rec := res.Record; res.Accepted == preset.NotAccepted && rec.Revision == r.base+1 {
				r.rejected++
			}
		})
	})
}
