package httpcall

import "time"

// Option configures a Host.
type Option func(*Host)

// WithMaxConns bounds the connections that are open at once.
func WithMaxConns(n int) Option { return func(h *Host) { h.maxConns = n } }

// WithConnectTimeout bounds the opening of a connection.
func WithConnectTimeout(d time.Duration) Option { return func(h *Host) { h.connectTimeout = d } }

// WithIdleTimeout closes connections that were not used for d.
func WithIdleTimeout(d time.Duration) Option { return func(h *Host) { h.idleTimeout = d } }

// WithWaitTimeout lets a call wait up to d for a free connection. The default is not to wait.
func WithWaitTimeout(d time.Duration) Option { return func(h *Host) { h.waitTimeout = d } }

// WithMaxReplyBytes bounds the body of a reply.
func WithMaxReplyBytes(n int) Option { return func(h *Host) { h.maxReplyBytes = n } }
