package era

import "lentillink.example/lentillink/clock"

// Wait is the reason why a VM that starts may not use what it has read.
type Wait string

// The reasons. WaitNone means that there is none.
const (
	WaitNone    Wait = ""
	WaitEra     Wait = "era_not_settled"   // what the store has lost may not be written again
	WaitVersion Wait = "newer_on_other_vm" // another VM has a later version in force
)

// Wait returns why a VM that starts must wait.
func (g *Guard) Wait() Wait {
	switch {
	case g.known.isBehind(g.ofFleet()) && g.coveredMs < maxAwaitMs:
		return WaitVersion
	case g.isRecorded() || g.coveredMs >= g.settleMs():
		return WaitNone
	}
	return WaitEra
}

// SettlesAt returns when a read must begin that ends a wait for the era, if no gap comes before
// it. It returns false if there is no such wait, or contact with the store is lost.
func (g *Guard) SettlesAt() (clock.Millis, bool) {
	if !g.inContact || g.isRecorded() || g.coveredMs >= g.settleMs() {
		return 0, false
	}
	return g.readAt + g.settleMs() - g.coveredMs, true
}

// Era returns the newest era and the one that is recorded as settled.
func (g *Guard) Era() (newest, settled uint64) { return g.era, g.record.Era }

// Known returns the highest facts that were read, and those of the entries of the VMs.
func (g *Guard) Known() (read, ofFleet Facts) { return g.known, g.ofFleet() }

// NextWake returns when the Guard needs its next TickMsg, or false if it needs none.
func (g *Guard) NextWake() (clock.Millis, bool) { return g.writeAt, g.writeAt > 0 }

// isRecorded reports whether the era is recorded as settled. A store that states no era loses
// nothing.
func (g *Guard) isRecorded() bool { return g.record.Era == g.era }

func (g *Guard) ofFleet() Facts {
	var out Facts
	for _, f := range g.vms {
		out = out.max(f)
	}
	return out
}
