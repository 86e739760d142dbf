package preset

import (
	"errors"
	"fmt"
	"regexp"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

const (
	maxPresets   = 64
	maxTextBytes = 512
	maxDeadline  = 24 * clock.Hour
	maxQueue     = 1_000_000

	maxCostFactor = 1000
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Validate checks every field of the record. The error lists the path of each
// invalid field and the accepted values.
func (r *Record) Validate() error {
	v := &validator{}
	v.require(r.Revision > 0, "revision", "must be at least 1")
	v.require(len(r.Presets) > 0 && len(r.Presets) <= maxPresets, "presets", "must have 1 to 64 entries")
	v.require(len(r.History) <= MaxHistory, "history", "must have at most 32 entries")
	v.text("author", r.Author)
	v.text("reason", r.Reason)
	v.text("change_id", r.ChangeID)
	seen := make(map[string]bool, len(r.Presets))
	for i := range r.Presets {
		path := fmt.Sprintf("presets[%d]", i)
		v.preset(path, &r.Presets[i])
		v.require(!seen[r.Presets[i].Name], path+".name", "must be unique")
		seen[r.Presets[i].Name] = true
	}
	v.require(seen[r.InForce], "in_force", fmt.Sprintf("must be one of %v", presetNames(r.Presets)))
	for i, p := range r.History {
		path := fmt.Sprintf("history[%d]", i)
		v.require(p.Revision > 0 && p.Revision < r.Revision, path+".revision", "must be at least 1 and less than revision")
		v.text(path+".change_id", p.ChangeID)
	}
	return v.result("validate record")
}

// Validate checks every field of one preset.
func (p *Preset) Validate() error {
	v := &validator{}
	v.preset("preset", p)
	return v.result("validate preset")
}

type validator struct {
	violations []error
}

func (v *validator) require(ok bool, path, rule string) {
	if !ok {
		v.violations = append(v.violations, fmt.Errorf("%s: %s", path, rule))
	}
}

func (v *validator) text(path, s string) {
	v.require(s != "" && len(s) <= maxTextBytes, path, "must have 1 to 512 bytes")
}

func (v *validator) percent(path string, f float64) {
	v.require(f >= 0 && f <= 100, path, "must be from 0 to 100")
}

func (v *validator) preset(path string, p *Preset) {
	v.require(namePattern.MatchString(p.Name), path+".name", "must be lower-case letters, digits and hyphens, 1 to 63 bytes")
	v.text(path+".description", p.Description)
	floorSum := 0.0
	for _, r := range rank.All() {
		policy := p.Policy(r)
		v.policy(path+"."+r.String(), policy)
		floorSum += policy.FloorPercent
	}
	v.require(floorSum <= 100, path, "the floor_percent of urgent, ordinary and patient must add up to at most 100")
	v.require(p.MaxCostFactor == 0 || p.MaxCostFactor >= 1 && p.MaxCostFactor <= maxCostFactor, path+".max_cost_factor", "must be 0 for no bound, or from 1 to 1000")
	ok := p.OrdersOnStoreOutage == OutageRefuse || p.OrdersOnStoreOutage == OutageWait
	v.require(ok, path+".orders_on_store_outage", "must be one of refuse, wait")
}

func (v *validator) policy(path string, p RankPolicy) {
	v.require(p.DeadlineMs >= 1 && p.DeadlineMs <= maxDeadline, path+".deadline_ms", "must be from 1 to 86400000")
	v.require(p.QueueRequests >= 0 && p.QueueRequests <= maxQueue, path+".queue_requests", "must be from 0 to 1000000")
	v.percent(path+".floor_percent", p.FloorPercent)
	v.percent(path+".hedge_budget_percent", p.HedgeBudgetPercent)
	v.percent(path+".retry_budget_percent", p.RetryBudgetPercent)
	v.percent(path+".min_coverage_percent", p.MinCoveragePercent)
}

func (v *validator) result(op string) error {
	if len(v.violations) == 0 {
		return nil
	}
	return &Error{op: op, kind: KindInvalid, err: errors.Join(v.violations...)}
}
