package httpstore

import "lentillink.example/lentillink/clock"

// Option configures a Client.
type Option func(*Client)

// WithTimeout bounds the duration of one call. Watch adds the watch timeout to it.
func WithTimeout(ms clock.Millis) Option { return func(c *Client) { c.timeoutMs = ms } }

// WithWatchTimeout sets the time after which the store replies to a long poll of
// Watch without a change.
func WithWatchTimeout(ms clock.Millis) Option { return func(c *Client) { c.watchTimeoutMs = ms } }

// WithConnections bounds the number of connections, not counting those of Watch.
func WithConnections(n int) Option { return func(c *Client) { c.maxConns = n } }
