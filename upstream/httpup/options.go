package httpup

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/upstream"
)

// Option configures a Client.
type Option func(*Client)

// WithServices adds the upstreams of services.
func WithServices(services ...upstream.Service) Option {
	return func(c *Client) {
		for _, s := range services {
			for _, g := range s.Groups {
				c.upstreams = append(c.upstreams, g.Replicas...)
			}
		}
	}
}

// WithClock sets the clock that request deadlines refer to.
func WithClock(clk clock.Clock) Option { return func(c *Client) { c.clock = clk } }

// WithConnectTimeout bounds the opening of a connection.
func WithConnectTimeout(ms clock.Millis) Option { return func(c *Client) { c.connectTimeoutMs = ms } }

// WithIdleTimeout closes connections that were not used for ms.
func WithIdleTimeout(ms clock.Millis) Option { return func(c *Client) { c.idleTimeoutMs = ms } }

// WithControlTimeout bounds a call of Cancel or Load.
func WithControlTimeout(ms clock.Millis) Option { return func(c *Client) { c.controlTimeoutMs = ms } }

// WithMaxReplyBytes bounds the body of a reply.
func WithMaxReplyBytes(n int) Option { return func(c *Client) { c.maxReplyBytes = n } }
