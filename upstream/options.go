package upstream

import (
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
)

// Option configures a Book.
type Option func(*Book)

// WithUpstreams sets the upstreams known at the start. They are not ramped:
// the VM is new to them, but they need not be cold.
func WithUpstreams(list []Upstream) Option {
	return func(b *Book) {
		for _, u := range list {
			b.add(u)
		}
	}
}

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option {
	return func(b *Book) { b.rng = rand.New(rand.NewPCG(seed, 1)) }
}

// WithRamp sets how long an upstream that is new or came back takes to reach its full share.
func WithRamp(ms clock.Millis) Option {
	return func(b *Book) { b.rampMs = ms }
}

// WithHedgeFloor sets the shortest hedge delay.
func WithHedgeFloor(ms clock.Millis) Option {
	return func(b *Book) { b.floorMs = ms }
}

// WithLatencyAware switches the use of latency in Pick. Experiments switch it
// off for their baselines; Pick then chooses at random among usable upstreams.
func WithLatencyAware(on bool) Option {
	return func(b *Book) { b.blind = !on }
}
