package experiment

import "lentillink.example/lentillink/experiment/replay"

// Loads replays every load pattern of the gateway's decisions. The baseline is the
// same load with every VM left to itself: no carriers, hedges or retries.
func Loads(seed uint64) Report {
	r := Report{Name: "loads", Seed: seed}
	for _, p := range replay.Patterns() {
		off, on := p.Run(seed, true), p.Run(seed, false)
		r.AtLeast(p.Name+": urgent credit", "", off.Outcome("urgent").Credit(), on.Outcome("urgent").Credit(), p.Urgent)
		r.AtLeast(p.Name+": ordinary credit", "", off.Outcome("ordinary").Credit(), on.Outcome("ordinary").Credit(), p.Ordinary)
		unserved := func(w *replay.World) float64 {
			return float64(w.Outcome("urgent").Unserved() + w.Outcome("ordinary").Unserved())
		}
		r.AtMost(p.Name+": refused or failed", "", unserved(off), unserved(on), float64(p.MostUnserved))
		r.AtMost(p.Name+": promises broken", "", float64(len(off.Broken())), float64(len(on.Broken())), 0)
	}
	return r
}
