package upstream

import (
	"context"

	"lentillink.example/lentillink/attempt"
)

// Client sends attempts to upstreams. Implementations are safe for concurrent use.
type Client interface {
	// Send runs one attempt and returns its reply. It reports every failure
	// through Status and Execution, and returns at the request's deadline at the latest.
	Send(ctx context.Context, req attempt.Request) attempt.Reply
	// Cancel asks an upstream to stop an attempt. A nil error does not show
	// whether the attempt was executed; only the reply to the attempt does.
	Cancel(ctx context.Context, id ID, attempt attempt.ID) error
	// Load returns the load that an upstream reports. It may be out of date or wrong.
	Load(ctx context.Context, id ID) (Load, error)
	// SetConnectionLimit sets the maximum number of open connections to an upstream.
	SetConnectionLimit(id ID, n int)
	// Close closes all connections. Attempts in flight fail.
	Close()
}

// Load is an upstream's report about itself. Only Leaving is binding.
type Load struct {
	Healthy      bool     `json:"healthy"`
	Leaving      bool     `json:"leaving"`
	Cold         bool     `json:"cold"`
	Running      int      `json:"running"`
	Queued       int      `json:"queued"`
	Connections  int      `json:"connections"`
	HeldVersions []uint64 `json:"held"`
}
