package httpstore

import "lentillink.example/lentillink/clock"

// Option configures a Client.
type Option func(*Client)

// WithTimeout bounds one call, except a waiting Watch.
func WithTimeout(ms clock.Millis) Option { return func(c *Client) { c.timeoutMs = ms } }

// WithWatchTimeout sets how long the store may hold one watch call.
func WithWatchTimeout(ms clock.Millis) Option { return func(c *Client) { c.watchTimeoutMs = ms } }

// WithConnections bounds the connections, except those of Watch.
func WithConnections(n int) Option { return func(c *Client) { c.maxConns = n } }
