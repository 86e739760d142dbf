package pool

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

type config struct {
	limits         []LimitMsg
	shares         rank.Table[float64]
	queueLimits    rank.Table[int]
	idleTimeoutMs  clock.Millis
	replyGraceMs   clock.Millis
	abortTimeoutMs clock.Millis
}

// Option configures a Model.
type Option func(*config)

// WithUpstream adds an upstream with a connection limit.
func WithUpstream(id string, connections int) Option {
	return func(c *config) { c.limits = append(c.limits, LimitMsg{Upstream: id, Connections: connections}) }
}

// WithShares sets the guaranteed share of dispatches of each rank, from 0 to 1.
func WithShares(shares rank.Table[float64]) Option { return func(c *config) { c.shares = shares } }

// WithQueueLimits sets the maximum queue length of each rank per upstream.
func WithQueueLimits(limits rank.Table[int]) Option {
	return func(c *config) { c.queueLimits = limits }
}

// WithIdleTimeout sets how long an idle connection stays open.
func WithIdleTimeout(ms clock.Millis) Option { return func(c *config) { c.idleTimeoutMs = ms } }

// WithReplyGrace sets how long after its deadline a dispatched attempt without a
// reply is returned as timed out.
func WithReplyGrace(ms clock.Millis) Option { return func(c *config) { c.replyGraceMs = ms } }

// WithAbortTimeout sets how long the connection of an aborted attempt counts as
// busy without a reply or an AbortedMsg.
func WithAbortTimeout(ms clock.Millis) Option { return func(c *config) { c.abortTimeoutMs = ms } }

func newConfig(opts []Option) config {
	c := config{
		shares:         rank.NewTable(0.5, 0.25, 0.1),
		queueLimits:    rank.NewTable(512, 512, 512),
		idleTimeoutMs:  30 * clock.Second,
		replyGraceMs:   20,
		abortTimeoutMs: 5 * clock.Second,
	}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}
