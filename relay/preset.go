package relay

import (
	"lentillink.example/lentillink/budget"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
)

// PresetMsg activates a preset. Open requests keep the deadlines and shares with
// which they were admitted.
type PresetMsg struct{ Preset preset.Preset }

func (PresetMsg) relayMsg() {}

const (
	// percent converts a percentage of a preset to a ratio.
	percent = 100

	// rankExtra is how many hedges and retries per window one rank may use beyond the
	// preset's percentage, so that a rank with few requests gets some.
	rankExtra = 5

	// rankWindowMs is the window of the budgets of a rank.
	rankWindowMs = 10 * clock.Second
)

// policies is the active preset and the use of its budgets on this VM.
type policies struct {
	active  preset.Preset
	loaded  bool
	hedges  rank.Table[budget.Window]
	retries rank.Table[budget.Window]
	open    rank.Table[int] // requests without an answer
}

// rankOf maps a route's priority to a rank. Priorities less urgent than the last
// rank map to the last rank, patient.
func rankOf(priority int) rank.Rank {
	return rank.Rank(min(max(priority, 0), rank.Count-1))
}

func (m *Model) setPreset(p preset.Preset) {
	m.policies.active, m.policies.loaded = p, true
	for _, r := range rank.All() {
		policy := p.Policy(r)
		set := func(b *budget.Window, percentage float64) {
			limit := budget.Limit{Ratio: percentage / percent, WindowMs: rankWindowMs}
			if percentage > 0 {
				limit.Extra = rankExtra
			}
			b.SetLimit(limit)
		}
		set(m.policies.hedges.Ref(r), policy.HedgeBudgetPercent)
		set(m.policies.retries.Ref(r), policy.RetryBudgetPercent)
	}
}

// countRequest counts one sub-request of a rank for its budgets.
func (p *policies) countRequest(now clock.Millis, priority int) {
	if p.loaded {
		p.hedges.Ref(rankOf(priority)).CountRequest(now)
		p.retries.Ref(rankOf(priority)).CountRequest(now)
	}
}

// allows reports whether a rank's budget allows one more extra attempt.
func (p *policies) allows(now clock.Millis, budgets *rank.Table[budget.Window], priority int) bool {
	return !p.loaded || budgets.Ref(rankOf(priority)).RemainingOfRatio(now) >= 1
}

// spend counts one extra attempt of a rank.
func (p *policies) spend(now clock.Millis, budgets *rank.Table[budget.Window], priority int) {
	if p.loaded {
		budgets.Ref(rankOf(priority)).Spend(now)
	}
}

// boundTimeout limits a request's timeout to the preset's deadline of its rank.
func (p *policies) boundTimeout(timeout clock.Millis, priority int) clock.Millis {
	if limit := p.active.Policy(rankOf(priority)).DeadlineMs; p.loaded && limit > 0 {
		return min(timeout, limit)
	}
	return timeout
}

// maxCostFactor returns the preset's bound of expected costs, 0 if it has none.
func (p *policies) maxCostFactor() float64 {
	return p.active.MaxCostFactor
}

// minShardRatio returns the minimum share of shards in an answer: the larger of the
// route's and the preset's.
func (p *policies) minShardRatio(routeRatio float64, priority int) float64 {
	if !p.loaded {
		return routeRatio
	}
	return max(routeRatio, p.active.Policy(rankOf(priority)).MinCoveragePercent/percent)
}

// queueFull reports whether a rank has as many open requests as the preset allows.
func (p *policies) queueFull(priority int) bool {
	r := rankOf(priority)
	limit := p.active.Policy(r).QueueRequests
	return p.loaded && limit > 0 && p.open.At(r) >= limit
}
