package relay

import "lentillink.example/lentillink/clock"

// Defaults of the options.
const (
	defaultBudgetRatio                 = 0.2
	defaultBudgetWindowMs clock.Millis = 10 * clock.Second
	defaultVMs                         = 9 // the users run 7 to 9 entry VMs
)

type config struct {
	seed       uint64
	self       string
	dataCentre string
	vmCount    int
	budget     BudgetMsg
	byCost     bool
}

// Option configures a Model.
type Option func(*config)

// WithSeed seeds the jitter of retry delays and of the choice of upstreams.
func WithSeed(seed uint64) Option { return func(c *config) { c.seed = seed } }

// WithSelf sets the ID and data centre of this VM.
func WithSelf(id, dataCentre string) Option {
	return func(c *config) { c.self, c.dataCentre = id, dataCentre }
}

// WithVMs sets how many VMs share the upstreams until the first FleetMsg.
func WithVMs(n int) Option { return func(c *config) { c.vmCount = n } }

// WithBudget limits the extra attempts of each service until the first BudgetMsg.
func WithBudget(b BudgetMsg) Option {
	return func(c *config) {
		if b.WindowMs > 0 {
			c.budget = b
		}
	}
}

// WithPlacingByCost lets the choice of upstreams, the order in queues and the time of hedges
// depend on what each request is expected to cost.
func WithPlacingByCost(on bool) Option { return func(c *config) { c.byCost = on } }

func newConfig(opts []Option) config {
	c := config{vmCount: defaultVMs, budget: BudgetMsg{Ratio: defaultBudgetRatio, WindowMs: defaultBudgetWindowMs}}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}
