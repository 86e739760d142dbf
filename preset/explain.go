package preset

import (
	"fmt"

	"lentillink.example/lentillink/rank"
)

// Explain describes every field of p in plain sentences.
func Explain(p Preset) []string {
	lines := []string{fmt.Sprintf("Preset %s: %s", p.Name, p.Description)}
	unreserved := 100.0
	for _, r := range rank.All() {
		policy := p.Policy(r)
		unreserved -= policy.FloorPercent
		lines = append(lines, explainRank(r, policy)...)
	}
	lines = append(lines, fmt.Sprintf(
		"The remaining %g%% of capacity and every unused share is lent to whichever rank needs it, urgent first.", unreserved))
	lines = append(lines, explainOutage(p.OrdersOnStoreOutage))
	if line := explainCost(p.MaxCostFactor); line != "" {
		lines = append(lines, line)
	}
	return lines
}

// explainCost explains a bound of expected costs, "" if there is none.
func explainCost(factor float64) string {
	switch factor {
	case 0:
		return ""
	case 1:
		return "Where VMs place requests by expected cost, they do so as if all requests of a route cost the same."
	}
	return fmt.Sprintf("Where VMs place requests by expected cost, a request counts as at most %g times the median of its route.", factor)
}

func explainRank(r rank.Rank, p RankPolicy) []string {
	return []string{
		fmt.Sprintf("Requests of rank %s have at most %s to finish.", r, p.DeadlineMs.Duration()),
		explainFloor(r, p.FloorPercent),
		explainQueue(r, p.QueueRequests),
		explainBudget(r, p.HedgeBudgetPercent, "hedges (a second attempt when the first is slow)"),
		explainBudget(r, p.RetryBudgetPercent, "retries (another attempt after a failure)"),
		explainCoverage(r, p.MinCoveragePercent),
	}
}

func explainFloor(r rank.Rank, percent float64) string {
	if percent == 0 {
		return fmt.Sprintf("No capacity is reserved for %s work.", r)
	}
	return fmt.Sprintf("At least %g%% of capacity is reserved for %s work when it needs it.", percent, r)
}

func explainQueue(r rank.Rank, n int) string {
	if n == 0 {
		return fmt.Sprintf("When capacity is used up, %s requests are refused at once.", r)
	}
	return fmt.Sprintf("When capacity is used up, up to %d %s requests wait on each VM; more are refused as not run.", n, r)
}

// explainBudget explains the budget of one kind of extra attempts, in the plural.
func explainBudget(r rank.Rank, percent float64, extraAttempts string) string {
	if percent == 0 {
		return fmt.Sprintf("For %s work there are no %s.", r, extraAttempts)
	}
	return fmt.Sprintf("For %s work, %s may add at most %g%% to the attempts needed.", r, extraAttempts, percent)
}

func explainCoverage(r rank.Rank, percent float64) string {
	switch percent {
	case 0:
		return fmt.Sprintf("A partial %s answer is returned if it covers any key at all.", r)
	case 100:
		return fmt.Sprintf("A partial %s answer is never returned: the answer covers every key, or the query fails.", r)
	}
	return fmt.Sprintf("A partial %s answer is returned if it covers at least %g%% of the keys; below that the query fails.", r, percent)
}

func explainOutage(rule OutageRule) string {
	if rule == OutageWait {
		return "While the configuration store is down, orders wait until their deadline, then are refused as not run."
	}
	return "While the configuration store is down, orders are refused at once as not run."
}
