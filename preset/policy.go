package preset

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// OutageRule selects how orders are handled while the configuration store is down.
type OutageRule string

// OutageRefuse refuses orders immediately, as not run. OutageWait keeps them
// waiting until their deadline, then refuses them.
const (
	OutageRefuse OutageRule = "refuse"
	OutageWait   OutageRule = "wait"
)

// RankPolicy holds the limits and budgets of one rank under a preset.
type RankPolicy struct {
	DeadlineMs         clock.Millis `json:"deadline_ms"`          // default and upper bound of a request's deadline
	FloorPercent       float64      `json:"floor_percent"`        // guaranteed share of the concurrency limit
	QueueRequests      int          `json:"queue_requests"`       // maximum queue length
	HedgeBudgetPercent float64      `json:"hedge_budget_percent"` // hedges as a share of needed attempts
	RetryBudgetPercent float64      `json:"retry_budget_percent"` // retries as a share of needed attempts
	MinCoveragePercent float64      `json:"min_coverage_percent"` // a query with less coverage fails instead of returning a partial answer
}

// Preset is one named set of policies.
type Preset struct {
	Name                string     `json:"name"`
	Description         string     `json:"description"`
	Urgent              RankPolicy `json:"urgent"`
	Ordinary            RankPolicy `json:"ordinary"`
	Patient             RankPolicy `json:"patient"`
	OrdersOnStoreOutage OutageRule `json:"orders_on_store_outage"`

	// MaxCostFactor bounds what a request is expected to cost, as a multiple of the median of
	// its route, on VMs that place by cost. With 1 they place as if all requests cost the same;
	// 0 is no bound.
	MaxCostFactor float64 `json:"max_cost_factor,omitempty"`
}

// Policy returns the policy of r.
func (p *Preset) Policy(r rank.Rank) RankPolicy {
	switch r {
	case rank.Urgent:
		return p.Urgent
	case rank.Ordinary:
		return p.Ordinary
	default:
		return p.Patient
	}
}
