package experiment

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
)

// ordersConfig describes one run of the order state machines.
type ordersConfig struct {
	seed            uint64
	orders          int
	faults          bool
	ordersPerSecond int
	options         []order.Option
	wrapMachine     func(orderMachine) orderMachine // wraps each machine in a test double with a defect; nil for none
}

// orderMachine is the part of order.Model that a run uses.
type orderMachine interface {
	Update(now clock.Millis, msg order.Msg) []order.Cmd
	NextWake() (clock.Millis, bool)
}

// ordersPerSecond is the rate of new orders in a run.
const ordersPerSecond = 1000

// baselineOrders bounds the orders of the baseline and of the runs without faults.
// With one write per claim, a partition never catches up after the store was
// slow for a while, which makes a long run slow and its figures only worse.
const baselineOrders = 10000

// maxWritesPerOrder bounds the store writes per order at ordersPerSecond.
const maxWritesPerOrder = 0.5

// unbatchedOptions returns options that write each claim immediately on its own.
// The small head keeps the run fast; it adds one segment write per about 230 claims.
func unbatchedOptions() []order.Option {
	return []order.Option{
		order.WithMaxBatch(1), order.WithWriteInterval(0), order.WithDoneMarks(false), order.WithSealThreshold(8 << 10),
	}
}

// Orders runs n orders through a fleet of order state machines under faults of
// callers, VMs, links, the store and upstreams, and checks every answer. The
// baseline writes one claim per order, at the same rate and density of faults,
// for at most baselineOrders orders.
func Orders(seed uint64, n int) Report {
	cfg := ordersConfig{seed: seed, orders: n, ordersPerSecond: ordersPerSecond, faults: true, options: sealOptions(n)}
	value := runOrders(cfg)
	cfg.options, cfg.orders = unbatchedOptions(), min(n, baselineOrders)
	base := runOrders(cfg)

	faultless := ordersConfig{seed: seed, orders: min(n, baselineOrders), ordersPerSecond: ordersPerSecond, options: sealOptions(n)}
	faultlessValue := runOrders(faultless)
	faultless.options = unbatchedOptions()
	faultlessBase := runOrders(faultless)

	report := Report{Name: "orders", Seed: seed}
	for _, rule := range orderRules {
		report.AtMost(string(rule), "count", float64(base.violations[rule]), float64(value.violations[rule]), 0)
	}
	report.AtMost("lost, holder alive and no attempt lost", "orders", float64(base.lostUnexplained), float64(value.lostUnexplained), 0)
	report.AtMost("store writes per order", "writes", base.writesPerOrder, value.writesPerOrder, maxWritesPerOrder)
	report.AtMost("store writes per order, no faults", "writes", faultlessBase.writesPerOrder, faultlessValue.writesPerOrder, maxWritesPerOrder)
	report.AddUnbounded("lost, holder killed or attempt lost", "orders", float64(base.lost), float64(value.lost))
	for _, c := range lossCauses {
		report.AddUnbounded("lost, "+string(c), "orders", float64(base.lostBy[c]), float64(value.lostBy[c]))
	}
	report.AddUnbounded("run once", "orders", float64(base.executed), float64(value.executed))
	report.AddUnbounded("submissions", "count", float64(base.submissions), float64(value.submissions))
	report.AddUnbounded("added latency p50, no faults", "ms", faultlessBase.p50, faultlessValue.p50)
	report.AddUnbounded("added latency p99, no faults", "ms", faultlessBase.p99, faultlessValue.p99)
	report.AddUnbounded("added latency p50", "ms", base.p50, value.p50)
	report.AddUnbounded("added latency p99", "ms", base.p99, value.p99)
	report.Notes = append(report.Notes, fmt.Sprintf("faults injected: %s", value.faults))
	return report
}

// sealOptions lowers the seal threshold of short runs, so that they seal segments too.
func sealOptions(n int) []order.Option {
	if n >= 50000 {
		return nil
	}
	return []order.Option{order.WithSealThreshold(2 << 10)}
}
