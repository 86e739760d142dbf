package upstream

import (
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
)

// Option configures a Book.
type Option func(*Balancer)

// WithUpstreams sets the upstreams known at the start. They are not ramped:
// the VM is new to them, but they need not be cold.
func WithUpstreams(list []Upstream) Option {
	return func(b *Balancer) {
		for _, u := range list {
			b.add(u)
		}
	}
}

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option {
	return func(b *Balancer) { b.rng = rand.New(rand.NewPCG(seed, 1)) }
}

// WithRampTime sets how long an upstream that is new or came back takes to reach its full share.
func WithRampTime(ms clock.Millis) Option {
	return func(b *Balancer) { b.rampMs = ms }
}

// WithMinHedgeDelay sets the shortest hedge delay.
func WithMinHedgeDelay(ms clock.Millis) Option {
	return func(b *Balancer) { b.minHedgeMs = ms }
}

// WithRandomPick makes Pick choose at random among the upstreams that are not
// leaving, whatever is known of them. It is the baseline of experiments.
func WithRandomPick() Option {
	return func(b *Balancer) { b.random = true }
}
