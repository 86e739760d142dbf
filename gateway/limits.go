package gateway

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

// Limits can change while the VM runs.
type Limits struct {
	GracePeriod clock.Millis // time between the order to stop and the kill
	Budget      relay.BudgetMsg
}

// SetLimits puts other limits in force.
func (g *Gateway) SetLimits(l Limits) {
	g.gracePeriodMs.Store(int64(l.GracePeriod))
	g.post(loopMsg{relay: l.Budget})
}
