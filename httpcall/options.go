package httpcall

import (
	"time"

	"lentillink.example/lentillink/memory"
)

// Option configures a Host.
type Option func(*Host)

// WithMaxConns bounds the number of open connections.
func WithMaxConns(n int) Option { return func(h *Host) { h.maxConns = n } }

// WithConnectTimeout bounds the time to open a connection.
func WithConnectTimeout(d time.Duration) Option { return func(h *Host) { h.connectTimeout = d } }

// WithIdleTimeout sets the idle time after which a connection is closed.
func WithIdleTimeout(d time.Duration) Option { return func(h *Host) { h.idleTimeout = d } }

// WithWaitTimeout lets a call wait up to d for a free connection. The default is not to wait.
func WithWaitTimeout(d time.Duration) Option { return func(h *Host) { h.waitTimeout = d } }

// WithMemory bounds the bodies that all hosts with the same Bound read at once.
func WithMemory(b *memory.Bound) Option { return func(h *Host) { h.memory = b } }

// WithMaxReplyBytes bounds the size of a reply's body.
func WithMaxReplyBytes(n int) Option { return func(h *Host) { h.maxReplyBytes = n } }
