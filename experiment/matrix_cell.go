package experiment

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/vm"
)

// Phases of a cell.
const (
	cellWarmUpMs       = 1 * clock.Second
	cellPresetChangeMs = 300 * clock.Millis(1) // from the end of the warm-up to the preset change of every cell
	cellLoadMs         = 7 * clock.Second
	cellDrainMs        = 25 * clock.Second // exceeds the longest deadline and the longest retry delay of store calls
)

// CellOptions replace what the cores of a cell send or show, to inject defects that the checks must detect.
type CellOptions struct {
	MapCmd    func(id string, cmd vm.Cmd) []vm.Cmd
	MapPreset func(id, name string, revision uint64) (string, uint64)
}

// CellResult is the result of one cell.
type CellResult struct {
	Cell       string
	Violations []Violation
	Masked     string // in a pair: the step or fault that the other fault prevented
	Problem    string // why the cell is invalid: its step or its fault did not occur
	Impossible string // why the step cannot occur together with the fault
	Trace      []string
	Answers    map[string]int // number of requests by outcome, which shows that the cell had load
}

// ViolatedInvariants returns the names of the violated invariants without duplicates.
func (r *CellResult) ViolatedInvariants() []string {
	var names []string
	seen := make(map[string]bool)
	for _, v := range r.Violations {
		if !seen[v.Invariant] {
			seen[v.Invariant] = true
			names = append(names, v.Invariant)
		}
	}
	return names
}

// OK reports whether the cell is valid and has no violations.
func (r *CellResult) OK() bool { return len(r.Violations) == 0 && r.Problem == "" }

// faultInjection is one fault that is injected when its step is reached.
type faultInjection struct {
	fault        fault
	step         step
	reached      bool
	injected     bool
	countEffects func() int // number of times that the fault took effect; nil if effects is used
	effects      int        // counted while the fault is active
	vm           string     // affected by the fault
}

// cell is one run of a cell of the fault matrix.
type cell struct {
	name        string
	opts        CellOptions
	tier        *Tier
	load        *cellLoad
	upstreamLog *upstreamLog
	check       checker
	presets     *presetDriver
	rng         *rand.Rand
	injections  []*faultInjection
	faults      faultState
	trace       []string

	matchSteps      bool // set after the warm-up; before it, no step is reached
	healTime        clock.Millis
	delayedVMs      map[string]bool             // VMs on which a fault delays preset changes
	partitionOwners [order.NumPartitions]string // VM that the last claim of each partition was sent to
	replyCounts     map[uint32]int              // by the priority of the query
	loseNextReply   bool
	lostReplyKey    string         // key of the write whose reply was lost
	stopping        map[string]int // VMs whose graceful stop has not completed, with the generation of their process plus 1, so that 0 means not stopping
}

// RunCell runs the cell "fault/step", or several joined by "+", in one Tier.
func RunCell(seed uint64, name string, opts CellOptions) (CellResult, error) {
	injections, err := parseCell(name)
	if err != nil {
		return CellResult{}, err
	}
	if reason := impossible(injections); reason != "" {
		return CellResult{Cell: name, Impossible: reason}, nil
	}
	c := newCell(seed, name, injections, opts)
	c.run()
	return c.result(), nil
}

func parseCell(name string) ([]*faultInjection, error) {
	var list []*faultInjection
	for _, single := range strings.Split(name, "+") {
		f, s, ok := strings.Cut(single, "/")
		fault, found := findFault(f)
		step, known := findStep(s)
		if !ok || !found || !known {
			return nil, fmt.Errorf("cell %q: want FAULT/STEP, a fault and a step of the matrix", single)
		}
		list = append(list, &faultInjection{fault: fault, step: step})
	}
	return list, nil
}

func findStep(name string) (step, bool) {
	for _, s := range steps() {
		if s.name == name {
			return s, true
		}
	}
	return step{}, false
}

// matrixRecord gives all presets the same short deadlines, so that cells drain quickly.
func matrixRecord() preset.Record {
	rec := preset.Default()
	for i := range rec.Presets {
		p := &rec.Presets[i]
		p.Urgent.DeadlineMs, p.Ordinary.DeadlineMs, p.Patient.DeadlineMs = 1000, 2000, 6000
	}
	return rec
}

func newCell(seed uint64, name string, injections []*faultInjection, opts CellOptions) *cell {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %s", seed, name)
	cellSeed := h.Sum64()
	c := &cell{
		name: name, opts: opts, injections: injections, rng: rand.New(rand.NewPCG(cellSeed, 301)),
		delayedVMs: make(map[string]bool), replyCounts: make(map[uint32]int), stopping: make(map[string]int),
	}
	cfg := TierConfig{
		Seed: cellSeed, VMs: 7, Groups: 4, Replicas: 2, Connections: 10, MedianMs: 30, Record: matrixRecord(), OrderGroups: 2,
	}
	cfg.Hooks = TierHooks{
		BeforeUpdate: c.beforeUpdate, AfterUpdate: c.afterUpdate, MapCmd: c.mapCmd, DeliverReply: c.deliverReply,
		MapLoad: c.mapLoad, MapVMList: c.mapVMList, LinkCut: c.linkCut,
	}
	c.presets = newPresetDriver(c)
	c.tier = NewTier(cfg)
	c.load = newCellLoad(c.tier, cellSeed)
	c.upstreamLog = newUpstreamLog(c.tier)
	c.tier.Store.LoseReply = c.loseReply
	c.observeReplies()
	return c
}

// observeReplies reports each reply that leaves an upstream as an observation.
func (c *cell) observeReplies() {
	for _, id := range c.tier.upstreamIDs {
		up := c.tier.Upstreams[id]
		up.CompleteReply = func(req attempt.Request, r *attempt.Reply) {
			c.upstreamLog.completeReply(req, r)
			c.observe(observation{vm: req.ID.VM, replyTo: &req})
		}
	}
}

func (c *cell) run() {
	loop := c.tier.Loop
	start := loop.Now()
	warmedUp := start + cellWarmUpMs
	end := warmedUp + cellLoadMs
	holdOrders := false
	for _, s := range c.injections {
		holdOrders = holdOrders || s.step.holdOrders
	}
	for _, r := range rank.All() {
		c.load.stream(cellQueryRate, end, func() { c.load.query(r) })
	}
	if !holdOrders {
		c.load.stream(cellOrderRate, end, c.load.order)
	}
	loop.RunUntil(warmedUp)
	c.matchSteps = true
	for _, s := range c.injections {
		if s.step.prepare != nil {
			s.step.prepare(c)
		}
	}
	if holdOrders {
		c.load.stream(cellOrderRate, end, c.load.order)
	}
	loop.After(cellPresetChangeMs, func() { c.presets.start(c.randomVM(), "peak") })
	loop.RunUntil(end)
	loop.RunUntil(max(end, c.healAt()) + cellDrainMs)
	c.finish()
}

func (c *cell) finish() {
	c.check.requests(c.load.requests, c.upstreamLog)
	c.presets.finish()
	for id, generation := range c.stopping {
		if n := c.tier.byID[id]; n.generation == generation-1 && !n.dead {
			c.check.fail(InvariantPlannedStop, "VM %s has not drained %d ms after the load ended", id, cellDrainMs)
		}
	}
	if len(c.injections) == 1 && c.injections[0].fault.name == faultVMStopped {
		c.check.plannedStop(c.load.requests)
	}
}

func (c *cell) result() CellResult {
	r := CellResult{Cell: c.name, Violations: c.check.violations, Trace: c.trace, Answers: c.load.outcomes()}
	for _, s := range c.injections {
		switch {
		case !s.reached:
			r.Problem = "step " + s.step.name + " was not reached"
		case !s.injected:
			r.Problem = "fault " + s.fault.name + " was not injected"
		case s.effects == 0 && (s.countEffects == nil || s.countEffects() == 0):
			r.Problem = "fault " + s.fault.name + " had no effect"
		}
	}
	if len(c.injections) > 1 {
		r.Masked, r.Problem = r.Problem, ""
	}
	return r
}

// observe injects the faults whose step matches the observation.
func (c *cell) observe(m observation) {
	if c.matchSteps {
		for _, s := range c.injections {
			if !s.reached && s.step.match(c, m) {
				s.reached = true
				c.tier.Loop.After(s.step.delay, func() { c.injectFault(s, m) })
			}
		}
	}
	if msg, to, ok := sentClaim(m); ok {
		c.partitionOwners[msg.ID.Partition()] = to
	}
}

func (c *cell) injectFault(s *faultInjection, m observation) {
	s.vm = m.vm
	if n := c.tier.byID[s.vm]; n == nil || n.dead {
		s.vm = c.randomVM()
	}
	c.tracef("fault %s injected at step %s, VM %s", s.fault.name, s.step.name, s.vm)
	heal := s.fault.inject(c, s, m)
	s.injected = true
	until := c.tier.Loop.Now() + s.fault.duration()
	c.healTime = max(c.healTime, until)
	c.tier.Loop.At(until, func() {
		c.tracef("fault %s ends", s.fault.name)
		if heal != nil {
			heal()
		}
	})
}

func (c *cell) healAt() clock.Millis { return c.healTime }

func (c *cell) tracef(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%6d ", c.tier.Loop.Now()-tierStart)+fmt.Sprintf(format, args...))
}

func (c *cell) randomVM() string {
	for {
		n := c.tier.vms[c.rng.IntN(len(c.tier.vms))]
		if !n.dead && c.stopping[n.self.ID] == 0 {
			return n.self.ID
		}
	}
}

func (c *cell) loseReply(r store.Request) bool {
	if c.loseNextReply && isHeadRequest(r) {
		c.loseNextReply, c.lostReplyKey = false, r.Key
		return true
	}
	lost := false
	for _, matches := range c.faults.loseReply {
		lost = (*matches)() || lost
	}
	return lost
}
