package experiment

import (
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
)

const maxFaultMs = 15 * clock.Second

// injectFault starts one random fault that ends after a random time.
func (h *history) injectFault() {
	f, s := h.fleet, h.fleet.Store
	span := 500 + clock.Millis(h.rng.Int64N(int64(maxFaultMs)))
	n := f.VMs[h.rng.IntN(len(f.VMs))]
	switch h.rng.IntN(8) {
	case 0:
		s.Fail()
		f.Loop.After(span, func() { s.Down = false })
	case 1:
		s.ExtraDelayMs = clock.Millis(h.rng.Int64N(4000))
		f.Loop.After(span, func() { s.ExtraDelayMs = 0 })
	case 2:
		s.LostReplyPercent = 60
		f.Loop.After(span, func() { s.LostReplyPercent = 0 })
	case 3:
		s.Unreachable = func(caller *FleetVM) bool { return caller == n }
		f.Loop.After(span, func() { s.Unreachable = nil })
	case 4:
		h.restart(n, span)
	case 5:
		f.Pause(n, span)
	case 6:
		side := h.rng.IntN(3)
		f.LinkCut = func(a, b *FleetVM) bool { return (a.Region == side) != (b.Region == side) }
		f.Loop.After(span, func() { f.LinkCut = nil })
	default:
		f.LinkCut = func(a, _ *FleetVM) bool { return a == n } // in one direction only
		f.Loop.After(span, func() { f.LinkCut = nil })
	}
}

func (h *history) restart(n *FleetVM, down clock.Millis) {
	if !n.Running {
		return
	}
	h.fleet.Kill(n)
	h.fleet.Loop.After(down, func() {
		if !n.Running {
			h.fleet.Start(n)
		}
	})
}

// heal ends every fault except pauses.
func (h *history) heal() {
	f := h.fleet
	f.LinkCut = nil
	f.Store.Down, f.Store.ExtraDelayMs, f.Store.LostReplyPercent, f.Store.Unreachable = false, 0, 0, nil
	for _, n := range f.VMs {
		if !n.Running {
			f.Start(n)
		}
	}
}

// sameRecord reports whether every VM has the stored record.
func (h *history) sameRecord() bool {
	return h.fleet.All(func(n *FleetVM) bool {
		have := n.Model.Record()
		return have.Revision == h.stored.Revision && have.ChangeID == h.stored.ChangeID
	})
}

func (h *history) anyPaused() bool { return slices.ContainsFunc(h.fleet.VMs, h.fleet.Paused) }

// evaluate compares the results given to operators and the records of the VMs with the writes that the store accepted.
func (h *history) evaluate(elapsed clock.Millis, converged bool) historyCounts {
	p := historyCounts{races: len(h.races), slowestMs: elapsed}
	if !converged {
		p.diverged = 1
	}
	for _, n := range h.fleet.VMs {
		p.reverts += n.Reverts
		p.olderRecords += n.OlderRevisions
	}
	final, _ := preset.Decode(h.fleet.Store.Entry().Value)
	for id := range h.committed {
		if _, ok := final.FindChange(id); !ok {
			p.lostChanges++
		}
	}
	for _, r := range h.reports {
		h.evaluateReport(&p, r)
	}
	for _, r := range h.races {
		winners := 0
		for _, id := range r.changes {
			if h.committed[id] {
				winners++
			}
		}
		if winners > 1 {
			p.manyWinners++
		}
		if winners == 0 && r.rejected > 0 && !h.otherWinner(r, &final) {
			p.noWinner++
		}
	}
	return p
}

func (h *history) evaluateReport(p *historyCounts, r changeReport) {
	switch r.acceptance {
	case preset.Accepted:
		p.accepted++
		if !h.committed[r.change] {
			p.falseReports++
		}
	case preset.NotAccepted:
		p.notAccepted++
		if h.committed[r.change] {
			p.falseReports++
		}
	default:
		p.unknown++
	}
}

// otherWinner reports whether a change of another race has the revision after the base of r.
func (h *history) otherWinner(r *race, final *preset.Record) bool {
	for _, past := range append(final.History, final.LatestChange()) {
		if past.Revision == r.base+1 && h.committed[past.ChangeID] {
			return true
		}
	}
	return false
}
