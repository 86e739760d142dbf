package exchange

import (
	"cmp"

	"lentillink.example/lentillink/clock"
)

// Option configures a Client.
type Option func(*Client)

// WithHeaders sets the names of the headers that are exchanged with upstreams.
func WithHeaders(h Headers) Option { return func(c *Client) { c.headers = h } }

// WithConnectTimeout bounds the time to open a connection.
func WithConnectTimeout(d clock.Millis) Option { return func(c *Client) { c.connectTimeout = d } }

// WithMaxReplyBytes bounds the size of a reply's body.
func WithMaxReplyBytes(n int) Option { return func(c *Client) { c.maxReplyBytes = n } }

// WithMaxHeadBytes bounds the size of a reply's head; 0 stands for the default.
func WithMaxHeadBytes(n int) Option {
	return func(c *Client) { c.maxHeadBytes = cmp.Or(n, c.maxHeadBytes) }
}

// WithReplyMemory bounds the memory of all replies that are being read, in bytes.
func WithReplyMemory(n int64) Option { return func(c *Client) { c.replyMemory.Set(n) } }

// WithClock sets the clock that measures idle times.
func WithClock(cl clock.Clock) Option { return func(c *Client) { c.clock = cl } }
