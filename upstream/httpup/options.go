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

// WithClock sets the clock of the request deadlines.
func WithClock(clk clock.Clock) Option { return func(c *Client) { c.clock = clk } }

// WithConnectTimeout bounds the time to open a connection.
func WithConnectTimeout(ms clock.Millis) Option { return func(c *Client) { c.connectTimeoutMs = ms } }

// WithIdleTimeout sets the time after which an unused connection is closed.
func WithIdleTimeout(ms clock.Millis) Option { return func(c *Client) { c.idleTimeoutMs = ms } }

// WithControlTimeout bounds the duration of a call of Cancel or Load.
func WithControlTimeout(ms clock.Millis) Option { return func(c *Client) { c.controlTimeoutMs = ms } }

// WithReplyMemory bounds the memory of all replies that are being read, in bytes.
func WithReplyMemory(n int64) Option { return func(c *Client) { c.replyMemory.Set(n) } }

// WithMaxReplyBytes bounds the size of the body of a reply.
func WithMaxReplyBytes(n int) Option { return func(c *Client) { c.maxReplyBytes = n } }
