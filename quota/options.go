package quota

type config struct {
	seed       uint64
	self       string
	dataCentre string
	bounds     Bounds
}

// Option configures a Model.
type Option func(*config)

// WithSelf sets the ID and data centre of this VM.
func WithSelf(id, dataCentre string) Option {
	return func(c *config) { c.self, c.dataCentre = id, dataCentre }
}

// WithSeed seeds the jitter of retry delays.
func WithSeed(seed uint64) Option { return func(c *config) { c.seed = seed } }

// WithBounds sets by how much limits may be exceeded.
func WithBounds(b Bounds) Option {
	return func(c *config) {
		if b.WindowMs > 0 && b.Overshoot >= 0 && b.Slack >= 0 {
			c.bounds = b
		}
	}
}

func newConfig(opts []Option) config {
	c := config{bounds: Bounds{WindowMs: DefaultWindowMs, Overshoot: DefaultOvershoot, Slack: DefaultSlack}}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}
