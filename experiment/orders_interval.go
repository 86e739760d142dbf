package experiment

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
)

// Runs of OrderInterval last long enough for a p99 at a low rate, and end earlier
// at high rates, once there are enough orders.
const (
	intervalRunSeconds = 60
	intervalOrders     = 10000
)

var (
	orderIntervals = []clock.Millis{25, 50, 100, 200}
	orderRates     = []int{10, 100, 1000}
)

// OrderInterval measures the effect of the interval between two writes of one
// partition, without faults: writes of the fleet and added latency by order rate.
// The baseline writes each claim immediately.
func OrderInterval(seed uint64) Report {
	report := Report{Name: "order-interval", Seed: seed}
	for _, rate := range orderRates {
		cfg := ordersConfig{seed: seed, orders: min(rate*intervalRunSeconds, intervalOrders), ordersPerSecond: rate, options: unbatchedOptions()}
		base := runOrders(cfg)
		for _, d := range orderIntervals {
			cfg.options = []order.Option{order.WithWriteInterval(d)}
			value := runOrders(cfg)
			name := func(figure string) string { return fmt.Sprintf("%d orders/s, %d ms: %s", rate, d, figure) }
			report.AddUnbounded(name("fleet writes"), "writes/s", base.writesPerOrder*float64(rate), value.writesPerOrder*float64(rate))
			report.AddUnbounded(name("writes per order"), "writes", base.writesPerOrder, value.writesPerOrder)
			report.AddUnbounded(name("added p50"), "ms", base.p50, value.p50)
			report.AddUnbounded(name("added p99"), "ms", base.p99, value.p99)
		}
	}
	return report
}
