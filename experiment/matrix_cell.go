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

// Times of a cell.
const (
	cellSteadyMs = 1 * clock.Second
	cellSwitchMs = 300 * clock.Millis(1) // after the load is steady
	cellLoadMs   = 7 * clock.Second
	cellDrainMs  = 25 * clock.Second // covers the longest deadline and the store's longest retry pause
)

// CellOptions put a test double with a built-in fault around the cores of a cell.
type CellOptions struct {
	MapCmd    func(id string, cmd vm.Cmd) []vm.Cmd
	MapPreset func(id, name string, revision uint64) (string, uint64)
}

// CellResult is the outcome of one cell.
type CellResult struct {
	Cell       string
	Violations []Violation
	Masked     string // which step or fault of a pair its other fault prevented
	Problem    string // why the cell does not count: the step or the fault did not happen
	Impossible string // why the step cannot occur with the fault
	Trace      []string
	Answers    map[string]int // requests by how they ended, to show that a cell has content
}

// ViolatedInvariants returns the names of the violated invariants, each once.
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

// OK reports whether the cell ran as meant and nothing was violated.
func (r *CellResult) OK() bool { return len(r.Violations) == 0 && r.Problem == "" }

// strike is one fault that waits for its step.
type strike struct {
	fault   fault
	step    step
	reached bool
	began   bool
	hits    func() int // how often the fault had an effect
	effects int        // of faults that count as they go
	vm      string     // that the fault concerns
}

// cell is one run.
type cell struct {
	name    string
	opts    CellOptions
	tier    *Tier
	load    *cellLoad
	ledger  *ledger
	check   checker
	changes *switcher
	rng     *rand.Rand
	strikes []*strike
	faults  faultState
	trace   []string

	armed    bool
	heal     clock.Millis
	heldBack map[string]bool // VMs that a fault kept from hearing of changes
	owners   [order.NumPartitions]string
	replies  map[uint32]int
	loseNext bool
	lostKey  string
	stopping map[string]int // planned stops that have not drained, by VM: its process number and one
}

// RunCell runs the cell "fault/step", or several joined by "+", in one Tier.
func RunCell(seed uint64, name string, opts CellOptions) (CellResult, error) {
	strikes, err := parseCell(name)
	if err != nil {
		return CellResult{}, err
	}
	if why := impossible(strikes); why != "" {
		return CellResult{Cell: name, Impossible: why}, nil
	}
	c := newCell(seed, name, strikes, opts)
	c.run()
	return c.result(), nil
}

func parseCell(name string) ([]*strike, error) {
	var list []*strike
	for _, part := range strings.Split(name, "+") {
		f, s, ok := strings.Cut(part, "/")
		fault, found := findFault(f)
		step, known := findStep(s)
		if !ok || !found || !known {
			return nil, fmt.Errorf("cell %q is not FAULT/STEP", part)
		}
		list = append(list, &strike{fault: fault, step: step})
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

// matrixRecord gives all presets the same short deadlines, so that a drain is short.
func matrixRecord() preset.Record {
	rec := preset.Default()
	for i := range rec.Presets {
		p := &rec.Presets[i]
		p.Urgent.DeadlineMs, p.Ordinary.DeadlineMs, p.Patient.DeadlineMs = 1000, 2000, 6000
	}
	return rec
}

func newCell(seed uint64, name string, strikes []*strike, opts CellOptions) *cell {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %s", seed, name)
	own := h.Sum64()
	c := &cell{
		name: name, opts: opts, strikes: strikes, rng: rand.New(rand.NewPCG(own, 301)),
		heldBack: make(map[string]bool), replies: make(map[uint32]int), stopping: make(map[string]int),
	}
	cfg := TierConfig{
		Seed: own, VMs: 7, Groups: 4, Replicas: 2, Connections: 10, MedianMs: 30, Record: matrixRecord(), OrderGroups: 2,
	}
	cfg.Hooks = TierHooks{
		BeforeUpdate: c.before, AfterUpdate: c.after, MapCmd: c.commands, DeliverReply: c.reply,
		MapLoad: c.loadReport, MapVMList: c.roster, LinkCut: c.cut,
	}
	c.changes = newSwitcher(c)
	c.tier = NewTier(cfg)
	c.load = newCellLoad(c.tier, own)
	c.ledger = newLedger(c.tier)
	c.tier.Store.LoseReply = c.loseAnswer
	c.watchUpstreams()
	return c
}

// watchUpstreams recognises the steps at which a reply leaves an upstream.
func (c *cell) watchUpstreams() {
	for _, id := range c.tier.ids {
		up := c.tier.Upstreams[id]
		up.CompleteReply = func(req attempt.Request, r *attempt.Reply) {
			c.ledger.answer(req, r)
			c.observe(moment{vm: req.ID.VM, served: &req})
		}
	}
}

func (c *cell) run() {
	loop := c.tier.Loop
	start := loop.Now()
	steady := start + cellSteadyMs
	end := steady + cellLoadMs
	lazy := false
	for _, s := range c.strikes {
		lazy = lazy || s.step.lazy
	}
	for _, r := range rank.All() {
		c.load.stream(cellQueryRate, end, func() { c.load.query(r) })
	}
	if !lazy {
		c.load.stream(cellOrderRate, end, c.load.order)
	}
	loop.RunUntil(steady)
	c.armed = true
	for _, s := range c.strikes {
		if s.step.prepare != nil {
			s.step.prepare(c)
		}
	}
	if lazy {
		c.load.stream(cellOrderRate, end, c.load.order)
	}
	loop.After(cellSwitchMs, func() { c.changes.start(c.anyVM(), "peak") })
	loop.RunUntil(end)
	loop.RunUntil(max(end, c.healAt()) + cellDrainMs)
	c.finish()
}

func (c *cell) finish() {
	c.check.requests(c.load.requests, c.ledger)
	c.changes.finish()
	for id, life := range c.stopping {
		if n := c.tier.byID[id]; n.life == life-1 && !n.dead {
			c.check.fail(InvariantPlannedStop, "%s has not drained %d ms after the load ended", id, cellDrainMs)
		}
	}
	if len(c.strikes) == 1 && c.strikes[0].fault.name == faultVMStopped {
		c.check.uncut(c.load.requests)
	}
}

func (c *cell) result() CellResult {
	r := CellResult{Cell: c.name, Violations: c.check.found, Trace: c.trace, Answers: c.load.answers()}
	for _, s := range c.strikes {
		switch {
		case !s.reached:
			r.Problem = "step " + s.step.name + " was not reached"
		case !s.began:
			r.Problem = "fault " + s.fault.name + " found nothing to strike"
		case s.effects == 0 && (s.hits == nil || s.hits() == 0):
			r.Problem = "fault " + s.fault.name + " had no effect"
		}
	}
	if len(c.strikes) > 1 {
		r.Masked, r.Problem = r.Problem, ""
	}
	return r
}

// observe starts the faults whose step has come.
func (c *cell) observe(m moment) {
	if c.armed {
		for _, s := range c.strikes {
			if !s.reached && s.step.match(c, m) {
				s.reached = true
				c.tier.Loop.After(s.step.delay, func() { c.begin(s, m) })
			}
		}
	}
	if msg, to, ok := claimOf(m); ok {
		c.owners[msg.ID.Partition()] = to
	}
}

func (c *cell) begin(s *strike, m moment) {
	s.vm = m.vm
	if n := c.tier.byID[s.vm]; n == nil || n.dead {
		s.vm = c.anyVM()
	}
	c.note("%s strikes at %s, vm %s", s.fault.name, s.step.name, s.vm)
	heal := s.fault.strike(c, s, m)
	s.began = true
	until := c.tier.Loop.Now() + s.fault.lasts()
	c.heal = max(c.heal, until)
	c.tier.Loop.At(until, func() {
		c.note("%s heals", s.fault.name)
		if heal != nil {
			heal()
		}
	})
}

func (c *cell) healAt() clock.Millis { return c.heal }

func (c *cell) note(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%6d ", c.tier.Loop.Now()-tierStart)+fmt.Sprintf(format, args...))
}

func (c *cell) anyVM() string {
	for {
		n := c.tier.nodes[c.rng.IntN(len(c.tier.nodes))]
		if !n.dead && c.stopping[n.self.ID] == 0 {
			return n.self.ID
		}
	}
}

func (c *cell) loseAnswer(r store.Request) bool {
	if c.loseNext && isHead(r) {
		c.loseNext, c.lostKey = false, r.Key
		return true
	}
	lost := false
	for _, lose := range c.faults.loseAnswer {
		lost = (*lose)() || lost
	}
	return lost
}
