package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/order"
)

// ordersRun is one run in virtual time.
type ordersRun struct {
	cfg         ordersConfig
	loop        *Loop
	rng         *rand.Rand
	store       *orderStore
	upstreams   map[string]*Upstream
	vmNames     []string
	vms         map[string]*orderVM // current process by name
	deadVMs     []*orderVM
	cutUntil    map[[2]string]clock.Millis
	checker     *orderChecker
	callers     []orderCaller
	faultsEnd   clock.Millis
	faultCounts []int
}

// ordersResult holds the figures of one run.
type ordersResult struct {
	violations      map[orderRule]int
	executed        int
	lost            int // never executed, and an attempt was lost or the holder of the claim was killed
	lostBy          map[lossCause]int
	lostUnexplained int
	submissions     int
	writesPerOrder  float64
	p50, p99        float64
	faults          string
}

const (
	ordersStart clock.Millis = 1_700_000_000_000
	// ordersTailMs is the time after the last fault in which callers repeat and claims are released.
	ordersTailMs = 90 * clock.Second
	minVMs       = 7
	vmSpread     = 3 // runs have 7 to 9 VMs
)

func replyMsg(r attempt.Reply) order.Msg { return order.AttemptReplyMsg{Reply: r} }

func runOrders(cfg ordersConfig) ordersResult {
	r := newOrdersRun(cfg)
	if cfg.faults {
		r.scheduleFaults()
	}
	for i := range cfg.orders {
		r.loop.At(ordersStart+clock.Millis(i*1000/cfg.ordersPerSecond), func() { r.submitNew(i) })
	}
	r.loop.RunUntil(r.faultsEnd + ordersTailMs)
	r.checker.finish()
	return r.result()
}

func newOrdersRun(cfg ordersConfig) *ordersRun {
	loop := NewLoop(ordersStart)
	r := &ordersRun{
		cfg: cfg, loop: loop, rng: newOrdersRNG(cfg.seed, 1),
		store:     newOrderStore(loop, newOrdersRNG(cfg.seed, 2)),
		upstreams: make(map[string]*Upstream), vms: make(map[string]*orderVM),
		cutUntil: make(map[[2]string]clock.Millis), checker: newOrderChecker(),
		callers:     make([]orderCaller, cfg.orders),
		faultsEnd:   ordersStart + clock.Millis(cfg.orders*1000/cfg.ordersPerSecond),
		faultCounts: make([]int, len(orderFaults)),
	}
	if cfg.faults {
		r.store.lostReplyRatio = 0.01
	}
	r.store.onWrite = func(key string, value []byte) { r.checker.recordWrite(loop.Now(), key, value) }
	for g := range orderGroups {
		for i := range orderReplicas {
			id := string(orderUpstream(orderGroup(g), i))
			r.upstreams[id] = NewUpstream(loop, newOrdersRNG(cfg.seed, uint64(100+g*orderReplicas+i)), coverage.Range{})
		}
	}
	for i := range minVMs + int(cfg.seed%vmSpread) {
		r.vmNames = append(r.vmNames, fmt.Sprintf("vm%d", i))
	}
	for _, name := range r.vmNames {
		r.startVM(name, 1)
	}
	for _, name := range r.vmNames {
		r.vms[name].deliver(order.LiveVMsMsg{VMs: r.vmNames})
	}
	return r
}

// faultsActive reports whether faults may still be injected.
func (r *ordersRun) faultsActive() bool { return r.cfg.faults && r.loop.Now() < r.faultsEnd }

func (r *ordersRun) result() ordersResult {
	res := ordersResult{
		violations: r.checker.violations, submissions: len(r.checker.submissions), faults: r.faultSummary(),
		writesPerOrder: float64(r.store.writes) / float64(r.cfg.orders),
	}
	res.lostBy = make(map[lossCause]int)
	losses := r.losses()
	for i := range r.callers {
		id := r.callers[i].id
		cause := losses[order.HashOf(id)]
		switch {
		case r.checker.runs[id] > 0:
			res.executed++
		case cause != "":
			res.lost++
			res.lostBy[cause]++
		default:
			res.lostUnexplained++
		}
	}
	delays := r.checker.firstSendDelays
	slices.Sort(delays)
	if len(delays) > 0 {
		res.p50 = float64(delays[len(delays)/2])
		res.p99 = float64(delays[len(delays)*99/100])
	}
	return res
}
