package gateway

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

// Limits can change while the VM runs.
type Limits struct {
	Grace  clock.Millis // time between the order to stop and the kill
	Budget relay.BudgetMsg
}

// Reload puts other limits in force.
func (g *Gateway) Reload(l Limits) {
	g.graceMs.Store(int64(l.Grace))
	g.post(item{relay: l.Budget})
}
