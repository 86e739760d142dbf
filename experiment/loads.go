package experiment

import "lentillink.example/lentillink/experiment/replay"

// Loads replays every load pattern of package replay. In the baseline, the VMs work
// independently under the same load: no carriers, hedges or retries.
func Loads(seed uint64) Report {
	r := Report{Name: "loads", Seed: seed}
	for _, p := range replay.Patterns() {
		off, on := p.Run(seed, true), p.Run(seed, false)
		r.AtLeast(p.Name+": urgent credit", "", off.Outcome("urgent").Credit(), on.Outcome("urgent").Credit(), p.MinUrgentCredit)
		r.AtLeast(p.Name+": ordinary credit", "", off.Outcome("ordinary").Credit(), on.Outcome("ordinary").Credit(), p.MinOrdinaryCredit)
		unserved := func(w *replay.Simulation) float64 {
			return float64(w.Outcome("urgent").Unserved() + w.Outcome("ordinary").Unserved())
		}
		r.AtMost(p.Name+": refused or failed", "", unserved(off), unserved(on), float64(p.MaxUnserved))
		r.AtMost(p.Name+": promises broken", "", float64(len(off.Violations())), float64(len(on.Violations())), 0)
	}
	return r
}
