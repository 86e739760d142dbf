package relay

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
)

// PresetMsg puts a preset in force. Requests that are open keep what they were
// admitted with.
type PresetMsg struct{ Preset preset.Preset }

func (PresetMsg) relayMsg() {}

const (
	// percent turns a share of a preset into a ratio.
	percent = 100

	// rankExtra is how many hedges and retries of one rank are allowed beyond the
	// preset's share in a window, so that a rank with few requests gets some.
	rankExtra = 5

	// rankWindowMs is the window of a rank's budgets.
	rankWindowMs = 10 * clock.Second
)

// policies is the preset in force and what was spent of its budgets on this VM.
type policies struct {
	active  preset.Preset
	loaded  bool
	hedges  rank.Table[budget]
	retries rank.Table[budget]
	open    rank.Table[int] // requests that are not answered
}

// rankOf maps a route's priority to a rank: all that is less urgent is patient.
func rankOf(priority int) rank.Rank {
	return rank.Rank(min(max(priority, 0), rank.Count-1))
}

func (m *Model) setPreset(p preset.Preset) {
	m.policies.active, m.policies.loaded = p, true
	for _, r := range rank.All() {
		policy := p.Policy(r)
		set := func(b *budget, share float64) {
			limit := BudgetMsg{Ratio: share / percent, WindowMs: rankWindowMs}
			if share > 0 {
				limit.Extra = rankExtra
			}
			b.setLimit(limit)
		}
		set(m.policies.hedges.Ref(r), policy.HedgeBudgetPercent)
		set(m.policies.retries.Ref(r), policy.RetryBudgetPercent)
	}
}

// countRequest counts one part of a rank for its budgets.
func (p *policies) countRequest(now clock.Millis, priority int) {
	if p.loaded {
		p.hedges.Ref(rankOf(priority)).countRequest(now)
		p.retries.Ref(rankOf(priority)).countRequest(now)
	}
}

// allows reports whether a rank's budget has an extra attempt left.
func (p *policies) allows(now clock.Millis, budgets *rank.Table[budget], priority int) bool {
	return !p.loaded || budgets.Ref(rankOf(priority)).remaining(now, 1, 1/localBudgetShare) >= 1
}

// spend counts an extra attempt of a rank.
func (p *policies) spend(now clock.Millis, budgets *rank.Table[budget], priority int) {
	if p.loaded {
		budgets.Ref(rankOf(priority)).spend(now)
	}
}

// boundTimeout bounds a request's time by the preset's deadline of its rank.
func (p *policies) boundTimeout(timeout clock.Millis, priority int) clock.Millis {
	if limit := p.active.Policy(rankOf(priority)).DeadlineMs; p.loaded && limit > 0 {
		return min(timeout, limit)
	}
	return timeout
}

// minShardRatio returns the least share of shards: the larger of the route's and the preset's.
func (p *policies) minShardRatio(share float64, priority int) float64 {
	if !p.loaded {
		return share
	}
	return max(share, p.active.Policy(rankOf(priority)).MinCoveragePercent/percent)
}

// queueFull reports whether a rank has as many requests open as the preset lets wait.
func (p *policies) queueFull(priority int) bool {
	r := rankOf(priority)
	limit := p.active.Policy(r).QueueRequests
	return p.loaded && limit > 0 && p.open.At(r) >= limit
}
