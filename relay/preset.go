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
	inForce preset.Preset
	known   bool
	hedges  rank.Table[budget]
	retries rank.Table[budget]
	open    rank.Table[int] // requests that are not answered
}

// rankOf maps a route's priority to a rank: all that is less urgent is patient.
func rankOf(priority int) rank.Rank {
	return rank.Rank(min(max(priority, 0), rank.Count-1))
}

func (m *Model) setPreset(p preset.Preset) {
	m.policies.inForce, m.policies.known = p, true
	for _, r := range rank.All() {
		policy := p.Policy(r)
		set := func(b *budget, share float64) {
			bound := BudgetMsg{Ratio: share / percent, WindowMs: rankWindowMs}
			if share > 0 {
				bound.Extra = rankExtra
			}
			b.setBound(bound)
		}
		set(m.policies.hedges.Ref(r), policy.HedgeBudgetPercent)
		set(m.policies.retries.Ref(r), policy.RetryBudgetPercent)
	}
}

// need counts one part of a rank for its budgets.
func (p *policies) need(now clock.Millis, priority int) {
	if p.known {
		p.hedges.Ref(rankOf(priority)).need(now)
		p.retries.Ref(rankOf(priority)).need(now)
	}
}

// allows reports whether a rank's budget has an extra attempt left.
func (p *policies) allows(now clock.Millis, of *rank.Table[budget], priority int) bool {
	return !p.known || of.Ref(rankOf(priority)).left(now, 1, 1/budgetShare) >= 1
}

// spend counts an extra attempt of a rank.
func (p *policies) spend(now clock.Millis, of *rank.Table[budget], priority int) {
	if p.known {
		of.Ref(rankOf(priority)).spend(now)
	}
}

// timeout bounds a request's time by the preset's deadline of its rank.
func (p *policies) timeout(timeout clock.Millis, priority int) clock.Millis {
	if limit := p.inForce.Policy(rankOf(priority)).DeadlineMs; p.known && limit > 0 {
		return min(timeout, limit)
	}
	return timeout
}

// leastShare returns the least share of shards: the larger of the route's and the preset's.
func (p *policies) leastShare(share float64, priority int) float64 {
	if !p.known {
		return share
	}
	return max(share, p.inForce.Policy(rankOf(priority)).MinCoveragePercent/percent)
}

// full reports whether a rank has as many requests open as the preset lets wait.
func (p *policies) full(priority int) bool {
	r := rankOf(priority)
	limit := p.inForce.Policy(r).QueueRequests
	return p.known && limit > 0 && p.open.At(r) >= limit
}
