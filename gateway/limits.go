package gateway

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

// Limits holds settings that can change while the VM runs.
type Limits struct {
	GracePeriod clock.Millis // time from the stop signal until the process is killed
	Budget      relay.BudgetMsg
}

// SetLimits replaces the limits.
func (g *Gateway) SetLimits(l Limits) {
	g.gracePeriodMs.Store(int64(l.GracePeriod))
	g.post(loopMsg{relay: l.Budget})
}
