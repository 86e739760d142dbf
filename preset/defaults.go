package preset

// Default returns the record that the VMs use when the store has none.
func Default() Record {
	return Record{
		Presets:  []Preset{ordinaryPreset(), peakPreset(), maintenancePreset()},
		InForce:  "ordinary",
		Revision: 1,
		Author:   "lentillink",
		Reason:   "shipped with the program",
		ChangeID: "default",
		History:  []AppliedChange{},
	}
}

func ordinaryPreset() Preset {
	return Preset{
		Name:        "ordinary",
		Description: "Day-to-day operation.",
		Urgent: RankPolicy{
			DeadlineMs: 1000, FloorPercent: 30, QueueRequests: 200,
			HedgeBudgetPercent: 4, RetryBudgetPercent: 10, MinCoveragePercent: 50,
		},
		Ordinary: RankPolicy{
			DeadlineMs: 3000, FloorPercent: 30, QueueRequests: 400,
			HedgeBudgetPercent: 2, RetryBudgetPercent: 10, MinCoveragePercent: 80,
		},
		Patient: RankPolicy{
			DeadlineMs: 30000, FloorPercent: 10, QueueRequests: 2000,
			HedgeBudgetPercent: 0, RetryBudgetPercent: 10, MinCoveragePercent: 100,
		},
		OrdersOnStoreOutage: OutageRefuse,
	}
}

func peakPreset() Preset {
	p := ordinaryPreset()
	p.Name = "peak"
	p.Description = "Days with far more urgent work than usual: urgent work has most of the capacity."
	p.Urgent.FloorPercent, p.Urgent.QueueRequests = 50, 400
	p.Ordinary.FloorPercent, p.Ordinary.HedgeBudgetPercent = 20, 0
	p.Patient.FloorPercent = 5
	return p
}

func maintenancePreset() Preset {
	p := ordinaryPreset()
	p.Name = "maintenance"
	p.Description = "Planned work on upstreams or the store: fewer extra attempts, more patience."
	p.Urgent.DeadlineMs, p.Urgent.HedgeBudgetPercent = 2000, 2
	p.Ordinary.DeadlineMs, p.Ordinary.HedgeBudgetPercent = 5000, 0
	p.Ordinary.MinCoveragePercent = 50
	p.OrdersOnStoreOutage = OutageWait
	return p
}

// GatewayDefault returns the record that gateways use until an operator writes another.
// Its hedge and retry budgets are at most the users' budget of extra attempts, a
// fifth of the requests. Its minimum coverage is 0, so that it never lowers the
// minimum share of shards that a route sets.
func GatewayDefault() Record {
	rec := Default()
	rec.Reason = "shipped with the gateway"
	for i := range rec.Presets {
		p := &rec.Presets[i]
		for _, r := range []*RankPolicy{&p.Urgent, &p.Ordinary, &p.Patient} {
			r.HedgeBudgetPercent, r.RetryBudgetPercent, r.MinCoveragePercent = gatewayExtraPercent, gatewayExtraPercent, 0
		}
		if p.Name == "peak" {
			p.Ordinary.HedgeBudgetPercent, p.Patient.HedgeBudgetPercent = 5, 0
		}
		if p.Name == "maintenance" {
			p.Urgent.HedgeBudgetPercent, p.Ordinary.HedgeBudgetPercent, p.Patient.HedgeBudgetPercent = 10, 5, 0
		}
	}
	return rec
}

// gatewayExtraPercent is the users' upper bound of extra attempts, as a share of
// the requests.
const gatewayExtraPercent = 100
