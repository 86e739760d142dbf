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

// WithRandomPick makes Pick choose at random among the upstreams that are not
// leaving, whatever is known of them. It is the baseline of experiments.
func WithRandomPick() Option {
	return func(b *Book) { b.random = true }
}
