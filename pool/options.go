package pool

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

type config struct {
	limits  []LimitMsg
	shares  rank.Table[float64]
	queue   rank.Table[int]
	idleMs  clock.Millis
	graceMs clock.Millis
	boundMs clock.Millis
}

// Option configures a Model.
type Option func(*config)

// WithUpstream adds an upstream with a limit of connections.
func WithUpstream(id string, connections int) Option {
	return func(c *config) { c.limits = append(c.limits, LimitMsg{Upstream: id, Connections: connections}) }
}

// WithShares sets the guaranteed share of dispatches of each rank, 0 to 1.
func WithShares(shares rank.Table[float64]) Option { return func(c *config) { c.shares = shares } }

// WithQueueLimits bounds the queue of each rank at one upstream.
func WithQueueLimits(bounds rank.Table[int]) Option { return func(c *config) { c.queue = bounds } }

// WithIdleTimeout sets how long an unused connection is kept.
func WithIdleTimeout(ms clock.Millis) Option { return func(c *config) { c.idleMs = ms } }

// WithReplyGrace sets how long after its deadline a dispatched attempt is returned
// as timed out.
func WithReplyGrace(ms clock.Millis) Option { return func(c *config) { c.graceMs = ms } }

// WithAbortTimeout sets how long the connection of an aborted attempt counts as
// busy if neither a reply nor an AbortedMsg comes.
func WithAbortTimeout(ms clock.Millis) Option { return func(c *config) { c.boundMs = ms } }

func newConfig(opts []Option) config {
	c := config{
		shares:  rank.NewTable(0.5, 0.25, 0.1),
		queue:   rank.NewTable(512, 512, 512),
		idleMs:  30 * clock.Second,
		graceMs: 20,
		boundMs: 5 * clock.Second,
	}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}
