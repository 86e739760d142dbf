package upstream

import (
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
)

// Option configures a Balancer.
type Option func(*Balancer)

// WithUpstreams sets the initial upstreams. They are not ramped up: the VM has
// just started, but the upstreams need not be cold.
func WithUpstreams(list []Upstream) Option {
	return func(b *Balancer) {
		for _, u := range list {
			b.add(u)
		}
	}
}

// WithSeed sets the seed of the random numbers.
func WithSeed(seed uint64) Option {
	return func(b *Balancer) { b.rng = rand.New(rand.NewPCG(seed, 1)) }
}

// WithRampTime sets the time after which an upstream that was added or became
// available again gets its full share of attempts.
func WithRampTime(ms clock.Millis) Option {
	return func(b *Balancer) { b.rampMs = ms }
}

// WithMinHedgeDelay sets the lower bound of the hedge delay.
func WithMinHedgeDelay(ms clock.Millis) Option {
	return func(b *Balancer) { b.minHedgeMs = ms }
}

// WithRandomPick makes Pick choose at random among the upstreams that are not
// leaving, regardless of their health and latency. It is the baseline of experiments.
func WithRandomPick() Option {
	return func(b *Balancer) { b.random = true }
}
